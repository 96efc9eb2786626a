/** Implements a token bucket whose rate and capacity change while it is in use. */

const MS_PER_SECOND = 1_000;

/** A token bucket; it starts empty and without a rate. */
export class QuotaBucket {
  private rate = 0;

  private capacity = 0;

  private saved = 0;

  private refilledAtMs = 0;

  /** The tokens added per second. */
  get ratePerSecond(): number {
    return this.rate;
  }

  /** The most tokens that the bucket saves. */
  get maxTokens(): number {
    return this.capacity;
  }

  /**
   * Changes the rate. Saved tokens beyond the new capacity are discarded.
   *
   * @param nowMs - the monotonic time, in milliseconds
   * @param ratePerSecond - the tokens added per second
   * @param capacity - the most tokens saved
   */
  resize(nowMs: number, ratePerSecond: number, capacity: number): void {
    this.refill(nowMs);
    this.rate = ratePerSecond;
    this.capacity = capacity;
    this.saved = Math.min(this.saved, capacity);
  }

  /**
   * Takes whole tokens.
   *
   * @param nowMs - the monotonic time, in milliseconds
   * @param count - the most tokens to take
   * @returns the number of tokens taken
   */
  take(nowMs: number, count: number): number {
    this.refill(nowMs);
    const taken = Math.min(count, Math.floor(this.saved));
    this.saved -= taken;
    return taken;
  }

  /**
   * Adds tokens up to the capacity.
   *
   * @param nowMs - the monotonic time, in milliseconds
   * @param count - the number of tokens
   */
  add(nowMs: number, count: number): void {
    this.refill(nowMs);
    this.saved = Math.min(this.capacity, this.saved + count);
  }

  private refill(nowMs: number): void {
    const added = (Math.max(0, nowMs - this.refilledAtMs) * this.rate) / MS_PER_SECOND;
    this.saved = Math.min(this.capacity, this.saved + added);
    this.refilledAtMs = nowMs;
  }
}
