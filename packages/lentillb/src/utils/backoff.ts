/**
 * Computes delays between attempts: exponential backoff with decorrelated jitter, so that many
 * clients do not retry at the same time.
 */
import type { Randomness } from '../kernel/randomness.js';

const GROWTH_FACTOR = 3;

/** Computes the delays of one series of attempts. */
export class Backoff {
  private previousMs: number;

  /**
   * @param randomness - the source of the jitter
   * @param minMs - the shortest delay, in milliseconds
   * @param maxMs - the longest delay, in milliseconds
   */
  constructor(
    private readonly randomness: Randomness,
    private readonly minMs: number,
    private readonly maxMs: number,
  ) {
    this.previousMs = minMs;
  }

  /** @returns the next delay, in milliseconds */
  nextMs(): number {
    const rangeMs = Math.max(0, this.previousMs * GROWTH_FACTOR - this.minMs);
    this.previousMs = Math.min(this.maxMs, this.minMs + this.randomness.fraction() * rangeMs);
    return this.previousMs;
  }

  /** Resets the delay to the shortest, after a success. */
  reset(): void {
    this.previousMs = this.minMs;
  }
}
