/** Counts events, where older ones weigh less. */

/** A count whose events lose their weight exponentially with age. */
export class DecayingCount {
  private count = 0;

  private updatedAtMs = -Infinity;

  /** @param meanAgeMs - the mean age of the counted events, in milliseconds */
  constructor(private readonly meanAgeMs: number) {}

  /**
   * Counts events that happen now.
   *
   * @param nowMs - the time, in milliseconds of the monotonic clock
   * @param events - the number of events
   */
  add(nowMs: number, events = 1): void {
    this.count = this.valueAt(nowMs) + events;
    this.updatedAtMs = nowMs;
  }

  /**
   * @param nowMs - the time, in milliseconds of the monotonic clock
   * @returns the weighted number of events
   */
  valueAt(nowMs: number): number {
    return this.count * Math.exp((this.updatedAtMs - nowMs) / this.meanAgeMs);
  }

  /**
   * @param nowMs - the time, in milliseconds of the monotonic clock
   * @returns the events per millisecond of the recent past
   */
  ratePerMs(nowMs: number): number {
    return this.valueAt(nowMs) / this.meanAgeMs;
  }
}
