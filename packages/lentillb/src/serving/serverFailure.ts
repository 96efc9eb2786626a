/** Tells the failures of backend servers from those of callers, queues and connections. */
import { Outcome } from '../calls/callHeaders.js';
import type { ForwardFailure } from './messages.js';
import { FailureCause } from '../calls/failureCause.js';

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
