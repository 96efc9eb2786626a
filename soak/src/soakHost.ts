/** Runs one host: the real node program, a backend server, and relays on the connections. */
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import type { WriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import path from 'node:path';
import { request } from 'undici';
import type { Clock, Randomness } from 'lentillb/sidecar';
import { runInBackground } from 'lentillb/sidecar';
import type { NodeTarget } from './caller.js';
import { Caller } from './caller.js';
import { CrashingCaller } from './crashingCaller.js';
import type { ChildProcess } from './childProcesses.js';
import { spawnChildProcess } from './childProcesses.js';
import type { HostAddresses, Service } from './platformDocuments.js';
import {
  Bounds,
  heartbeatDocument,
  RouteName,
  settingsDocument,
  SLOW_PREFIX,
  SLOW_TIMEOUT_MS,
} from './platformDocuments.js';
import { Port } from './ports.js';
import { Relay } from './relay.js';
import { SoakBackendServer } from './soakBackendServer.js';
import type { SoakRecord } from './soakRecord.js';
import { DisturbanceKind } from './soakRecord.js';

export interface HostOptions {
  readonly index: number;
  readonly ip: string;
  readonly zone: string;
  readonly service: Service;
  readonly storeAddress: string;
  /** The path of the built program. */
  readonly program: string;
  /** The folder that settings and logs are written to. */
  readonly folder: string;
  /** Whether the connections of other nodes to this one lead through a relay. */
  readonly hasGateRelay: boolean;
  /** Whether it takes the node long to send many requests together. */
  readonly hasSlowSends: boolean;
}

const SLOTS = 8;
const HEARTBEAT_MS = 300;
/** The maximum duration of a call to the node's control address. */
const CONTROL_TIMEOUT_MS = 1_500;
const RELAY_DELAY_MS = 120;
/**
 * The time for which a departed backend server keeps listening, to record requests that still reach
 * it.
 */
const CLOSE_DELAY_MS = Bounds.drainMs + 2_000;
/** The request limit that a backend server states, about a quarter of what it gets otherwise. */
const LIMIT_PER_SECOND = 6;
/** The longest run under a planned stop, in milliseconds, and the time between two such requests. */
const MAX_SLOW_MS = 4_500;
const SLOW_INTERVAL_MS = 120;
/** The number of callers that send and leave together. */
const BATCH_SIZE = 200;
/** The times after which the callers of the batches leave, in milliseconds. */
const BATCH_STAYS_MS = [100, 130, 160] as const;
/** The time that the callers of a batch give for an answer, in milliseconds. */
const BATCH_DEADLINE_MS = 800;
/** The pause between two batches, in milliseconds: what is sent too late arrives within it. */
const BATCH_PAUSE_MS = 1_500;
/** Lets the gate listen behind its relay. */
const GATE_RELAY_HOOK = new URL('./gateRelayHook.js', import.meta.url).href;
/** Makes it costly for a node to send many requests in one turn. */
const SLOW_SEND_HOOK = new URL('./slowSendHook.js', import.meta.url).href;
/** The time after which a backend server that ended is replaced, in milliseconds. */
const REPLACEMENT_DELAY_MS = 800;

/** Runs the processes and relays of one host. */
export class SoakHost {
  /** The relay that forwards connections of the caller to the node. */
  readonly toNode: Relay;

  /** The relay that forwards connections of the node to its backend server. */
  readonly toBackendServer: Relay;

  /** The relay that forwards connections of the node to the store. */
  readonly toStore: Relay;

  /** The relay that forwards connections of other nodes to this one; datagrams go directly. */
  readonly toGate: Relay;

  /** The number of the current node process, counted from 1. */
  processNumber = 0;

  private child: ChildProcess | undefined;

  private exitExpected = false;

  private isFrozen = false;

  /** Whether the node process has written to its log. */
  private hasLogged = false;

  /** The number of times node processes were killed or suspended. */
  private interruptions = 0;

  private backendServer: SoakBackendServer | undefined;

  private heartbeatSequence = 0;

  private readonly crashingCaller: CrashingCaller;

  private backendServerCount = 0;

  private slowCount = 0;

  private batchedCount = 0;

  private closed = false;

  private readonly log: WriteStream;

  private readonly settingsFile: string;

  private backendServerAddress = '';

  /** All backend servers so far; an overlapping fault may replace one that nothing else closes. */
  private readonly backendServers: SoakBackendServer[] = [];

  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly randomness: Randomness;
      readonly record: SoakRecord;
    },
    readonly options: HostOptions,
  ) {
    const { clock } = services;
    const { folder, index, storeAddress } = options;
    this.toNode = new Relay(clock, () => this.addresses.outbound, RELAY_DELAY_MS);
    this.toBackendServer = new Relay(clock, () => this.backendServerAddress, RELAY_DELAY_MS);
    this.toStore = new Relay(clock, () => storeAddress, RELAY_DELAY_MS);
    this.toGate = new Relay(clock, () => this.addressOf(Port.BehindRelay), RELAY_DELAY_MS);
    this.log = createWriteStream(path.join(folder, `host-${index}.log`));
    this.settingsFile = path.join(folder, `host-${index}.json`);
    this.crashingCaller = new CrashingCaller(services, () => this.target);
  }

  /** The target of requests from the caller on this host. */
  get target(): NodeTarget {
    const { index } = this.options;
    return {
      hostIndex: index,
      address: this.addressOf(Port.ToNode),
      processNumber: this.processNumber,
    };
  }

  private get isRunning(): boolean {
    const { child } = this;
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  private get addresses(): HostAddresses {
    return {
      ip: this.options.ip,
      inbound: this.addressOf(Port.Inbound),
      outbound: this.addressOf(Port.Outbound),
      ready: this.addressOf(Port.Ready),
      control: this.addressOf(Port.Control),
      peerPort: Port.Peer,
    };
  }

  /** Starts the relays, the backend server, its heartbeats and the node. */
  async start(): Promise<void> {
    const { service, zone } = this.options;
    await this.toNode.listen(this.addressOf(Port.ToNode));
    await this.toBackendServer.listen(this.addressOf(Port.ToBackendServer));
    await this.toStore.listen(this.addressOf(Port.ToStore));
    const settings = settingsDocument(this.addresses, {
      zone,
      service,
      backendServer: this.addressOf(Port.ToBackendServer),
      store: this.addressOf(Port.ToStore),
    });
    await writeFile(this.settingsFile, settings);
    await this.startBackendServer();
    this.startNode();
    runInBackground(this.sendHeartbeats());
  }

  /** Starts the node process, unless an overlapping fault has already started it. */
  startNode(): void {
    if (this.isRunning) {
      return;
    }
    this.processNumber += 1;
    this.exitExpected = false;
    const { hasGateRelay, hasSlowSends, index, program } = this.options;
    if (hasGateRelay) {
      runInBackground(this.toGate.listen(this.addresses.inbound));
    }
    const hooks = [
      ...(hasGateRelay ? [GATE_RELAY_HOOK] : []),
      ...(hasSlowSends ? [SLOW_SEND_HOOK] : []),
    ];
    const hookArgs = hooks.flatMap((hook) => ['--import', hook]);
    const child = spawnChildProcess(['--max-old-space-size=96', ...hookArgs, program], {
      ...process.env,
      LENTILLB_SETTINGS: this.settingsFile,
    });
    this.hasLogged = false;
    child.stdout.once('data', () => {
      this.hasLogged = true;
    });
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    child.once('exit', (code, signal) => {
      this.toGate.stopListening();
      if (!this.exitExpected) {
        const detail = `node process exited unexpectedly with ${String(code ?? signal)}`;
        this.services.record.unexpectedExits.push({ host: index, detail });
      }
    });
    this.child = child;
  }

  /** Kills the node process and waits until it has exited. */
  async killNode(): Promise<void> {
    this.exitExpected = true;
    this.interruptions += 1;
    await this.signalAndWait('SIGKILL', Infinity);
  }

  /** Stops the node process gracefully; records a failed stop and kills the process then. */
  async stopNode(): Promise<void> {
    this.exitExpected = true;
    const { clock, record } = this.services;
    record.nodeStops.push({ host: this.options.index, atMs: clock.monotonicMs() });
    const { child, hasLogged, interruptions, isFrozen } = this;
    const code = await this.signalAndWait('SIGTERM', Bounds.graceMs);
    // An overlapping fault may have killed or suspended the process meanwhile.
    const isInterrupted = isFrozen || this.interruptions !== interruptions;
    // A process that has not run any code yet ends by the signal itself.
    const isUnstarted = !hasLogged && child?.signalCode === 'SIGTERM';
    if (code !== 0 && !isInterrupted && !isUnstarted) {
      const detail = `planned stop did not exit with code 0 in time: ${String(code ?? 'no exit code')}`;
      record.unexpectedExits.push({ host: this.options.index, detail });
    }
    if (this.child === child && this.isRunning) {
      await this.killNode();
    }
  }

  /**
   * Stops the node gracefully and starts it again, while long requests fill the slots and go on
   * coming on open connections until the process is gone.
   */
  async stopNodeUnderLongRuns(): Promise<void> {
    const { clock, randomness } = this.services;
    const { index } = this.options;
    const caller = new Caller(this.services, () => this.target, {
      maxConnections: 64,
      deadlineMs: SLOW_TIMEOUT_MS,
      abortOneIn: Infinity,
    });
    const sent: Promise<void>[] = [];
    const send = (): void => {
      this.slowCount += 1;
      const durationMs = randomness.integer(MAX_SLOW_MS);
      const id = `${SLOW_PREFIX}${durationMs}-${index}-${this.slowCount}`;
      sent.push(caller.send(id, RouteName.Slow));
    };
    Array.from({ length: SLOTS }, send);
    await clock.sleep(SLOW_INTERVAL_MS);
    let isStopping = true;
    const stopped = this.stopNode().then(() => {
      isStopping = false;
    });
    while (isStopping) {
      send();
      await clock.sleep(SLOW_INTERVAL_MS);
    }
    await stopped;
    this.startNode();
    await Promise.all(sent);
    caller.close();
  }

  /**
   * Stops the node gracefully and starts it again. Meanwhile it is told again and again to stop and
   * that its settings file changed.
   *
   * @param intervalMs - the time between two such signals, in milliseconds
   */
  async stopNodeWithSignals(intervalMs: number): Promise<void> {
    let isStopping = true;
    const stopped = this.stopNode().then(() => {
      isStopping = false;
    });
    for (let count = 0; isStopping; count += 1) {
      await Promise.race([stopped, this.services.clock.sleep(intervalMs)]);
      if (isStopping) {
        this.child?.kill(count % 2 === 0 ? 'SIGHUP' : 'SIGTERM');
      }
    }
    this.startNode();
  }

  /**
   * Kills the node while it stops, and starts it again at once.
   *
   * @param afterMs - the time from the start of the stop, in milliseconds
   */
  async killNodeInStop(afterMs: number): Promise<void> {
    this.exitExpected = true;
    this.child?.kill('SIGTERM');
    await this.services.clock.sleep(afterMs);
    await this.killNode();
    this.startNode();
  }

  /**
   * Sends batches of requests on kept connections to the node. The callers of a batch leave together
   * before a slow node has sent them all on.
   */
  async sendBatches(): Promise<void> {
    const { clock } = this.services;
    const caller = new Caller(this.services, () => this.target, {
      maxConnections: BATCH_SIZE,
      deadlineMs: BATCH_DEADLINE_MS,
      abortOneIn: Infinity,
    });
    const sendAll = async (leaveAfterMs: number): Promise<void> => {
      const sent = Array.from({ length: BATCH_SIZE }, () => {
        this.batchedCount += 1;
        const id = `batched-${this.options.index}-${this.batchedCount}`;
        return caller.send(id, RouteName.Browse, leaveAfterMs);
      });
      await Promise.all(sent);
    };
    for (const stayMs of BATCH_STAYS_MS) {
      await sendAll(Infinity);
      await sendAll(stayMs);
      await clock.sleep(BATCH_PAUSE_MS);
    }
    caller.close();
  }

  /** @param frozen - whether to suspend the node process or to resume it */
  freeze(frozen: boolean): void {
    this.isFrozen = frozen;
    this.interruptions += frozen ? 1 : 0;
    this.child?.kill(frozen ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Tells the node that its settings file changed. */
  reloadSettings(): void {
    this.child?.kill('SIGHUP');
  }

  /** Closes the backend server without notice to the node and replaces it at once. */
  async replaceBackendServer(): Promise<void> {
    const { backendServer } = this;
    await this.startBackendServer();
    await backendServer?.close();
  }

  /** Drains the backend server, reports its departure to the node, and replaces it. */
  async releaseBackendServer(): Promise<void> {
    const { backendServer } = this;
    if (backendServer === undefined) {
      return;
    }
    backendServer.draining = true;
    await this.sendHeartbeat(backendServer);
    const { clock, record } = this.services;
    const { id: backendServerId } = backendServer;
    const isConfirmed = await this.callControlAddress('DELETE', backendServerId);
    if (isConfirmed) {
      const { index: host } = this.options;
      record.departures.push({ host, backendServerId, confirmedAtMs: clock.monotonicMs() });
    }
    await clock.sleep(CLOSE_DELAY_MS);
    await this.startBackendServer();
    await backendServer.close();
  }

  /**
   * Lets a few requests run far longer than usual for a while.
   *
   * @param durationMs - for how long, in milliseconds
   */
  async lengthenRuns(durationMs: number): Promise<void> {
    const { backendServer } = this;
    if (backendServer !== undefined) {
      backendServer.hasLongRuns = true;
      await this.services.clock.sleep(durationMs);
      backendServer.hasLongRuns = false;
    }
  }

  /**
   * Lets the backend server state a request limit for a while.
   *
   * @param durationMs - for how long, in milliseconds
   */
  async stateLimit(durationMs: number): Promise<void> {
    const { backendServer } = this;
    if (backendServer === undefined) {
      return;
    }
    const { clock, record } = this.services;
    backendServer.stateLimit(LIMIT_PER_SECOND);
    await clock.sleep(durationMs);
    backendServer.stateLimit(undefined);
    record.limitPeriods.push({
      host: this.options.index,
      backendServerId: backendServer.id,
      perSecond: LIMIT_PER_SECOND,
      fromMs: backendServer.statedAtMs ?? Infinity,
      untilMs: clock.monotonicMs(),
    });
  }

  /** Lets the backend server leave without a word but in its answers, and replaces it. */
  async leaveByStatement(): Promise<void> {
    const { backendServer } = this;
    if (backendServer === undefined) {
      return;
    }
    const { clock, record } = this.services;
    backendServer.stateDeparture();
    await clock.sleep(CLOSE_DELAY_MS);
    const { id: backendServerId, statedAtMs } = backendServer;
    if (statedAtMs !== undefined) {
      const { index: host } = this.options;
      record.departures.push({ host, backendServerId, confirmedAtMs: statedAtMs });
    }
    await this.startBackendServer();
    await backendServer.close();
  }

  /** Sends a request to the node under which each backend server that runs it ends. */
  sendCrashingRequest(): Promise<void> {
    return this.crashingCaller.send();
  }

  /** Kills the node and closes everything else on the host. */
  async close(): Promise<void> {
    this.closed = true;
    this.freeze(false);
    await this.killNode();
    [this.toNode, this.toBackendServer, this.toStore, this.toGate].forEach((relay) =>
      relay.close(),
    );
    await Promise.all(this.backendServers.map((backendServer) => backendServer.close()));
    this.log.end();
  }

  private addressOf(port: number): string {
    return `${this.options.ip}:${port}`;
  }

  private async signalAndWait(
    signal: NodeJS.Signals,
    timeoutMs: number,
  ): Promise<number | undefined> {
    const { child } = this;
    if (child === undefined || !this.isRunning) {
      return child?.exitCode ?? 0;
    }
    const exit = once(child, 'exit').then(([code]) => code as number | null);
    child.kill(signal);
    if (!Number.isFinite(timeoutMs)) {
      return (await exit) ?? undefined;
    }
    const timeout = this.services.clock.sleep(timeoutMs).then(() => undefined);
    return (await Promise.race([exit, timeout])) ?? undefined;
  }

  private async startBackendServer(): Promise<void> {
    const { index, service } = this.options;
    this.backendServerCount += 1;
    const started = new SoakBackendServer(
      this.services,
      { id: `b-${index}-${this.backendServerCount}`, service, host: index },
      () => runInBackground(this.endBackendServer(started)),
    );
    this.backendServers.push(started);
    await started.listen();
    this.backendServerAddress = started.address;
    this.backendServer = started;
  }

  /** Ends a backend server at once, and replaces it after a while. */
  private async endBackendServer(running: SoakBackendServer): Promise<void> {
    if (this.backendServer !== running || this.closed) {
      return;
    }
    const { clock, record } = this.services;
    const fromMs = clock.monotonicMs();
    this.backendServer = undefined;
    this.toBackendServer.close();
    await running.close();
    await clock.sleep(REPLACEMENT_DELAY_MS);
    record.disturbances.push({
      kind: DisturbanceKind.Failure,
      host: this.options.index,
      fromMs,
      untilMs: clock.monotonicMs(),
    });
    if (!this.closed) {
      await this.toBackendServer.listen(this.addressOf(Port.ToBackendServer));
    }
    // An overlapping fault may have replaced it.
    if (!this.closed && this.backendServer === undefined) {
      await this.startBackendServer();
    }
  }

  private async sendHeartbeats(): Promise<void> {
    while (!this.closed) {
      if (this.backendServer !== undefined) {
        await this.sendHeartbeat(this.backendServer);
      }
      await this.services.clock.sleep(HEARTBEAT_MS);
    }
  }

  private async sendHeartbeat(backendServer: SoakBackendServer): Promise<void> {
    const { service, zone } = this.options;
    this.heartbeatSequence += 1;
    const body = heartbeatDocument({
      service,
      zone,
      address: this.addressOf(Port.ToBackendServer),
      slots: SLOTS,
      state: backendServer.draining ? 'draining' : 'ready',
      sequence: this.heartbeatSequence,
      startedAt: backendServer.startedAt,
    });
    await this.callControlAddress('PUT', backendServer.id, body);
  }

  /** Calls the node's control address; a failed call is not retried before the next heartbeat. */
  private async callControlAddress(
    method: 'PUT' | 'DELETE',
    id: string,
    body?: string,
  ): Promise<boolean> {
    try {
      const answer = await request(`http://${this.addressOf(Port.Control)}/instances/${id}`, {
        method,
        body,
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }
}
