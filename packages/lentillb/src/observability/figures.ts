/** Counters and latency histograms, served as text. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** What a figure is split by. */
export type FigureLabels = Readonly<Record<string, string>>;

const QUANTILES = [0.5, 0.9, 0.99] as const;
const PERCENT = 100;
/** Latencies are kept up to this, in milliseconds: longer than any deadline. */
const HIGHEST_MS = 60_000;

function seriesName(name: string, labels: FigureLabels): string {
  const pairs = Object.entries(labels).map(([label, value]) => `${label}=${JSON.stringify(value)}`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}

/** The figures of one process. */
export class Figures {
  private readonly counters = new Map<string, number>();

  private readonly gauges = new Map<string, () => number>();

  private readonly histograms = new Map<
    string,
    { labels: FigureLabels; name: string; histogram: Histogram }
  >();

  /**
   * Raises a counter by one.
   *
   * @param name - the counter
   * @param labels - what it is split by
   */
  count(name: string, labels: FigureLabels = {}): void {
    const series = seriesName(name, labels);
    this.counters.set(series, (this.counters.get(series) ?? 0) + 1);
  }

  /**
   * Serves a value that is asked for whenever figures are read.
   *
   * @param name - the gauge
   * @param read - gives its value
   */
  gauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /**
   * Adds a duration to a histogram.
   *
   * @param name - the histogram
   * @param durationMs - the duration, in milliseconds
   * @param labels - what it is split by
   */
  observe(name: string, durationMs: number, labels: FigureLabels = {}): void {
    const series = seriesName(name, labels);
    const held = this.histograms.get(series) ?? { name, labels, histogram: this.createHistogram() };
    this.histograms.set(series, held);
    held.histogram.recordValue(Math.min(HIGHEST_MS, Math.max(1, Math.round(durationMs))));
  }

  /** @returns all figures, one a line */
  print(): string {
    const lines: string[] = [];
    this.counters.forEach((value, series) => lines.push(`${series} ${value}`));
    this.gauges.forEach((read, name) => lines.push(`${name} ${read()}`));
    this.histograms.forEach(({ name, labels, histogram }) => {
      QUANTILES.forEach((quantile) => {
        const value = histogram.getValueAtPercentile(quantile * PERCENT);
        lines.push(`${seriesName(name, { ...labels, quantile: `${quantile}` })} ${value}`);
      });
      lines.push(`${seriesName(`${name}_count`, labels)} ${histogram.totalCount}`);
    });
    return `${lines.join('\n')}\n`;
  }

  // eslint-disable-next-line class-methods-use-this -- one place that decides on precision
  private createHistogram(): Histogram {
    return build({
      bitBucketSize: 32,
      lowestDiscernibleValue: 1,
      highestTrackableValue: HIGHEST_MS,
      numberOfSignificantValueDigits: 2,
      useWebAssembly: false,
    });
  }
}
