/** Tracks the recent share of failed requests. */
import { Outcome } from '../calls/callHeaders.js';
import type { Clock } from '../kernel/clock.js';
import type { ForwardFailure } from './messages.js';
import { FailureCause } from '../calls/failureCause.js';

/** The half-life of the share, in milliseconds; after it, a failing backend server is tried again. */
const HALF_LIFE_MS = 1_000;
/** The weight of one request. */
const REQUEST_WEIGHT = 0.15;

/** The causes that say nothing about a backend server. */
const unrelatedCauses: readonly FailureCause[] = [
  FailureCause.CallerGone,
  FailureCause.NoSlotInTime,
  FailureCause.ConnectionSilent,
];

/** The causes that say nothing about a host if its gate did not report them. */
const causesUnrelatedToHost: ReadonlySet<FailureCause> = new Set([
  FailureCause.CallerGone,
  FailureCause.ConnectionSilent,
  FailureCause.WaitedTooLong,
]);

/**
 * Checks whether a failure that a gate did not report says nothing about the host of the gate.
 *
 * @param cause - the reason why the request got no answer
 * @returns whether the host is no less likely to run the next request
 */
export function isUnrelatedToHost(cause: FailureCause): boolean {
  return causesUnrelatedToHost.has(cause);
}

/**
 * Checks whether a request without an answer says something about the backend server that it was for.
 *
 * @param failure - the reason, and whether the request may have run
 * @returns false if the caller left, the load was too high, the connection to its node went silent, or
 *   the request is blocked on all hosts
 */
export function isServerFailure({ cause, outcome }: ForwardFailure): boolean {
  const isBlocked = cause === FailureCause.SuspectRequest && outcome === Outcome.NotRun;
  return !unrelatedCauses.includes(cause) && !isBlocked;
}

/** A share of failures that fades with time, so that what failed is tried again. */
export class FailureShare {
  private share = 0;

  private recordedAtMs = 0;

  /** @param clock - the clock by which the share fades */
  constructor(private readonly clock: Clock) {}

  /** The share of failures, from 0 to 1. */
  get value(): number {
    const ageMs = this.clock.monotonicMs() - this.recordedAtMs;
    return this.share * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  /**
   * Records the outcome of a request.
   *
   * @param failed - whether the request failed
   */
  record(failed: boolean): void {
    const { value } = this;
    this.share = value + ((failed ? 1 : 0) - value) * REQUEST_WEIGHT;
    this.recordedAtMs = this.clock.monotonicMs();
  }
}
