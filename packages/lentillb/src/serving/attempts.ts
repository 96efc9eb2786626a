/** Tracks the attempts to serve one request. */
import { Outcome } from '../calls/callHeaders.js';
import type { MeshRoute } from '../configuration/meshConfiguration.js';
import { hash32 } from '../utils/hash.js';
import { LateAnswers } from './lateAnswers.js';
import type { BackendAnswer, ForwardedRequest, ForwardFailure, GateReply } from './messages.js';
import { FailureCause } from '../calls/failureCause.js';

/** The hosts tried for one request and the results so far. */
export class Attempts {
  /** The hosts that cannot serve the request, or may have run it. */
  readonly excluded = new Set<string>();

  /** The hosts that had no slot within the target latency. */
  readonly saturated = new Set<string>();

  /** The number of backend servers that the request reached. */
  sent = 0;

  /** How often the request was sent to a gate. */
  transmissions = 0;

  /** The shortest wait for a slot that a gate expected, in milliseconds. */
  minWaitMs = Infinity;

  /** A server error to deliver if no other attempt succeeds. */
  fallback: BackendAnswer | undefined;

  /** The failure of the last attempt. */
  failure: ForwardFailure | undefined;

  /** The hash of the route's name, by which gates report service times. */
  readonly routeHash: number;

  /** Whether an attempt has ended that may have run the request. */
  private hasUnknownOutcome = false;

  /** The number of attempts whose hosts stopped responding and whose replies are still awaited. */
  private awaited = 0;

  readonly lateAnswers = new LateAnswers();

  /**
   * @param request - the request as it is forwarded
   * @param route - the route that the request matches
   * @param trialHostHash - the hash of the address of the only host that may get the request, if its
   *   content is blocked and tried there
   */
  constructor(
    readonly request: ForwardedRequest,
    readonly route: MeshRoute,
    readonly trialHostHash?: number,
  ) {
    this.routeHash = hash32(route.name);
  }

  /** Whether any backend server may have run the request. */
  get mayHaveRun(): boolean {
    return this.hasUnknownOutcome || this.awaited > 0;
  }

  /**
   * Records an attempt without an answer.
   *
   * @param host - the host whose gate gave no answer
   * @param failure - the reason, and whether the request may have run
   */
  recordFailure(host: string, failure: ForwardFailure): void {
    const { cause, outcome, waitMs } = failure;
    const isSaturated = cause === FailureCause.NoSlotInTime;
    const isUndelivered = cause === FailureCause.ConnectionSilent && outcome === Outcome.NotRun;
    // Over another connection, the same gate may run the request.
    if (!isUndelivered) {
      (isSaturated ? this.saturated : this.excluded).add(host);
    }
    this.failure = failure;
    this.minWaitMs = Math.min(this.minWaitMs, waitMs ?? Infinity);
    this.hasUnknownOutcome ||= outcome === Outcome.Unknown;
    this.sent += outcome === Outcome.Unknown || cause === FailureCause.Rejected ? 1 : 0;
  }

  /**
   * Records that a host stopped responding while an attempt may be at work there.
   *
   * @param host - the host, whose reply is still awaited
   * @param failure - the reason to try another one
   */
  recordSilence(host: string, failure: ForwardFailure): void {
    this.excluded.add(host);
    this.failure = failure;
    this.awaited += 1;
    this.sent += 1;
  }

  /**
   * Records the end of an attempt whose host had stopped responding.
   *
   * @param result - the answer or the failure
   */
  recordLateEnd(result: GateReply['result']): void {
    this.awaited -= 1;
    if (result.isOk()) {
      this.hasUnknownOutcome = true;
      this.fallback ??= result.value;
      return;
    }
    const { cause, outcome } = result.error;
    this.hasUnknownOutcome ||= outcome === Outcome.Unknown;
    this.sent -= outcome === Outcome.NotRun && cause !== FailureCause.Rejected ? 1 : 0;
    this.failure = result.error;
  }

  /**
   * Records that a backend server ran the request.
   *
   * @param host - the host of the backend server
   */
  recordRun(host: string): void {
    this.excluded.add(host);
    this.sent += 1;
    this.hasUnknownOutcome = true;
  }

  /**
   * Records that the run ended in a server error.
   *
   * @param answer - the server error, delivered if no other attempt succeeds
   */
  recordFailedRun(answer: BackendAnswer): void {
    this.fallback = answer;
    this.failure = { outcome: Outcome.Unknown, cause: FailureCause.RunFailed };
  }
}
