/** Keeps the maximum of the most recent samples. */

/** The number of samples after which the older half of the samples is dropped. */
const HALF_WINDOW_SAMPLES = 100;

/** The maximum of the last hundred to two hundred samples. */
export class RecentMaximum {
  private current = 0;

  private previous = 0;

  private samples = 0;

  /** The maximum; 0 before the first sample. */
  get value(): number {
    return Math.max(this.current, this.previous);
  }

  /**
   * Adds a sample.
   *
   * @param sample - the newest sample; not negative
   */
  add(sample: number): void {
    if (this.samples === HALF_WINDOW_SAMPLES) {
      this.previous = this.current;
      this.current = 0;
      this.samples = 0;
    }
    this.samples += 1;
    this.current = Math.max(this.current, sample);
  }
}
