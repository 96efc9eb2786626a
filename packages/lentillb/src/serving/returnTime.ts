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
  readonly leftMs: number;
}

/** The shortest time asked for, in milliseconds: a round trip and a reconnection of a caller. */
const LEAST_MS = 10;
/** Callers come back after at most this share of the time they have left: the platform's rule. */
const HONOURED_SHARE = 1 / 3;
/** The span over which returns are spread, as a share of the wait. */
const SPREAD = 0.5;

/**
 * @param refused - what is known
 * @param randomness - spreads the returns
 * @returns how long the caller should stay away, in milliseconds
 */
export function chooseReturnTime(refused: RefusedRequest, randomness: Randomness): number {
  const { leftMs, waitMs } = refused;
  const spreadMs = Math.max(LEAST_MS, waitMs) * (1 + SPREAD * randomness.fraction());
  return Math.max(LEAST_MS, Math.min(spreadMs, leftMs * HONOURED_SHARE));
}
