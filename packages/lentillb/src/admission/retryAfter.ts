/**
 * Chooses when a refused caller should retry. While the load exceeds the slots, callers retry when
 * a slot is expected and early enough that their answer still counts. The delays are jittered,
 * because callers that all retry at the same moment would only be refused again.
 */
import type { Randomness } from '../kernel/randomness.js';
import { FailureCause } from '../calls/failureCause.js';

/** The retry delay sent to callers while the node has no configuration, in milliseconds. */
export const UNCONFIGURED_RETRY_AFTER_MS = 500;
/** The retry delay sent to callers while the node fetches a newer version, in milliseconds. */
export const BEHIND_RETRY_AFTER_MS = 200;
/** The retry delay sent to callers of a service without backend servers, in milliseconds. */
export const UNSERVED_RETRY_AFTER_MS = 250;

/** The retry delays by failure cause, in milliseconds, used where no gate reported a wait. */
const retryAfterMsByCause: Readonly<Record<string, number>> = {
  // The refusal says nothing about load, so another backend server is as likely to run it now.
  [FailureCause.Rejected]: 0,
  [FailureCause.ShuttingDown]: 0,
  [FailureCause.ConnectionSilent]: 0,
  [FailureCause.ConnectFailed]: 50,
};

const MS_PER_SECOND = 1_000;
const RETRY_AFTER_DECIMALS = 3;

/** A refused request; times are in milliseconds. */
export interface RefusedRequest {
  /** The shortest wait for a slot that any gate expected. */
  readonly waitMs: number;
  /** The time until the deadline of the caller. */
  readonly remainingMs: number;
}

/** The minimum retry delay, because a round trip and a reconnection take about this long. */
const MIN_RETRY_AFTER_MS = 10;
/** The maximum share of their remaining time after which the platform's callers retry. */
const MAX_REMAINING_SHARE = 1 / 3;
/** The range of the jitter, as a share of the wait. */
const JITTER_SHARE = 0.5;

/**
 * Chooses the retry delay for a refused caller.
 *
 * @param refused - the refused request
 * @param randomness - the source of the jitter
 * @returns the retry delay, in milliseconds
 */
export function chooseRetryAfterMs(refused: RefusedRequest, randomness: Randomness): number {
  const { remainingMs, waitMs } = refused;
  const jitteredMs =
    Math.max(MIN_RETRY_AFTER_MS, waitMs) * (1 + JITTER_SHARE * randomness.fraction());
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(jitteredMs, remainingMs * MAX_REMAINING_SHARE));
}

/**
 * Limits a wait that a gate states, so that the retry delay is spread over its whole range of jitter.
 * Where the wait is longer, all callers that were refused at one moment would return at one moment, at
 * the longest delay.
 *
 * @param refused - the refused request
 * @returns the wait to state, in milliseconds
 */
export function spreadWaitMs({ remainingMs, waitMs }: RefusedRequest): number {
  return Math.min(waitMs, (remainingMs * MAX_REMAINING_SHARE) / (1 + JITTER_SHARE));
}

/**
 * Returns the wait assumed for a refused request where no gate reported one.
 *
 * @param cause - the reason for the refusal
 * @returns the wait, in milliseconds
 */
export function waitWithoutReportMs(cause: string): number {
  return retryAfterMsByCause[cause] ?? UNSERVED_RETRY_AFTER_MS;
}

/**
 * Formats a retry delay as the value of a `Retry-After` header.
 *
 * @param retryAfterMs - the retry delay, in milliseconds
 * @returns the delay in seconds, with a fraction
 */
export function formatRetryAfter(retryAfterMs: number): string {
  return (retryAfterMs / MS_PER_SECOND).toFixed(RETRY_AFTER_DECIMALS);
}
