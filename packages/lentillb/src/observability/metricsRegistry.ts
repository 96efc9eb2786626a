/** Collects metrics of a process and renders them as text. */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** The labels of a metric. */
export type MetricLabels = Readonly<Record<string, string>>;

const QUANTILES = [0.5, 0.9, 0.99] as const;
const PERCENT = 100;
/** Separates the parts of a key; no name and no label contains it. */
const KEY_SEPARATOR = '\u0000';
/**
 * The highest recorded duration, in milliseconds; no deadline is longer. Longer durations are
 * recorded as this one.
 */
const MAX_TRACKED_MS = 60_000;

function seriesName(name: string, labels: MetricLabels): string {
  const labelPairs = Object.entries(labels).map(
    ([label, value]) => `${label}=${JSON.stringify(value)}`,
  );
  return labelPairs.length === 0 ? name : `${name}{${labelPairs.join(',')}}`;
}

/** Identifies a series at less cost than its name, which is needed only when metrics are rendered. */
function seriesKey(name: string, labels: MetricLabels): string {
  return Object.keys(labels).reduce(
    (key, label) => `${key}${KEY_SEPARATOR}${label}${KEY_SEPARATOR}${labels[label]}`,
    name,
  );
}

/** The counters, gauges and histograms of a process. */
export class MetricsRegistry {
  private readonly counters = new Map<string, { readonly series: string; value: number }>();

  private readonly gauges = new Map<string, () => number>();

  private readonly histograms = new Map<
    string,
    { labels: MetricLabels; name: string; histogram: Histogram }
  >();

  /**
   * Increments a counter by one.
   *
   * @param name - the name of the counter
   * @param labels - the labels of the counter
   */
  count(name: string, labels: MetricLabels = {}): void {
    const key = seriesKey(name, labels);
    const counter = this.counters.get(key) ?? { series: seriesName(name, labels), value: 0 };
    counter.value += 1;
    this.counters.set(key, counter);
  }

  /**
   * Registers a gauge.
   *
   * @param name - the name of the gauge
   * @param read - returns its current value; called each time the metrics are rendered
   */
  gauge(name: string, read: () => number): void {
    this.gauges.set(name, read);
  }

  /**
   * Records a duration in a histogram.
   *
   * @param name - the name of the histogram
   * @param durationMs - the duration, in milliseconds
   * @param labels - the labels of the histogram
   */
  observe(name: string, durationMs: number, labels: MetricLabels = {}): void {
    const key = seriesKey(name, labels);
    const entry = this.histograms.get(key) ?? {
      name,
      labels,
      histogram: this.createHistogram(),
    };
    this.histograms.set(key, entry);
    entry.histogram.recordValue(Math.min(MAX_TRACKED_MS, Math.max(1, Math.round(durationMs))));
  }

  /** @returns all metrics as text, one per line */
  renderText(): string {
    const lines: string[] = [];
    this.counters.forEach(({ series, value }) => lines.push(`${series} ${value}`));
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

  // eslint-disable-next-line class-methods-use-this -- keeps the precision of histograms in one place
  private createHistogram(): Histogram {
    return build({
      bitBucketSize: 32,
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_TRACKED_MS,
      numberOfSignificantValueDigits: 2,
      useWebAssembly: false,
    });
  }
}
