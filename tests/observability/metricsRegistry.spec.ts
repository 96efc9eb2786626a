import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { describe, expect, it } from 'vitest';

function linesOf(metrics: MetricsRegistry): readonly string[] {
  return metrics.renderText().trimEnd().split('\n');
}

describe('metrics', () => {
  it('should count each combination of labels by itself', () => {
    const metrics = new MetricsRegistry();
    metrics.count('answers', { route: 'a', status: '200' });
    metrics.count('answers', { route: 'a', status: '200' });
    metrics.count('answers', { route: 'a', status: '503' });
    metrics.count('answers', { route: 'b "quoted",status="200"', status: '200' });
    metrics.count('answers');
    expect(linesOf(metrics)).toEqual([
      'answers{route="a",status="200"} 2',
      'answers{route="a",status="503"} 1',
      'answers{route="b \\"quoted\\",status=\\"200\\"",status="200"} 1',
      'answers 1',
    ]);
  });

  it('should render quantiles and a count for each histogram', () => {
    const metrics = new MetricsRegistry();
    [10, 20, 30].forEach((durationMs) => metrics.observe('latency_ms', durationMs, { route: 'a' }));
    metrics.observe('latency_ms', 70, { route: 'b' });
    expect(linesOf(metrics)).toEqual([
      'latency_ms{route="a",quantile="0.5"} 20',
      'latency_ms{route="a",quantile="0.9"} 30',
      'latency_ms{route="a",quantile="0.99"} 30',
      'latency_ms_count{route="a"} 3',
      'latency_ms{route="b",quantile="0.5"} 70',
      'latency_ms{route="b",quantile="0.9"} 70',
      'latency_ms{route="b",quantile="0.99"} 70',
      'latency_ms_count{route="b"} 1',
    ]);
  });
});
