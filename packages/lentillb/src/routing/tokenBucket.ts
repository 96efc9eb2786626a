/** A rate limit: tokens come at a steady rate and are kept up to a bound. */
import type { Clock } from '../kernel/clock.js';

const MS_PER_SECOND = 1_000;

/** Tokens that come in over time. */
export class TokenBucket {
  private tokens: number;

  private filledAtMs: number;

  /**
   * @param clock - the clock that tokens come by
   * @param ratePerSecond - how many come in a second
   * @param capacity - how many are kept
   */
  constructor(
    private readonly clock: Clock,
    private readonly ratePerSecond: number,
    private readonly capacity: number,
  ) {
    this.tokens = capacity;
    this.filledAtMs = clock.monotonicMs();
  }

  /** @returns whether a token was there and has been taken */
  take(): boolean {
    const nowMs = this.clock.monotonicMs();
    const gained = ((nowMs - this.filledAtMs) * this.ratePerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(this.capacity, this.tokens + gained);
    this.filledAtMs = nowMs;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** How long until the next token, in milliseconds. */
  get waitMs(): number {
    return Math.max(0, ((1 - this.tokens) * MS_PER_SECOND) / this.ratePerSecond);
  }
}
