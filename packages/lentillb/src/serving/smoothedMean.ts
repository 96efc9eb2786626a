/** An exponentially weighted mean of samples. */

/** The weight of the newest sample once enough were taken. */
const MIN_SAMPLE_WEIGHT = 0.1;

/** A mean that follows its newest samples; the first ones weigh alike. */
export class SmoothedMean {
  private mean: number | undefined;

  private samples = 0;

  /** The mean; undefined before the first sample. */
  get value(): number | undefined {
    return this.mean;
  }

  /** @param sample - the newest sample */
  add(sample: number): void {
    this.samples += 1;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / this.samples);
    this.mean = this.mean === undefined ? sample : this.mean + (sample - this.mean) * weight;
  }
}
