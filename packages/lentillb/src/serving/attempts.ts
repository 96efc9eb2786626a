/** One request on its way, with what became of it so far. */
import { Outcome } from '../calls/callHeaders.js';
import type { MeshRoute } from '../configuration/meshConfiguration.js';
import type { BackendAnswer, ForwardedRequest, ForwardFailure } from './messages.js';
import { FailureCause } from './messages.js';

/** The attempts of one request. */
export class Attempts {
  /** Hosts that cannot serve it, or may have run it. */
  readonly excluded = new Set<string>();

  /** Hosts that had no slot in time. */
  readonly saturated = new Set<string>();

  /** How many backend servers it reached. */
  sent = 0;

  /** The shortest wait that a gate expected, in milliseconds. */
  minWaitMs = Infinity;

  /** An answer to deliver where no better one comes. */
  fallback: BackendAnswer | undefined;

  /** The last failure. */
  failure: ForwardFailure | undefined;

  /** Whether it may have run somewhere. */
  mayHaveRun = false;

  /**
   * @param request - the request as it is sent on
   * @param route - its route
   */
  constructor(
    readonly request: ForwardedRequest,
    readonly route: MeshRoute,
  ) {}

  /**
   * @param host - the host whose gate gave no answer
   * @param failure - why not
   */
  recordFailure(host: string, failure: ForwardFailure): void {
    const { cause, outcome, waitMs } = failure;
    const isSaturated = cause === FailureCause.NoSlotInTime;
    (isSaturated ? this.saturated : this.excluded).add(host);
    this.failure = failure;
    this.minWaitMs = Math.min(this.minWaitMs, waitMs ?? Infinity);
    this.mayHaveRun ||= outcome === Outcome.Unknown;
    this.sent += outcome === Outcome.Unknown || cause === FailureCause.Rejected ? 1 : 0;
  }

  /** @param host - the host whose backend server ran it */
  recordRun(host: string): void {
    this.excluded.add(host);
    this.sent += 1;
    this.mayHaveRun = true;
  }

  /** @param answer - a backend server's failure, delivered where no other answer comes */
  recordFailedRun(answer: BackendAnswer): void {
    this.fallback = answer;
    this.failure = { outcome: Outcome.Unknown, cause: FailureCause.RunFailed };
  }
}
