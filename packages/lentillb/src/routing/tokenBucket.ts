/** Implements a token bucket rate limiter. */
import type { Clock } from '../kernel/clock.js';

const MS_PER_SECOND = 1_000;

/** Starts full and refills at a constant rate up to its capacity. */
export class TokenBucket {
  private tokens: number;

  private refilledAtMs: number;

  /**
   * @param clock - the clock that drives the refill
   * @param ratePerSecond - the tokens added per second
   * @param capacity - the most tokens held
   */
  constructor(
    private readonly clock: Clock,
    private readonly ratePerSecond: number,
    private readonly capacity: number,
  ) {
    this.tokens = capacity;
    this.refilledAtMs = clock.monotonicMs();
  }

  /** @returns true if a token was available and has been taken */
  tryTake(): boolean {
    const nowMs = this.clock.monotonicMs();
    const refill = ((nowMs - this.refilledAtMs) * this.ratePerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(this.capacity, this.tokens + refill);
    this.refilledAtMs = nowMs;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** The time from the last `tryTake` until a token is available, in milliseconds. */
  get waitMs(): number {
    return Math.max(0, ((1 - this.tokens) * MS_PER_SECOND) / this.ratePerSecond);
  }
}
