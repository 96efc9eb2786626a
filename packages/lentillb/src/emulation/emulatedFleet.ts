/**
 * Plays a load against the real decisions of entries and gates, on emulated hosts and callers, in
 * simulated time. Runs with equal seeds are equal.
 */
import { Err } from 'ts-results-es';
import { Outcome } from '../calls/callHeaders.js';
import { Cancellation, CancelReason } from '../calls/cancellation.js';
import { ConfigurationHolder } from '../configuration/configurationHolder.js';
import { BackendServerState } from '../directory/announcement.js';
import { Directory } from '../directory/directory.js';
import type { GateLoad } from '../directory/gateLoad.js';
import { SeededRandomness } from '../kernel/randomness.js';
import { Repetition } from '../rules/ruleForms.js';
import type { EntryAnswer } from '../serving/entry.js';
import type { ForwardedRequest, GateReply } from '../serving/messages.js';
import { FailureCause } from '../calls/failureCause.js';
import type { SlotLoad } from '../admission/slotQueue.js';
import { runInBackground } from '../utils/background.js';
import { CallerResult, CallerTally } from './callerTally.js';
import { EmulatedBackendServer } from './emulatedBackendServer.js';
import type { EmulatedHostOptions, Selector, SelectorServices } from './emulatedHost.js';
import { EmulatedHost, emulatedHeaderNames } from './emulatedHost.js';
import { EventClock } from './eventClock.js';
import type { Disturbance, RequestKind, Scenario } from './scenario.js';
import { valueOfZone } from './scenario.js';

const MS_PER_SECOND = 1_000;
/**
 * The interval at which gates report their load, and readers pass the reports on: a gossip round. The
 * mean age of a report, over both, is as long.
 */
const REPORT_INTERVAL_MS = 500;
/** The interval at which the slots in use are compared, in milliseconds. */
const SAMPLE_INTERVAL_MS = 100;
const READERS_PER_ZONE = 2;
/** The share of the time left up to which callers wait before they try again. */
const MAX_RETRY_WAIT_SHARE = 1 / 3;
/** The share of its target latency within which a refusal is prompt. */
const MAX_PROMPT_SHARE = 1 / 8;
/** The allowance for a reply in transit when the deadline passes, in milliseconds. */
const REPLY_GRACE_MS = 90;

const HttpStatus = { Ok: 200, Unavailable: 503 } as const;

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

/** The settings of a run beside the scenario. */
export interface RunOptions {
  readonly seed: number;
  /** Whether gates report their load and speed to the nodes of their zone. */
  readonly sharesLoad: boolean;
  /** Creates what chooses gates at a host; the selector of nodes if it is left out. */
  readonly createSelector?: (services: SelectorServices, host: EmulatedHostOptions) => Selector;
}

/** The slots in use at the backend servers of a service, at one moment. */
export interface SlotsInUse {
  /** The mean share of the slots in use, from 0 to 1. */
  readonly mean: number;
  /** The standard deviation of the share between backend servers. */
  readonly deviation: number;
  /** The number of requests that wait for a slot. */
  readonly queued: number;
}

interface Attempt {
  readonly kind: string;
  readonly deadlineAtMs: number;
  readonly host: EmulatedHost;
}

function resultOf(
  { status }: EntryAnswer,
  elapsedMs: number,
  { deadlineMs, targetMs }: RequestKind,
): CallerResult {
  if (status === HttpStatus.Unavailable) {
    return CallerResult.Refused;
  }
  if (status !== HttpStatus.Ok || elapsedMs > deadlineMs) {
    return CallerResult.Failed;
  }
  return elapsedMs <= targetMs ? CallerResult.InTime : CallerResult.Late;
}

/** A fleet of emulated hosts with their callers. */
export class EmulatedFleet {
  /** What callers got, by kind of request. */
  readonly byKind = new CallerTally();

  /** The requests that were held for a while and then refused, by kind. */
  readonly heldByKind = new CallerTally();

  /** What callers got, by zone. */
  readonly byZone = new CallerTally();

  /** The time from the first attempt to the answer, of requests that were answered, by kind. */
  readonly latenciesMsByKind = new Map<string, number[]>();

  /** The slots in use since the end of the warm-up, by service. */
  readonly slotsInUse = new Map<string, SlotsInUse[]>();

  /** The number of requests and calls sent to gates, and of those sent to another zone. */
  readonly sends = { all: 0, crossZone: 0 };

  private readonly clock = new EventClock();

  private readonly randomness: SeededRandomness;

  private readonly configuration = new ConfigurationHolder();

  private readonly directory = new Directory();

  private readonly hosts: readonly EmulatedHost[];

  private readonly hostsByName: ReadonlyMap<string, EmulatedHost>;

  private readonly collectedLoads = new Map<EmulatedHost, GateLoad>();

  private loadFactor = 1;

  private requestCount = 0;

  constructor(
    private readonly scenario: Scenario,
    private readonly options: RunOptions,
  ) {
    this.randomness = new SeededRandomness(options.seed);
    this.configuration.activateIfNewer({
      version: 1,
      limits: LIMITS,
      routes: Object.entries(scenario.requests).map(([name, kind]) => ({
        name,
        hostname: `${name}.example`,
        pathPrefix: '/',
        destinations: [{ service: kind.service, weight: 1 }],
        repetition: kind.repeatable ? Repetition.Repeat : Repetition.Once,
        maxBackendServers: 2,
        timeoutMs: kind.timeoutMs,
        targetLatencyMs: kind.targetMs,
        priority: kind.priority,
      })),
    });
    this.hosts = this.createHosts();
    this.hostsByName = new Map(this.hosts.map((host) => [host.options.host, host]));
  }

  /**
   * @param host - the name of a host
   * @returns the load of its backend server at this moment
   */
  loadOf(host: string): SlotLoad {
    return (this.hostsByName.get(host) as EmulatedHost).slots.load;
  }

  /** Plays the scenario to its end. */
  async run(): Promise<void> {
    const { disturbances = [], durationMs, requests, zones } = this.scenario;
    if (this.options.sharesLoad) {
      this.hosts.forEach((host) => this.scheduleReport(host));
      for (let reader = 0; reader < zones * READERS_PER_ZONE; reader += 1) {
        this.scheduleRelay(`z${reader % zones}`);
      }
    }
    disturbances.forEach((disturbance) => this.schedule(disturbance));
    Object.entries(requests).forEach(([kind, { perSecond }]) => {
      for (let zone = 0; zone < zones; zone += 1) {
        if (valueOfZone(perSecond, zone) > 0) {
          this.scheduleArrival(kind, zone);
        }
      }
    });
    this.scheduleSample();
    const longestMs = Math.max(...Object.values(requests).map(({ deadlineMs }) => deadlineMs));
    await this.clock.runUntil(durationMs + longestMs);
  }

  private createHosts(): readonly EmulatedHost[] {
    const { scenario } = this;
    const hosts: EmulatedHost[] = [];
    Object.entries(scenario.services).forEach(([service, { serversPerZone, slots, speeds }]) => {
      const places = Array.from({ length: scenario.zones }, (_, zone) =>
        Array.from({ length: valueOfZone(serversPerZone, zone) }, (__, place) => ({ place, zone })),
      ).flat();
      // Alternates between the zones, so that a share of the backend servers is in all of them.
      places.sort((left, right) => left.place - right.place || left.zone - right.zone);
      places.forEach(({ place, zone: zoneIndex }, index) => {
        const zone = `z${zoneIndex}`;
        const host = `${service}-${index}`;
        const speed = speeds[place % speeds.length] as number;
        const { clock, configuration, directory, randomness } = this;
        const backendServer = new EmulatedBackendServer(
          {
            clock,
            randomness,
            kinds: scenario.requests,
            call: (kind, deadlineAtMs) => this.callInsideRun(host, kind, deadlineAtMs),
          },
          speed,
        );
        directory.merge({
          host,
          zone,
          gateAddress: host,
          peerAddress: host,
          incarnation: 1,
          sequence: 1,
          backendServer: {
            id: `i-${host}`,
            startedAtMs: 1,
            service,
            slots,
            state: BackendServerState.Ready,
          },
        });
        const forward = (to: string, request: ForwardedRequest): Promise<GateReply> =>
          this.forward(zone, to, request);
        const { createSelector } = this.options;
        hosts.push(
          new EmulatedHost(
            { clock, configuration, directory, randomness, forward },
            { host, zone, service, slots, createSelector },
            backendServer,
          ),
        );
      });
    });
    return hosts;
  }

  /** Each gate reports to the readers of its zone. */
  private scheduleReport(host: EmulatedHost): void {
    this.clock.after(this.sampleIntervalMs(), () => {
      const load = host.gate.reportLoad();
      if (load !== undefined) {
        this.collectedLoads.set(host, load);
      }
      this.scheduleReport(host);
    });
  }

  /** A reader of a zone passes the reports of its gates on. */
  private scheduleRelay(zone: string): void {
    this.clock.after(this.sampleIntervalMs(), () => {
      const zoneHosts = this.hosts.filter(({ options }) => options.zone === zone);
      zoneHosts.forEach((reporter) => {
        const load = this.collectedLoads.get(reporter);
        if (load !== undefined) {
          const { host } = reporter.options;
          zoneHosts.forEach(({ observations }) => observations.recordSharedLoad(host, load));
        }
      });
      this.scheduleRelay(zone);
    });
  }

  private sampleIntervalMs(): number {
    const intervalMs = this.scenario.reportAgeMs ?? REPORT_INTERVAL_MS;
    return intervalMs * (1 + (this.randomness.fraction() - 1 / 2) / 2);
  }

  private schedule({ atMs, failing, forMs, limited, load = 1, slow }: Disturbance): void {
    const slowServers = this.shareOf(slow?.service, slow?.share);
    const failingServers = this.shareOf(failing?.service, failing?.share);
    const limitedServers = this.shareOf(limited?.service, limited?.share);
    this.clock.after(atMs, () => {
      this.loadFactor *= load;
      slowServers.forEach((server) => server.slowDown(slow?.factor ?? 1));
      failingServers.forEach((server) => server.fail(failing?.failures ?? 0));
      limitedServers.forEach((server) => server.stateLimit(limited?.perSecond));
    });
    this.clock.after(atMs + forMs, () => {
      this.loadFactor /= load;
      slowServers.forEach((server) => server.slowDown(1));
      failingServers.forEach((server) => server.fail(0));
      limitedServers.forEach((server) => server.stateLimit(undefined));
    });
  }

  private shareOf(service: string | undefined, share = 0): readonly EmulatedBackendServer[] {
    return this.hosts
      .filter(({ options }) => options.service === service)
      .filter((_, index, all) => index < all.length * share)
      .map(({ backendServer }) => backendServer);
  }

  private scheduleSample(): void {
    const { durationMs, services, warmUpMs } = this.scenario;
    this.clock.after(SAMPLE_INTERVAL_MS, () => {
      const nowMs = this.clock.monotonicMs();
      if (nowMs > durationMs) {
        return;
      }
      if (nowMs > warmUpMs) {
        Object.keys(services).forEach((service) => {
          const samples = this.slotsInUse.get(service) ?? [];
          this.slotsInUse.set(service, samples);
          samples.push(this.compareSlots(service));
        });
      }
      this.scheduleSample();
    });
  }

  private compareSlots(service: string): SlotsInUse {
    const loads = this.hosts
      .filter(({ options }) => options.service === service)
      .map(({ slots }) => slots.load);
    const shares = loads.map(({ running, slots }) => running / slots);
    const mean = shares.reduce((sum, share) => sum + share, 0) / shares.length;
    const variance = shares.reduce((sum, share) => sum + (share - mean) ** 2, 0) / shares.length;
    const queued = loads.reduce((sum, load) => sum + load.queued, 0);
    return { mean, deviation: Math.sqrt(variance), queued };
  }

  /** The factor on the request rate of a zone at this time. */
  private waveOf(zone: number): number {
    const { waves } = this.scenario;
    if (waves === undefined) {
      return 1;
    }
    const periods = this.clock.monotonicMs() / waves.periodMs + valueOfZone(waves.phases, zone);
    return 1 + waves.swing * Math.sin(2 * Math.PI * periods);
  }

  private scheduleArrival(kind: string, zone: number): void {
    const { perSecond } = this.scenario.requests[kind] as RequestKind;
    const rate = valueOfZone(perSecond, zone) * this.loadFactor * this.waveOf(zone);
    const meanMs = MS_PER_SECOND / rate;
    const delayMs = -Math.log(1 - this.randomness.fraction()) * meanMs;
    this.clock.after(delayMs, () => {
      if (this.clock.monotonicMs() < this.scenario.durationMs) {
        runInBackground(this.request(kind, `z${zone}`));
        this.scheduleArrival(kind, zone);
      }
    });
  }

  /** Sends a request as a caller does, with further attempts after refusals. */
  private async request(kindName: string, zone: string): Promise<void> {
    const { clock, randomness } = this;
    const kind = this.scenario.requests[kindName] as RequestKind;
    const zoneHosts = this.hosts.filter(({ options }) => options.zone === zone);
    const host = zoneHosts[randomness.integer(zoneHosts.length)] as EmulatedHost;
    const startedMs = clock.monotonicMs();
    const deadlineAtMs = startedMs + kind.deadlineMs;
    let attemptedAtMs = startedMs;
    let answer = await this.attempt({ kind: kindName, deadlineAtMs, host });
    for (let retry = 0; retry < kind.retries; retry += 1) {
      const remainingMs = deadlineAtMs - clock.monotonicMs();
      if (answer.status !== HttpStatus.Unavailable || remainingMs <= 0) {
        break;
      }
      const retryAfterMs = Number(answer.headers['retry-after'] ?? 0) * MS_PER_SECOND;
      await clock.sleep(Math.min(retryAfterMs, remainingMs * MAX_RETRY_WAIT_SHARE));
      attemptedAtMs = clock.monotonicMs();
      answer = await this.attempt({ kind: kindName, deadlineAtMs, host });
    }
    if (startedMs >= this.scenario.warmUpMs) {
      const result = resultOf(answer, clock.monotonicMs() - startedMs, kind);
      this.byKind.add(kindName, result);
      const heldMs = clock.monotonicMs() - attemptedAtMs;
      if (result === CallerResult.Refused && heldMs > kind.targetMs * MAX_PROMPT_SHARE) {
        this.heldByKind.add(kindName, result);
      }
      this.byZone.add(zone, result);
      if (result === CallerResult.InTime || result === CallerResult.Late) {
        const latenciesMs = this.latenciesMsByKind.get(kindName) ?? [];
        this.latenciesMsByKind.set(kindName, latenciesMs);
        latenciesMs.push(clock.monotonicMs() - startedMs);
      }
    }
  }

  private async callInsideRun(
    hostName: string,
    kind: string,
    deadlineAtMs: number,
  ): Promise<boolean> {
    const host = this.hostsByName.get(hostName) as EmulatedHost;
    const { deadlineMs } = this.scenario.requests[kind] as RequestKind;
    const earlierMs = Math.min(deadlineAtMs, this.clock.monotonicMs() + deadlineMs);
    const { status } = await this.attempt({ kind, deadlineAtMs: earlierMs, host });
    return status === HttpStatus.Ok;
  }

  private async attempt({ deadlineAtMs, host, kind }: Attempt): Promise<EntryAnswer> {
    const { clock } = this;
    const cancellation = new Cancellation();
    const arrivedAtMs = clock.monotonicMs();
    const remainingMs = Math.max(0, Math.floor(deadlineAtMs - arrivedAtMs));
    this.requestCount += 1;
    const stopTimer = clock.after(remainingMs, () => cancellation.cancel(CancelReason.CallerGone));
    const answer = await host.entry.serve({
      method: 'GET',
      target: '/',
      headers: {
        host: `${kind}.example`,
        [emulatedHeaderNames.requestId]: `r-${this.requestCount}`,
        [emulatedHeaderNames.deadlineMs]: `${remainingMs}`,
      },
      body: Buffer.alloc(0),
      cancellation,
      arrivedAtMs,
    });
    stopTimer();
    return answer;
  }

  private async forward(
    fromZone: string,
    to: string,
    request: ForwardedRequest,
  ): Promise<GateReply> {
    const { clock } = this;
    const { linkMs } = this.scenario;
    const host = this.hostsByName.get(to) as EmulatedHost;
    if (clock.monotonicMs() >= this.scenario.warmUpMs) {
      this.sends.all += 1;
      this.sends.crossZone += host.options.zone === fromZone ? 0 : 1;
    }
    await clock.sleep(linkMs);
    const remainingMs = Math.max(0, request.deadlineAtMs - clock.monotonicMs());
    const reply = await Promise.race([
      host.gate.serve(request),
      clock.sleep(remainingMs + REPLY_GRACE_MS),
    ]);
    await clock.sleep(linkMs);
    return (
      reply ?? {
        result: Err({ outcome: Outcome.Unknown, cause: FailureCause.DeadlinePassed }),
        report: undefined,
      }
    );
  }
}
