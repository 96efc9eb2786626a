/** Tracks the recent share of failed requests. */
import type { Clock } from '../kernel/clock.js';

/** The half-life of the share, in milliseconds; after it, a failing backend server is tried again. */
const HALF_LIFE_MS = 1_000;
/** The weight of one request. */
const REQUEST_WEIGHT = 0.15;

/** A share of failures that fades with time, so that what failed is tried again. */
export class FailureShare {
  private share = 0;

  private recordedAtMs = 0;

  /** @param clock - the clock by which the share fades */
  constructor(private readonly clock: Clock) {}

  /** The share of failures, from 0 to 1. */
  get value(): number {
    const ageMs = this.clock.monotonicMs() - this.recordedAtMs;
    return this.share * 0.5 ** (ageMs / HALF_LIFE_MS);
  }

  /**
   * Records the outcome of a request.
   *
   * @param failed - whether the request failed
   */
  record(failed: boolean): void {
    const { value } = this;
    this.share = value + ((failed ? 1 : 0) - value) * REQUEST_WEIGHT;
    this.recordedAtMs = this.clock.monotonicMs();
  }
}
