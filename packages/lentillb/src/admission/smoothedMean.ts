/** Computes an exponentially weighted mean of samples. */

/** The weight of the newest sample after the first ten samples. */
const MIN_SAMPLE_WEIGHT = 0.1;

/** Computes a mean that follows the newest samples; the first ten samples have equal weight. */
export class SmoothedMean {
  private mean: number | undefined;

  private samples = 0;

  /** The mean; undefined before the first sample. */
  get value(): number | undefined {
    return this.mean;
  }

  /**
   * Adds a sample to the mean.
   *
   * @param sample - the newest sample
   */
  add(sample: number): void {
    this.samples += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / this.samples);
    this.mean = this.mean === undefined ? sample : this.mean + (sample - this.mean) * weight;
  }
}
