/** Percentiles of latencies, stored in microseconds. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const MICROS_PER_MS = 1_000;
const MAX_TRACKABLE_MICROS = 60_000_000;

/** A histogram of latencies. */
export class LatencyHistogram {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKABLE_MICROS,
    numberOfSignificantValueDigits: 3,
  });

  /**
   * Records one latency.
   *
   * @param durationMs - the latency in milliseconds
   */
  record(durationMs: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(durationMs * MICROS_PER_MS)));
  }

  /**
   * @param percent - the percentile, from 0 to 100
   * @returns the latency at that percentile, in milliseconds
   */
  percentileMs(percent: number): number {
    return this.histogram.getValueAtPercentile(percent) / MICROS_PER_MS;
  }

  /** The longest latency, in milliseconds. */
  get maxMs(): number {
    return this.histogram.maxValue / MICROS_PER_MS;
  }

  /** The number of recorded latencies. */
  get count(): number {
    return this.histogram.totalCount;
  }
}
