/** Percentiles of latencies, kept in microseconds. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const MICROS_PER_MS = 1_000;
const MAX_TRACKABLE_MICROS = 60_000_000;

/** Latencies of one kind. */
export class LatencyHistogram {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKABLE_MICROS,
    numberOfSignificantValueDigits: 3,
  });

  /** @param durationMs - one latency, in milliseconds */
  record(durationMs: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(durationMs * MICROS_PER_MS)));
  }

  /**
   * @param percent - which percentile
   * @returns its latency, in milliseconds
   */
  percentileMs(percent: number): number {
    return this.histogram.getValueAtPercentile(percent) / MICROS_PER_MS;
  }

  /** The longest latency, in milliseconds. */
  get maxMs(): number {
    return this.histogram.maxValue / MICROS_PER_MS;
  }

  /** How many latencies were recorded. */
  get count(): number {
    return this.histogram.totalCount;
  }
}
