/** Controls admission to a backend server: only the gate on its host decides what it runs. */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { AdmissionRecorder } from '../admission/admissionRecorder.js';
import { Outcome } from '../calls/callHeaders.js';
import type { CallerPresence } from '../calls/callerPresence.js';
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import { FailureShare } from '../placing/failureShare.js';
import { hash32 } from '../utils/hash.js';
import type { GateLoad } from '../directory/gateLoad.js';
import type { BackendServerClient } from './backendServerClient.js';
import { refusalFailures } from './exchange.js';
import { forwardFailures } from './exchangeFailures.js';
import { isServerFailure } from './serverFailure.js';
import type { ListenProbe } from './listenProbe.js';
import type { Heartbeat, LocalBackendServer } from './localBackendServer.js';
import type {
  BackendAnswer,
  ForwardedRequest,
  ForwardFailure,
  GateReply,
  GateReport,
} from './messages.js';
import { FailureCause } from '../calls/failureCause.js';
import { hashContent } from './requestContent.js';
import type { Slot, SlotQueue } from '../admission/slotQueue.js';
import type { SuspectGuard } from './suspectGuard.js';
import { Admission, ServiceTimeSample } from '../admission/slotQueue.js';
import type { StatedLimit } from '../admission/statedLimit.js';
import type { LinkQueue } from '../transfers/linkQueue.js';
import type { StopTimes } from './stopTimes.js';
import { endsInTime } from './stopTimes.js';

type GateResult = Result<BackendAnswer, ForwardFailure>;

/** The services that a gate depends on. */
export interface GateServices {
  readonly clock: Clock;
  readonly presence: Pick<CallerPresence, 'confirm'>;
  readonly slots: SlotQueue;
  readonly statedLimit: Pick<StatedLimit, 'reportedPerSecond'>;
  readonly backendServer: LocalBackendServer;
  readonly client: Pick<BackendServerClient, 'send'>;
  readonly listenProbe: Pick<ListenProbe, 'hasEnded'>;
  readonly suspectGuard: SuspectGuard;
  readonly transfers: Pick<LinkQueue, 'recentMs' | 'waitingCount'>;
  readonly log: DecisionLog;
  readonly metrics: MetricsRegistry;
}

/** The parts of the time of a request, in milliseconds. */
interface GateTimings {
  /** The time between arrival and deadline. */
  readonly givenMs: number;
  readonly queuedMs: number;
  /** The time spent at the backend server; 0 if the request was not sent. */
  readonly serviceMs: number;
}

/** The time for which requests are refused after a failed connection, in milliseconds. */
const CONNECT_BACKOFF_MS = 200;

/**
 * The maximum age of a reported service time, in milliseconds. A backend server that seems slow gets
 * few requests; once its service time expires, it is tried again.
 */
const MAX_REPORTED_TIME_AGE_MS = 3_000;

const SERVER_ERROR = 500;
/** The status by which a backend server reports that the deadline passed while it ran the request. */
const GATEWAY_TIMEOUT = 504;

function notRun(cause: FailureCause, waitMs?: number): GateResult {
  return Err({ outcome: Outcome.NotRun, cause, waitMs });
}

/** Returns what the duration of a request says about the service time. */
function serviceTimeSampleOf(result: GateResult): ServiceTimeSample {
  if (result.isErr()) {
    return result.error.cause === FailureCause.DeadlinePassed
      ? ServiceTimeSample.AtLeast
      : ServiceTimeSample.None;
  }
  const { status } = result.value;
  if (status === GATEWAY_TIMEOUT) {
    return ServiceTimeSample.AtLeast;
  }
  return status < SERVER_ERROR ? ServiceTimeSample.Exact : ServiceTimeSample.None;
}

/** Returns whether the backend server failed a request, or turned it away. */
function hasServerFailed(result: GateResult): boolean {
  return result.isOk() ? result.value.status >= SERVER_ERROR : isServerFailure(result.error);
}

/** Returns whether the deadline of a request passed between its slot and its send. */
function hasExpired(result: GateResult): boolean {
  return result.isErr() && result.error.cause === FailureCause.WaitedTooLong;
}

/** Admits requests to the backend server on this host. */
export class Gate {
  private closing = false;

  /** The times of the planned stop of this node; undefined if it is not being stopped. */
  private stopTimes: StopTimes | undefined;

  private active = 0;

  private unreachableUntilMs = -Infinity;

  private readonly failureShare: FailureShare;

  private readonly admissions: AdmissionRecorder;

  constructor(private readonly services: GateServices) {
    const { clock, log, metrics } = services;
    this.admissions = new AdmissionRecorder(clock, log, metrics);
    this.failureShare = new FailureShare(services.clock);
  }

  /** The number of requests that wait or run. */
  get inFlight(): number {
    return this.active;
  }

  /**
   * Takes only requests that are expected to end before the node does.
   *
   * @param stopTimes - the times of the planned stop
   */
  startStopping(stopTimes: StopTimes): void {
    this.stopTimes = stopTimes;
  }

  /**
   * Refuses new requests and those that wait, as not run; running requests complete.
   *
   * @returns the number of requests that waited
   */
  close(): number {
    this.closing = true;
    const { queued } = this.services.slots.load;
    this.services.slots.dropAll();
    return queued;
  }

  /**
   * Returns the load to report to other nodes.
   *
   * @returns the load; undefined if the gate accepts no requests
   */
  reportLoad(): GateLoad | undefined {
    const { backendServer, slots, transfers } = this.services;
    if (this.closing || !backendServer.ready) {
      return undefined;
    }
    const { queued, running } = slots.load;
    const serviceTimes = slots
      .recentServiceTimes(MAX_REPORTED_TIME_AGE_MS)
      .map(([route, meanMs]) => ({
        routeHash: hash32(route),
        // Other nodes choose by the time from sending to answer, of which the transfer is a part.
        meanMs: meanMs + transfers.recentMs(route),
      }));
    return {
      load: running + queued + transfers.waitingCount,
      failureShare: this.failureShare.value,
      serviceTimes,
      limitPerSecond: this.services.statedLimit.reportedPerSecond,
    };
  }

  /**
   * Runs a request on the backend server once it gets a slot.
   *
   * @param arrived - the request to run
   * @returns the answer or the failure, and the load of the gate
   */
  async serve(arrived: ForwardedRequest): Promise<GateReply> {
    const { clock } = this.services;
    const arrivedMs = clock.monotonicMs();
    const request = this.endWithNode(arrived);
    this.active += 1;
    let serviceMs = 0;
    const result = await this.admit(request, async (slot) => {
      const startedMs = clock.monotonicMs();
      const sent = await this.send(request);
      serviceMs = clock.monotonicMs() - startedMs;
      slot.release(serviceTimeSampleOf(sent));
      if (!hasExpired(sent)) {
        this.failureShare.record(hasServerFailed(sent));
      }
      return sent;
    });
    this.active -= 1;
    const queuedMs = clock.monotonicMs() - arrivedMs - serviceMs;
    this.recordResult(request, result, {
      givenMs: request.deadlineAtMs - arrivedMs,
      queuedMs,
      serviceMs,
    });
    return { result, report: this.report(result.isOk() ? serviceMs : 0) };
  }

  /**
   * Reports the load to the node of a request.
   *
   * @param serviceMs - the time that the request spent at the backend server, in milliseconds; 0 if it
   *   has not run
   * @returns the report
   */
  report(serviceMs = 0): GateReport {
    const { slots, statedLimit, transfers } = this.services;
    const { queued, running } = slots.load;
    return {
      load: running + queued + transfers.waitingCount,
      serviceMs,
      limitPerSecond: statedLimit.reportedPerSecond,
    };
  }

  /**
   * Judges a request whose body is still with its sender.
   *
   * @param request - the request
   * @returns why it would be refused now, or the expected time to wait and run, in milliseconds
   */
  judge(request: ForwardedRequest): Result<number, FailureCause> {
    const refusal = this.refusalCause(request);
    if (refusal !== undefined) {
      return Err(refusal);
    }
    const { slots } = this.services;
    const serviceMs = slots.expectedServiceMs(request.route);
    const { queued, running, slots: slotCount } = slots.load;
    const excess = Math.max(0, running + queued + 1 - slotCount);
    return Ok(serviceMs + (excess * serviceMs) / Math.max(1, slotCount));
  }

  /** Lets the deadline of a request end with the node, if the node is being stopped. */
  private endWithNode(request: ForwardedRequest): ForwardedRequest {
    const { stopTimes } = this;
    return stopTimes === undefined || stopTimes.endsAtMs >= request.deadlineAtMs
      ? request
      : { ...request, deadlineAtMs: stopTimes.endsAtMs };
  }

  private admit(
    request: ForwardedRequest,
    run: (slot: Slot) => Promise<GateResult>,
  ): Promise<GateResult> {
    const refusal = this.refusalCause(request);
    if (refusal !== undefined) {
      return Promise.resolve(notRun(refusal));
    }
    return new Promise((resolve) => {
      let settled = false;
      const cleanups: (() => void)[] = [];
      const settle = (result: GateResult | Promise<GateResult>): void => {
        if (!settled) {
          settled = true;
          cleanups.forEach((cleanup) => cleanup());
          resolve(result);
        }
      };
      const decision = this.services.slots.admit({
        serviceTimeKey: request.route,
        customer: request.customer,
        customerPriority: request.customerPriority,
        priority: request.priority,
        targetLatencyMs: request.targetLatencyMs,
        targetAtMs: request.targetAtMs,
        deadlineAtMs: request.deadlineAtMs,
        waitLimit: request.waitLimit,
        onGranted: (slot) => settle(run(slot)),
        onDropped: () => settle(notRun(this.dropCause(request))),
      });
      this.admissions.record(request, decision);
      if (decision.admission === Admission.Refused) {
        settle(notRun(FailureCause.NoSlotInTime, decision.waitMs));
      }
      if (decision.admission === Admission.Queued) {
        this.watchQueued(request, decision.cancel, settle, cleanups);
      }
    });
  }

  /** Returns why a request that waited is dropped. */
  private dropCause(request: ForwardedRequest): FailureCause {
    if (this.closing) {
      return FailureCause.ShuttingDown;
    }
    return this.unavailabilityCause(request) ?? FailureCause.WaitedTooLong;
  }

  private watchQueued(
    request: ForwardedRequest,
    cancel: () => void,
    settle: (result: GateResult) => void,
    cleanups: (() => void)[],
  ): void {
    const { clock } = this.services;
    const drop = (cause: FailureCause): void => {
      cancel();
      settle(notRun(cause));
    };
    cleanups.push(
      request.cancellation.onCancel(() => drop(FailureCause.CallerGone)),
      clock.after(Math.max(0, request.deadlineAtMs - clock.monotonicMs()), () =>
        drop(FailureCause.WaitedTooLong),
      ),
    );
  }

  /** Whether a request is expected to end before the node does. */
  private endsInTime({ deadlineAtMs, route }: ForwardedRequest): boolean {
    const { clock, slots } = this.services;
    const usualMs = slots.expectedServiceMs(route);
    return (
      this.stopTimes === undefined ||
      endsInTime(this.stopTimes, clock.monotonicMs(), { deadlineAtMs, usualMs, longestMs: usualMs })
    );
  }

  /** Returns why the backend server of this host may not get a request now; undefined if it may. */
  private unavailabilityCause({ repeatable, service }: ForwardedRequest): FailureCause | undefined {
    const { confirmed, heartbeat, ready } = this.services.backendServer;
    if (!ready || heartbeat?.service !== service) {
      return FailureCause.NotServing;
    }
    return confirmed || repeatable ? undefined : FailureCause.Unconfirmed;
  }

  private refusalCause(request: ForwardedRequest): FailureCause | undefined {
    const { clock, suspectGuard } = this.services;
    const { cancellation } = request;
    if (cancellation.reason !== undefined) {
      return FailureCause.CallerGone;
    }
    if (this.closing || !this.endsInTime(request)) {
      return FailureCause.ShuttingDown;
    }
    const unavailability = this.unavailabilityCause(request);
    if (unavailability !== undefined) {
      return unavailability;
    }
    if (!suspectGuard.mayRun(request)) {
      return FailureCause.SuspectRequest;
    }
    return clock.monotonicMs() < this.unreachableUntilMs ? FailureCause.ConnectFailed : undefined;
  }

  private async send(request: ForwardedRequest): Promise<GateResult> {
    const { backendServer, client, clock, presence, slots, suspectGuard } = this.services;
    const refusal = await presence.confirm(request);
    if (refusal !== undefined) {
      return Err(forwardFailures[refusalFailures[refusal]]);
    }
    const { heartbeat } = backendServer;
    // Another backend server may have taken the place of the one that the request waited for.
    const unavailability = this.unavailabilityCause(request);
    if (unavailability !== undefined || heartbeat === undefined) {
      return notRun(unavailability ?? FailureCause.NotServing);
    }
    if (!suspectGuard.admit(request)) {
      return notRun(FailureCause.SuspectRequest);
    }
    const { address, id } = heartbeat;
    const sent = await client.send(request, {
      address,
      instanceId: id,
      usualServiceMs: slots.expectedServiceMs(request.route),
    });
    const result = await this.recordRun(request, heartbeat, sent);
    if (result.isErr()) {
      if (result.error.cause === FailureCause.NotServing) {
        backendServer.recordMisdirectedRequest();
      }
      if (result.error.cause === FailureCause.ConnectFailed) {
        this.unreachableUntilMs = clock.monotonicMs() + CONNECT_BACKOFF_MS;
      }
    }
    return result;
  }

  /**
   * Records the outcome of a run for the judgement of requests with its content. Tells a backend
   * server that ended from a connection that was lost otherwise.
   */
  private async recordRun(
    request: ForwardedRequest,
    heartbeat: Heartbeat,
    result: GateResult,
  ): Promise<GateResult> {
    const { listenProbe, log, suspectGuard } = this.services;
    if (result.isOk()) {
      // A server error may be that of a run that was cut off at its deadline.
      if (!hasServerFailed(result)) {
        suspectGuard.recordAnswered(request);
      }
      return result;
    }
    if (result.error.cause !== FailureCause.ConnectionLost) {
      return result;
    }
    const { address, id } = heartbeat;
    const ended = await listenProbe.hasEnded(address);
    const { requestId } = request;
    const contentHash = hashContent(request);
    log.record(Importance.Notable, 'run-interrupted', { requestId, contentHash, id, ended });
    if (!ended) {
      return result;
    }
    suspectGuard.recordInterrupted(request, heartbeat);
    const cause = suspectGuard.mayRun(request)
      ? FailureCause.ServerEnded
      : FailureCause.SuspectRequest;
    return Err({ ...result.error, cause });
  }

  private recordResult(
    { requestId, route, service }: ForwardedRequest,
    result: GateResult,
    { givenMs, queuedMs, serviceMs }: GateTimings,
  ): void {
    const { metrics, log, slots } = this.services;
    if (result.isOk()) {
      metrics.observe('gate_service_ms', serviceMs, { route });
      return;
    }
    const { cause, outcome, waitMs } = result.error;
    metrics.count('gate_failures', { cause, outcome });
    const { queued, running, slots: slotCount } = slots.load;
    log.record(Importance.Notable, 'gate-gave-no-answer', {
      requestId,
      service,
      cause,
      outcome,
      waitMs,
      givenMs: Math.round(givenMs),
      queuedMs: Math.round(queuedMs),
      serviceMs: Math.round(serviceMs),
      running,
      queued,
      slots: slotCount,
    });
  }
}
