/** A point in monotonic time that is passed down every call that may wait. */
import type { Clock } from './clock.js';

/** When an operation has to be over. */
export class Deadline {
  private constructor(
    private readonly clock: Clock,
    private readonly atMs: number,
  ) {}

  /**
   * @param clock - the clock to measure by
   * @param durationMs - how long from now, in milliseconds
   * @returns a deadline that far from now
   */
  static after(clock: Clock, durationMs: number): Deadline {
    return new Deadline(clock, clock.monotonicMs() + durationMs);
  }

  /** @returns the time left in milliseconds, never below zero */
  remainingMs(): number {
    return Math.max(0, this.atMs - this.clock.monotonicMs());
  }

  /** @returns whether the deadline has passed */
  expired(): boolean {
    return this.remainingMs() === 0;
  }

  /**
   * @param durationMs - an upper bound from now, in milliseconds
   * @returns the earlier of this deadline and that bound
   */
  atMost(durationMs: number): Deadline {
    return new Deadline(this.clock, Math.min(this.atMs, this.clock.monotonicMs() + durationMs));
  }
}
