/** Delays between attempts: exponential with decorrelated jitter, so that herds spread out. */
import type { Randomness } from '../kernel/randomness.js';

const GROWTH = 3;

/** The delays of one series of attempts. */
export class Backoff {
  private previousMs: number;

  /**
   * @param randomness - where jitter comes from
   * @param leastMs - the shortest delay, in milliseconds
   * @param mostMs - the longest delay, in milliseconds
   */
  constructor(
    private readonly randomness: Randomness,
    private readonly leastMs: number,
    private readonly mostMs: number,
  ) {
    this.previousMs = leastMs;
  }

  /** @returns the next delay, in milliseconds */
  nextMs(): number {
    const spanMs = Math.max(0, this.previousMs * GROWTH - this.leastMs);
    this.previousMs = Math.min(this.mostMs, this.leastMs + this.randomness.fraction() * spanMs);
    return this.previousMs;
  }

  /** Starts over after a success. */
  reset(): void {
    this.previousMs = this.leastMs;
  }
}
