/** Assembles the node that runs on the host of a backend server. */
import type { Result } from 'ts-results-es';
import { Ok } from 'ts-results-es';
import { Allotments } from '../allotments/allotments.js';
import { CallerPresence } from '../calls/callerPresence.js';
import { PendingInputTracker } from '../utils/pendingInput.js';
import type { AddressListener } from '../utils/addressListener.js';
import { hash32 } from '../utils/hash.js';
import { runInBackground } from '../utils/background.js';
import { SmoothWeightedRoundRobin } from '../configuration/smoothWeightedRoundRobin.js';
import type { Announcement } from '../directory/announcement.js';
import type { GateLoad } from '../directory/gateLoad.js';
import { Gossip } from '../peers/gossip.js';
import { FailureDetector } from '../peers/failureDetector.js';
import { StateServer } from '../peers/stateServer.js';
import { GossipSocket } from '../peers/gossipSocket.js';
import { SuspectReportRelay } from '../peers/suspectReportRelay.js';
import { fetchState } from '../peers/stateClient.js';
import { createMemoryBudget } from '../memory/createMemoryBudget.js';
import { DecisionLog, Importance } from '../observability/decisionLog.js';
import { EventLoopMonitor } from '../observability/eventLoopMonitor.js';
import { MetricsRegistry } from '../observability/metricsRegistry.js';
import { BackendServerClient } from '../serving/backendServerClient.js';
import { CallerListener } from '../serving/callerListener.js';
import { Entry } from '../serving/entry.js';
import { Gate } from '../serving/gate.js';
import { DeliveryInquirer } from '../serving/deliveryInquirer.js';
import { DeliveryMonitor } from '../serving/deliveryMonitor.js';
import { GateForwarder } from '../serving/gateForwarder.js';
import { GateProcesses } from '../serving/gateProcesses.js';
import { GateObservations } from '../placing/gateObservations.js';
import { memoryRefusalReply } from '../serving/gateProtocol.js';
import { ListenProbe } from '../serving/listenProbe.js';
import { HeartbeatEffect, LocalBackendServer } from '../serving/localBackendServer.js';
import type { Heartbeat } from '../serving/localBackendServer.js';
import { GateServer } from '../serving/gateServer.js';
import { GateSelector } from '../placing/gateSelector.js';
import { RequestSender } from '../serving/requestSender.js';
import { RetryAllowance } from '../serving/retryAllowance.js';
import { SendRecorder } from '../serving/sendRecorder.js';
import { SlotQueue } from '../admission/slotQueue.js';
import { StatedLimit } from '../admission/statedLimit.js';
import { StatementListener } from '../serving/statementListener.js';
import { SuspectGuard } from '../serving/suspectGuard.js';
import { SuspectRequests } from '../serving/suspectRequests.js';
import { LinkQueue } from '../transfers/linkQueue.js';
import { Rollouts } from '../rollouts/rollouts.js';
import { EraCheckedStore } from '../store/eraCheckedStore.js';
import { StoreEraTracker } from '../store/storeEraTracker.js';
import { AddressOpener } from './addressOpener.js';
import type { AddressFailure } from './addressOpener.js';
import { DepartureRestorer } from './departureRestorer.js';
import { StoreAnnouncer } from './storeAnnouncer.js';
import type { HostIdentity, HostState } from './storeAnnouncer.js';
import { MeshState } from './meshState.js';
import { registerGauges } from './nodeGauges.js';
import { PlannedStop } from './plannedStop.js';
import type { SidecarOptions, SidecarServices } from './sidecarOptions.js';

/** The time for which a starting node waits for its own earlier record, in milliseconds. */
const OWN_RECORD_TIMEOUT_MS = 1_500;
/** Assumed service time of a request until one has been measured, in milliseconds. */
const DEFAULT_SERVICE_TIME_MS = 80;
/** The time for which a departure waits for the store, in milliseconds; it must be confirmed within a second. */
const DEPARTURE_WRITE_TIMEOUT_MS = 600;
/** Idle timeout of connections from other nodes, in milliseconds; longer than that of the other end. */
const GATE_IDLE_TIMEOUT_MS = 60_000;
/**
 * The time for which a starting node attempts to open its addresses beyond the timeout of a planned stop,
 * in milliseconds. An earlier process of the host may hold them until that timeout.
 */
const ADDRESS_RESERVE_MS = 10_000;
/** A node that serves the callers and the backend server of its host. */
export class Sidecar {
  /** The metrics of this process. */
  readonly metrics = new MetricsRegistry();

  private readonly log: DecisionLog;

  private readonly addresses: AddressOpener;

  /** Whether all addresses were open once, so that the node takes part in the mesh. */
  private isStarted = false;

  private readonly eventLoopMonitor: EventLoopMonitor;

  private readonly meshState: MeshState;

  private readonly backendServer: LocalBackendServer;

  private readonly statedLimit: StatedLimit;

  private readonly suspectGuard: SuspectGuard;

  private readonly slots: SlotQueue;

  private readonly listenProbe = new ListenProbe();

  private readonly client: BackendServerClient;

  private readonly gate: Gate;

  private readonly gateForwarder: GateForwarder;

  private readonly gateServer: GateServer;

  private readonly inquirer: DeliveryInquirer;

  private readonly entry: Entry;

  private readonly callers: CallerListener;

  private readonly gateListener: CallerListener;

  private readonly announcer: StoreAnnouncer;

  private readonly departureRestorer: DepartureRestorer;

  private readonly failureDetector: FailureDetector;

  private readonly gossip: Gossip;

  private readonly gossipSocket: GossipSocket;

  private readonly suspectRelay: SuspectReportRelay;

  private readonly allotments: Allotments;

  private readonly peerListener: StateServer;

  private readonly rollouts: Rollouts;

  /** The planned stop of this node, once it has begun. */
  private plannedStop: PlannedStop | undefined;

  /** The service of the backend server for which requests wait at the gate. */
  private gatedService: string | undefined;

  /**
   * @param services - the services that the node depends on
   * @param options - the settings of the node
   */
  constructor(
    private readonly services: SidecarServices,
    private readonly options: SidecarOptions,
  ) {
    const { clock, logger, randomness } = services;
    const { configurationKey, decodeConfiguration, identity, headerNames, retryTerms, service } =
      options;
    const { metrics } = this;
    this.log = new DecisionLog(clock, logger);
    const { log } = this;
    const base = { clock, log, metrics };
    this.addresses = new AddressOpener({ clock, log }, options.stopTimeoutMs + ADDRESS_RESERVE_MS);
    this.eventLoopMonitor = new EventLoopMonitor(clock, log, metrics);
    const memory = createMemoryBudget({ ...services, log, metrics }, options.memoryLimitBytes);
    const era = new StoreEraTracker();
    const store = new EraCheckedStore(services.store, era);
    this.meshState = new MeshState(
      { clock, randomness, store, era, log },
      { ...identity, configurationKey, decodeConfiguration },
      {
        askPeers: () => this.gossip.learnFromPeers(),
        onHostsLoaded: () => this.startAnnouncing(),
        onStoreRead: () => this.gossip.broadcast(),
        onOwnRecord: (announcement) => this.restoreOwnRecord(announcement),
        onOperatorRecords: (records) => this.rollouts.acceptRecords(records),
      },
    );
    const { configuration, directory, role, status } = this.meshState;
    this.backendServer = new LocalBackendServer(clock, () => this.onBackendServerChange());
    const { backendServer } = this;
    this.statedLimit = new StatedLimit(clock, log);
    const { statedLimit } = this;
    this.slots = new SlotQueue(clock, () => backendServer.warmingUp, statedLimit);
    const { slots } = this;
    const statements = new StatementListener({ backendServer, statedLimit, slots, log });
    const input = new PendingInputTracker(clock);
    const sends = new SendRecorder({ clock, input, log, metrics });
    const presence = new CallerPresence({ clock, input });
    const sender = new RequestSender({ clock, memory, presence, sends });
    this.client = new BackendServerClient(clock, sender, headerNames, statements);
    const { client } = this;
    const observations = new GateObservations(clock, DEFAULT_SERVICE_TIME_MS);
    const { listenProbe } = this;
    const suspects = new SuspectRequests(clock);
    this.suspectGuard = new SuspectGuard(
      {
        clock,
        suspects,
        log,
        report: (report, source) => this.suspectRelay.spread(report, source),
        onBlockChange: () => this.announcer.update(),
      },
      identity.host,
    );
    const { suspectGuard } = this;
    const transfers = new LinkQueue(base, identity.linkMegabits);
    this.gate = new Gate({
      ...base,
      transfers,
      presence,
      slots,
      statedLimit,
      backendServer,
      client,
      listenProbe,
      suspectGuard,
    });
    // The start of this run of the node tells it from others on the same host.
    const processId = hash32(`${identity.host} ${clock.now().getTime()} ${clock.monotonicMs()}`);
    this.rollouts = new Rollouts(
      {
        ...base,
        randomness,
        directory,
        statusStore: services.statusStore,
        backendServer,
        send: (peerAddress, bytes) => this.gossipSocket.sendDatagram(peerAddress, bytes),
        isSilent: (host) => this.failureDetector.isSilent(host),
        isLeaving: (endpoint) => observations.of(endpoint).leaving,
        onIntroduced: () => this.announcer.update(),
        reject: (source, reason) => this.reject(source, reason),
      },
      identity,
      options.rolloutTerms,
    );
    const gate = this.rollouts.guard(this.gate);
    this.gateServer = new GateServer(
      { clock, gate, admission: this.gate, transfers },
      { names: headerNames, processId },
    );
    const processes = new GateProcesses(clock);
    this.inquirer = new DeliveryInquirer({ ...base, memory, processes });
    const { inquirer } = this;
    const deliveries = new DeliveryMonitor(clock, (gateAddress, questions) =>
      inquirer.inquire(gateAddress, questions),
    );
    this.gossipSocket = new GossipSocket(identity.peerAddress, {
      onMessage: (from, message) => {
        if (this.isStarted) {
          this.failureDetector.markAddressHeard(from);
          this.gossip.receive(from, message);
        }
      },
      onSuspectReports: (from, reports) => {
        if (this.isStarted) {
          const source = this.suspectRelay.sourceOf(from);
          reports.forEach((report) => suspectGuard.receive(report, source));
        }
      },
      onOtherDatagram: (from, bytes) => {
        if (this.isStarted) {
          this.rollouts.receive(from, bytes);
          this.allotments.receive(from, bytes);
        }
      },
    });
    const transport = this.gossipSocket;
    this.allotments = new Allotments(
      { ...base, randomness, configuration, directory, transport },
      { host: identity.host, processId, terms: options.quotaTerms, isReady: () => this.ready },
    );
    const relayServices = { clock, randomness, directory, transport };
    this.suspectRelay = new SuspectReportRelay(relayServices, identity);
    this.gossip = new Gossip(
      {
        clock,
        randomness,
        configuration,
        status,
        directory,
        transport,
        fetchState,
        role,
        era,
        log,
        gateLoad: () => this.reportGateLoad(observations),
      },
      identity,
      {
        onState: (state) => this.meshState.acceptState(state),
        onGateLoad: (host, load) => observations.recordSharedLoad(host, load),
      },
    );
    this.failureDetector = new FailureDetector(
      clock,
      (peerAddress) => this.gossip.ping(peerAddress),
      (host, silent) =>
        log.record(Importance.Notable, silent ? 'host-silent' : 'host-heard', { host }),
      () => {
        this.gateForwarder.watchUnanswered();
        deliveries.inquireOverdue();
      },
    );
    const { failureDetector } = this;
    this.peerListener = new StateServer(
      metrics,
      configuration,
      directory,
      () => this.meshState.position,
    );
    this.gateForwarder = new GateForwarder(
      {
        clock,
        gate,
        sender,
        links: failureDetector,
        deliveries,
        processes,
        directory,
        listenProbe,
        suspectGuard,
        log,
      },
      identity,
    );
    const isSilent = (host: string): boolean => failureDetector.isSilent(host);
    const nodeCount = (): number => directory.announcements.length;
    this.entry = new Entry(
      {
        ...base,
        randomness,
        configuration,
        status,
        rotation: new SmoothWeightedRoundRobin(randomness),
        directory,
        observations,
        gateSelector: new GateSelector(
          { randomness, observations, isSilent, metrics, gate: this.gate },
          identity,
        ),
        gateForwarder: this.gateForwarder,
        allowance: new RetryAllowance(clock, retryTerms, nodeCount),
        suspectGuard,
        quotas: this.allotments,
        filterVersions: this.rollouts.filter,
      },
      { names: headerNames, callerService: service },
    );
    const requestIdName = headerNames.requestId;
    const onUnreadAnswer = (requestId: string | undefined, unsentBytes: number): void =>
      log.record(Importance.Notable, 'answer-not-taken', { requestId, unsentBytes });
    this.callers = new CallerListener(clock, presence, (request) => this.entry.serve(request), {
      requestIdName,
      memory,
      onUnreadAnswer,
    });
    this.gateListener = new CallerListener(
      clock,
      presence,
      (request, isFirstOnConnection) => this.gateServer.serve(request, isFirstOnConnection),
      {
        requestIdName,
        idleMs: GATE_IDLE_TIMEOUT_MS,
        isTerse: true,
        memory,
        memoryRefusal: memoryRefusalReply,
        onUnreadAnswer,
      },
    );
    configuration.subscribe(({ limits }) => this.callers.applyLimits(limits));
    this.announcer = new StoreAnnouncer(
      { clock, randomness, store, directory, log, era },
      identity,
      () => this.describeHost(),
      (announcement) => this.meshState.isStored(announcement),
    );
    this.departureRestorer = new DepartureRestorer(
      { clock, store, directory, role, era, log },
      identity.zone,
    );
    directory.subscribe((announcement) => {
      observations.removeOthers(announcement.host, announcement.backendServer?.id);
      suspectGuard.learn(announcement);
    });
    registerGauges(metrics, { gossip: this.gossip, memory, meshState: this.meshState, suspects });
  }

  /** Whether the node holds all its addresses and takes part in the mesh. */
  get started(): boolean {
    return this.isStarted && this.addresses.allOpen;
  }

  /** Whether the node accepts callers. */
  get ready(): boolean {
    return this.plannedStop === undefined && this.started && this.meshState.isComplete;
  }

  /** The addresses and properties of this host. */
  get identity(): HostIdentity {
    return this.options.identity;
  }

  /**
   * Pings another node, so that it learns that this one runs. It answers with its status.
   *
   * @param peerAddress - the address and port at which it answers other nodes
   */
  ping(peerAddress: string): void {
    this.gossip.ping(peerAddress);
  }

  /**
   * Opens all addresses, then starts to take part in the mesh. An address that is not available is
   * attempted again, and holds back none of the others. Until all are open, an earlier process of the
   * host may still serve at the rest, so this one refuses requests, ignores gossip and is not ready.
   *
   * @param controls - the listeners for the host itself; they are opened first
   * @returns nothing once the node has started or a stop has ended the attempts; or the failure of the
   * first address that was not available in time, after which the node is closed
   */
  async start(
    controls: readonly AddressListener[] = [],
  ): Promise<Result<undefined, AddressFailure>> {
    const { clock } = this.services;
    const { gateAddress, host, peerAddress, zone } = this.options.identity;
    const opened = await this.addresses.openAll([
      ...controls,
      this.gateListener.at('requests of other nodes', gateAddress),
      this.callers.at('callers', this.options.callerAddress),
      this.peerListener.at(peerAddress),
      this.gossipSocket,
    ]);
    if (opened.isErr()) {
      this.close();
      return opened;
    }
    if (this.addresses.isStopped) {
      return Ok(undefined);
    }
    this.isStarted = true;
    this.eventLoopMonitor.start();
    runInBackground(this.gossip.run());
    this.meshState.start();
    this.rollouts.start();
    clock.after(OWN_RECORD_TIMEOUT_MS, () => this.startAnnouncing());
    this.log.record(Importance.Notable, 'started', { host, zone, service: this.options.service });
    return opened;
  }

  /**
   * Handles a heartbeat of the backend server. If the backend server is draining, waits until this has
   * been written to the store, or until a timeout.
   *
   * @param heartbeat - the heartbeat
   */
  async acceptHeartbeat(heartbeat: Heartbeat): Promise<void> {
    const verdict = this.backendServer.accept(heartbeat);
    if (verdict === HeartbeatEffect.Unchanged) {
      return;
    }
    const { draining, id, sequence, startedAtMs } = heartbeat;
    this.log.record(Importance.Notable, 'heartbeat', {
      verdict,
      id,
      sequence,
      startedAtMs,
      draining,
    });
    if (draining) {
      await this.announcer.untilWritten(this.departureWriteTimeoutMs);
    }
  }

  /**
   * Handles the final departure of a backend server, and waits until it has been written to the store,
   * or until a timeout.
   *
   * @param id - the identity of the backend server
   */
  async acceptDeparture(id: string): Promise<void> {
    const verdict = this.backendServer.markDeparted(id);
    this.log.record(Importance.Notable, 'departure', { verdict, id });
    await this.announcer.untilWritten(this.departureWriteTimeoutMs);
  }

  /**
   * Logs an input that was rejected as invalid.
   *
   * @param source - the source of the input
   * @param reason - why the input is invalid
   */
  reject(source: string, reason: string): void {
    this.meshState.reject(source, reason);
  }

  /** Logs that the settings file changed. A running node keeps its settings until it restarts. */
  logSettingsReload(): void {
    this.log.record(Importance.Notable, 'settings-unchanged', {});
  }

  /**
   * Logs a signal that has no meaning to a node.
   *
   * @param signal - the name of the signal
   */
  logIgnoredSignal(signal: string): void {
    this.log.record(Importance.Notable, 'signal-ignored', { signal });
  }

  /**
   * Shuts down within the stop time; see `PlannedStop` for the steps. A node that has not started serves
   * nothing, and shuts down at once.
   */
  async stop(): Promise<void> {
    this.addresses.stop();
    if (!this.isStarted) {
      this.log.record(Importance.Notable, 'stopped', { inFlight: 0, unended: 0 });
      this.close();
      return;
    }
    const { callers, entry, gate, gateListener, log } = this;
    const { clock } = this.services;
    this.plannedStop ??= new PlannedStop(
      { callers, clock, entry, gate, gateListener, log },
      this.options.stopTimeoutMs,
    );
    await Promise.all([this.plannedStop.run(), this.announceEndedServer()]);
    this.gossip.stop();
    this.suspectRelay.stop();
    this.rollouts.stop();
    this.allotments.stop();
    this.meshState.stop();
  }

  /** Closes all listeners and connections and ends all loops immediately. */
  close(): void {
    this.addresses.stop();
    this.eventLoopMonitor.stop();
    this.gossip.stop();
    this.suspectRelay.stop();
    this.rollouts.stop();
    this.allotments.stop();
    this.meshState.stop();
    this.callers.close();
    this.gateListener.close();
    this.peerListener.close();
    this.gossipSocket.close();
    this.gateForwarder.close();
    this.inquirer.close();
    this.client.close();
  }

  /**
   * Announces the departure of a backend server that has ended before its node stops. Those that a
   * completed rollout replaces end without a word, and would otherwise count as members for good.
   */
  private async announceEndedServer(): Promise<void> {
    const { heartbeat } = this.backendServer;
    if (this.options.rolloutTerms === undefined || heartbeat === undefined) {
      return;
    }
    if (await this.listenProbe.hasEnded(heartbeat.address)) {
      await this.acceptDeparture(heartbeat.id);
    }
  }

  /** The time for which a departure waits for the store now; it must be confirmed before the node ends. */
  private get departureWriteTimeoutMs(): number {
    return Math.min(DEPARTURE_WRITE_TIMEOUT_MS, this.plannedStop?.remainingMs ?? Infinity);
  }

  /** Returns the load of the own gate to report to others, and takes it into account here, too. */
  private reportGateLoad(observations: GateObservations): GateLoad | undefined {
    const load = this.gate.reportLoad();
    if (load !== undefined) {
      observations.recordSharedLoad(this.identity.host, load);
    }
    return load;
  }

  private describeHost(): HostState | undefined {
    const { announced } = this.backendServer;
    return announced === undefined
      ? undefined
      : {
          backendServer: this.rollouts.describe(announced),
          interruptedRuns: this.suspectGuard.announced,
        };
  }

  private onBackendServerChange(): void {
    const { heartbeat, ready } = this.backendServer;
    if (heartbeat?.service !== this.gatedService) {
      this.gatedService = heartbeat?.service;
      this.slots.dropAll();
    }
    if (ready && heartbeat !== undefined) {
      this.statedLimit.startRun(`${heartbeat.id} ${heartbeat.startedAtMs}`);
      // Deployments without customers use all slots at once.
      const { customers } = this.meshState.configuration.current?.configuration ?? {};
      const isGradual = customers !== undefined && this.backendServer.isInherited;
      this.slots.resize(heartbeat.slots, isGradual);
    } else {
      this.slots.dropAll();
    }
    this.announcer.update();
  }

  /** Opens the gate and announces the backend server, now that the record of an earlier run is known. */
  private startAnnouncing(): void {
    this.backendServer.finishRestoring();
    this.announcer.start();
  }

  /** Restores the backend server that an earlier run of this node announced. */
  private restoreOwnRecord({ backendServer }: Announcement): void {
    if (backendServer !== undefined) {
      this.backendServer.restore(backendServer, this.options.backendServerAddress);
    }
    this.announcer.update();
  }
}
