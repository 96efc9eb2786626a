import { DecisionLog, Importance } from 'lentillb/observability/decisionLog.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { LineWriter } from 'lentillb/observability/lineWriter.js';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

interface Line {
  readonly event: string;
  readonly lines?: number;
}

function createLog() {
  const clock = new ManualClock();
  const lines: Line[] = [];
  const write = (fields: object): void => {
    lines.push(fields as Line);
  };
  return { clock, lines, log: new DecisionLog(clock, { info: write, warn: write }) };
}

describe('decision log', () => {
  it('should limit the lines per second and report how many it dropped', async () => {
    const { clock, lines, log } = createLog();
    for (let index = 0; index < 1_000; index += 1) {
      log.record(Importance.Notable, 'request-refused', {});
    }
    const written = lines.length;
    expect(written).toBeLessThan(1_000);
    await clock.advance(1_000);
    log.record(Importance.Notable, 'request-refused', {});
    const suppressed = lines.find(({ event }) => event === 'lines-suppressed');
    expect(suppressed?.lines).toBe(1_000 - written);
  });

  it('should log rejections regardless of the number of successful requests', () => {
    const { lines, log } = createLog();
    for (let index = 0; index < 1_000; index += 1) {
      log.record(Importance.Ordinary, 'request-answered', {});
    }
    log.record(Importance.Notable, 'request-refused', {});
    expect(lines.at(-1)?.event).toBe('request-refused');
  });
});

describe('line writer', () => {
  it('should drop lines instead of waiting while the reader stalls', () => {
    const writer = new LineWriter(new ManualClock(), () => undefined);
    const line = `${'x'.repeat(1_000)}\n`;
    for (let index = 0; index < 10_000; index += 1) {
      writer.write(line);
    }
    expect(writer.dropped).toBeGreaterThan(9_000);
  });

  it('should keep lines whole and in order over partial writes, and batch them', async () => {
    const clock = new ManualClock();
    let written = '';
    let writes = 0;
    const writer = new LineWriter(clock, (bytes, done) => {
      writes += 1;
      const part = bytes.subarray(0, Math.ceil(bytes.length / 2));
      written += part.toString();
      done(null, part.length);
    });
    const lines = Array.from({ length: 20 }, (_, index) => `line ${index}\n`);
    lines.forEach((line) => writer.write(line));
    expect(written).toBe('');
    await clock.advance(1_000);
    expect(written).toBe(lines.join(''));
    // Each partial write takes half of what is left of about 150 bytes.
    expect(writes).toBeLessThan(lines.length);
    expect(writer.dropped).toBe(0);
  });

  it('should write lines once a stalled reader reads again', async () => {
    const clock = new ManualClock();
    let stalled = true;
    let written = '';
    const writer = new LineWriter(clock, (bytes, done) => {
      if (stalled) {
        done(Object.assign(new Error('resource temporarily unavailable'), { code: 'EAGAIN' }), 0);
        return;
      }
      written += bytes.toString();
      done(null, bytes.length);
    });
    writer.write('first\n');
    await clock.advance(1_000);
    writer.write('second\n');
    stalled = false;
    await clock.advance(1_000);
    expect(written).toBe('first\nsecond\n');
    expect(writer.dropped).toBe(0);
  });

  it('should still write lines that another writer has read but could not write', async () => {
    const clock = new ManualClock();
    let written = '';
    const writer = new LineWriter(clock, (bytes, done) => {
      written += bytes.toString();
      done(null, bytes.length);
    });
    writer.write('waiting\n');
    expect(writer.waitingLines).toBe('waiting\n');
    await clock.advance(1_000);
    expect(written).toBe('waiting\n');
  });

  it('should flush the last lines, and stop waiting for a stalled reader after the timeout', async () => {
    const clock = new ManualClock();
    let written = '';
    const writer = new LineWriter(clock, (bytes, done) => {
      written += bytes.toString();
      done(null, bytes.length);
    });
    writer.write('stopping\n');
    writer.write('stopped\n');
    await writer.flush(200);
    expect(written).toBe('stopping\nstopped\n');
    const stalled = new LineWriter(clock, () => undefined);
    stalled.write('stopped\n');
    const flushed = stalled.flush(200);
    await clock.advance(200);
    await flushed;
  });
});

describe('metrics', () => {
  it('should print counters, gauges and quantiles', () => {
    const metrics = new MetricsRegistry();
    metrics.count('entry_failures', { cause: 'leaving' });
    metrics.count('entry_failures', { cause: 'leaving' });
    metrics.gauge('known_hosts', () => 14);
    [10, 20, 30].forEach((ms) => metrics.observe('entry_latency_ms', ms, { route: 'r' }));
    const text = metrics.renderText();
    expect(text).toContain('entry_failures{cause="leaving"} 2');
    expect(text).toContain('known_hosts 14');
    expect(text).toContain('entry_latency_ms{route="r",quantile="0.5"} 20');
    expect(text).toContain('entry_latency_ms_count{route="r"} 3');
  });
});
