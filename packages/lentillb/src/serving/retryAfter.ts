/**
 * Decides when a refused caller is asked to come back. Answers a load that exceeds the slots for a
 * while: callers return when a slot is expected, spread out, and early enough that their answer
 * still counts; asking them all back at the same moment would only refuse them again.
 */
import type { Randomness } from '../kernel/randomness.js';

/** What is known when a request is refused; times in milliseconds. */
export interface RefusedRequest {
  /** The shortest wait that any gate expected. */
  readonly waitMs: number;
  /** How long the caller still waits. */
  readonly remainingMs: number;
}

/** The shortest time asked for, in milliseconds: a round trip and a reconnection of a caller. */
const MIN_RETRY_AFTER_MS = 10;
/** Callers come back after at most this share of the time they have left: the platform's rule. */
const MAX_REMAINING_SHARE = 1 / 3;
/** The span over which returns are spread, as a share of the wait. */
const JITTER_SHARE = 0.5;

/**
 * @param refused - what is known
 * @param randomness - spreads the returns
 * @returns how long the caller should stay away, in milliseconds
 */
export function chooseRetryAfterMs(refused: RefusedRequest, randomness: Randomness): number {
  const { remainingMs, waitMs } = refused;
  const jitteredMs =
    Math.max(MIN_RETRY_AFTER_MS, waitMs) * (1 + JITTER_SHARE * randomness.fraction());
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(jitteredMs, remainingMs * MAX_REMAINING_SHARE));
}
