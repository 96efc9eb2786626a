/** Defines deadlines, which are passed to every operation that may wait. */
import type { Clock } from './clock.js';

/** The monotonic time by which an operation has to be complete. */
export class Deadline {
  private constructor(
    private readonly clock: Clock,
    /** The time of the deadline, in milliseconds of the monotonic clock. */
    readonly atMs: number,
  ) {}

  /**
   * Creates a deadline relative to now.
   *
   * @param clock - the clock by which the deadline is measured
   * @param durationMs - the time from now to the deadline, in milliseconds
   * @returns the deadline
   */
  static after(clock: Clock, durationMs: number): Deadline {
    return new Deadline(clock, clock.monotonicMs() + durationMs);
  }

  /** @returns the time left in milliseconds, never negative */
  remainingMs(): number {
    return Math.max(0, this.atMs - this.clock.monotonicMs());
  }

  /** @returns whether the deadline has passed */
  expired(): boolean {
    return this.remainingMs() === 0;
  }

  /**
   * Limits the deadline to a maximum time from now.
   *
   * @param durationMs - the maximum time from now, in milliseconds
   * @returns the earlier of this deadline and the maximum
   */
  atMost(durationMs: number): Deadline {
    return new Deadline(this.clock, Math.min(this.atMs, this.clock.monotonicMs() + durationMs));
  }
}
