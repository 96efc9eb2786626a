/**
 * Stands before the gate of a host: refuses requests that the version of the backend server may not run,
 * and counts the answers while a rollout order is open.
 */
import { Err } from 'ts-results-es';
import { Outcome } from '../calls/callHeaders.js';
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import type { ForwardedRequest, GateReply } from '../serving/messages.js';
import { FailureCause } from '../calls/failureCause.js';
import { hash32 } from '../utils/hash.js';
import type { EvidenceReport } from './evidence.js';
import { EvidenceCounter } from './evidence.js';
import { isFinal } from './rollout.js';
import type { HeldStatement, RolloutStatements } from './rolloutStatements.js';
import type { VersionRules } from './versionRules.js';

/** The time in which a controller that hears of a stop decides, in milliseconds: three reports. */
const DECISION_TIME_MS = 1_500;
/** How often a gate resumes after a stop, so that bad answers stay few if no controller hears of them. */
const MAX_RESUMES = 2;
const SERVER_ERROR = 500;

/** The gate behind this one. */
export interface GuardedGate {
  serve(request: ForwardedRequest): Promise<GateReply>;
}

/** What a gate knows of its backend server. */
export interface GuardedServer {
  readonly heartbeat: { readonly service: string; readonly version?: string } | undefined;
  /** Whether the backend server is still slow because it has just started. */
  readonly warmingUp: boolean;
}

/** The services that a version gate depends on. */
export interface VersionGateServices {
  readonly clock: Clock;
  readonly gate: GuardedGate;
  readonly backendServer: GuardedServer;
  readonly rules: VersionRules;
  readonly statements: RolloutStatements;
  readonly log: DecisionLog;
  readonly metrics: MetricsRegistry;
  /** Called when the gate stops because of bad answers. */
  readonly onStopped: () => void;
}

/** The answers of the backend server since the gate learnt of an order. */
interface Observation {
  readonly service: string;
  readonly offset: number;
  readonly version: string;
  readonly counter: EvidenceCounter;
  /** When the gate stopped, in milliseconds of the monotonic clock; undefined if it takes requests. */
  stoppedAtMs: number | undefined;
  resumes: number;
}

/** The gate of a backend server that runs one of several versions of its service. */
export class VersionGate {
  private inFlight = 0;

  private observation: Observation | undefined;

  private readonly startedAt: number;

  /**
   * @param services - the services that the gate depends on
   * @param host - the host of this node
   */
  constructor(
    private readonly services: VersionGateServices,
    private readonly host: string,
  ) {
    this.startedAt = services.clock.now().getTime();
  }

  /**
   * Runs a request on the backend server if its version may run it.
   *
   * @param request - the request to run
   * @returns the reply of the gate, or that the request has not run
   */
  async serve(request: ForwardedRequest): Promise<GateReply> {
    const { backendServer, clock, gate, rules } = this.services;
    const { service } = request;
    const version = backendServer.heartbeat?.version;
    const observation = this.observe();
    const isStopped = observation !== undefined && this.isStopped(observation);
    const isOwnService = backendServer.heartbeat?.service === service;
    if (isOwnService && (isStopped || !rules.mayRun(service, version))) {
      return this.refuse(request, isStopped);
    }
    const startedMs = clock.monotonicMs();
    this.inFlight += 1;
    const reply = await gate.serve(request);
    this.inFlight -= 1;
    if (observation !== undefined && observation === this.observation) {
      this.count(observation, request, reply, clock.monotonicMs() - startedMs);
    }
    return reply;
  }

  /** What the gate reports to the controllers; undefined if there is no rollout of its service. */
  get report(): EvidenceReport | undefined {
    const observation = this.observe();
    const { held } = this;
    if (observation === undefined || held === undefined) {
      return undefined;
    }
    const { counter, offset, service, version } = observation;
    return {
      service,
      offset,
      host: this.host,
      run: hash32(`${this.startedAt} ${version} ${offset}`),
      version,
      stage: held.statement.stage,
      inFlight: this.inFlight,
      ...counter.totals,
      stopped: this.isStopped(observation),
    };
  }

  /** The open rollout of the service of the backend server, if there is one. */
  private get held(): HeldStatement | undefined {
    const { backendServer, statements } = this.services;
    const service = backendServer.heartbeat?.service;
    const held = service === undefined ? undefined : statements.of(service);
    return held === undefined || isFinal(held.statement.stage) ? undefined : held;
  }

  /** Starts to count with a new order, or with a backend server of another version. */
  private observe(): Observation | undefined {
    const { held } = this;
    if (held === undefined) {
      this.observation = undefined;
      return undefined;
    }
    const { baseVersion, offset, service } = held.statement;
    const version = this.services.backendServer.heartbeat?.version ?? baseVersion;
    const { observation } = this;
    if (
      observation?.offset !== offset ||
      observation.service !== service ||
      observation.version !== version
    ) {
      const counter = new EvidenceCounter();
      this.observation = { service, offset, version, counter, stoppedAtMs: undefined, resumes: 0 };
    }
    return this.observation;
  }

  /** Whether the gate has stopped. It resumes once a controller that could know of the stop goes on. */
  private isStopped(observation: Observation): boolean {
    const { stoppedAtMs } = observation;
    if (stoppedAtMs === undefined) {
      return false;
    }
    const heardAtMs = this.held?.heardAtMs ?? -Infinity;
    if (heardAtMs - stoppedAtMs < DECISION_TIME_MS || observation.resumes >= MAX_RESUMES) {
      return true;
    }
    observation.counter.forgetLast();

    Object.assign(observation, { stoppedAtMs: undefined, resumes: observation.resumes + 1 });
    return false;
  }

  private refuse({ requestId, service }: ForwardedRequest, isStopped: boolean): GateReply {
    const { backendServer, log, metrics } = this.services;
    const reason = isStopped ? 'bad-answers' : 'version-not-allowed';
    const version = backendServer.heartbeat?.version;
    metrics.count('rollout_refusals', { service, reason });
    log.record(Importance.Ordinary, 'version-refused', { requestId, service, version, reason });
    return {
      result: Err({ outcome: Outcome.NotRun, cause: FailureCause.NotServing }),
      report: { load: this.inFlight, serviceMs: 0 },
    };
  }

  private count(
    observation: Observation,
    { route }: ForwardedRequest,
    { report, result }: GateReply,
    elapsedMs: number,
  ): void {
    if (result.isErr() && result.error.outcome === Outcome.NotRun) {
      return;
    }
    const cause = result.isErr() ? result.error.cause : undefined;
    if (cause === FailureCause.CallerGone) {
      return;
    }
    const isFailure = result.isOk()
      ? result.value.status >= SERVER_ERROR
      : cause !== FailureCause.DeadlinePassed;
    const { backendServer, clock, log, metrics, onStopped, statements } = this.services;
    if (backendServer.warmingUp && !isFailure) {
      return;
    }
    const { counter, service, version } = observation;
    counter.record({
      routeHash: hash32(route),
      isBad: isFailure || result.isErr(),
      isFailure,
      // A request that was not answered took at least this long.
      durationMs: result.isOk() ? (report?.serviceMs ?? elapsedMs) : elapsedMs,
    });
    metrics.count('rollout_answers', { service, version, bad: `${isFailure}` });
    const isTarget = statements.of(service)?.statement.targetVersion === version;
    if (isTarget && observation.stoppedAtMs === undefined && counter.showsFailure) {
      // eslint-disable-next-line no-param-reassign -- the state of the gate is kept with its counts
      observation.stoppedAtMs = clock.monotonicMs();
      const { answers, bad } = counter.totals;
      log.record(Importance.Notable, 'rollout-gate-stopped', { service, version, answers, bad });
      onStopped();
    }
  }
}
