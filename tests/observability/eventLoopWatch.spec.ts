import { SystemClock } from 'lentillb';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { EventLoopMonitor } from 'lentillb/observability/eventLoopMonitor.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { describe, expect, it } from 'vitest';
import { blockEventLoop } from '../support/blockEventLoop.js';

const BLOCKED_MS = 300;

describe('event loop delay', () => {
  it('should log for how long the event loop was blocked, and nothing before or after', async () => {
    const clock = new SystemClock();
    const lines: { event: string; delayMs: number }[] = [];
    const write = (fields: object): void => {
      lines.push(fields as (typeof lines)[number]);
    };
    const metrics = new MetricsRegistry();
    const log = new DecisionLog(clock, { info: write, warn: write });
    const watch = new EventLoopMonitor(clock, log, metrics);
    watch.start();
    await clock.sleep(250);
    blockEventLoop(BLOCKED_MS);
    await clock.sleep(250);
    watch.stop();
    const longDelays = lines.filter(({ delayMs }) => delayMs > BLOCKED_MS / 2);
    expect(longDelays).toHaveLength(1);
    expect(longDelays[0]).toMatchObject({ event: 'event-loop-held' });
    expect(longDelays[0]!.delayMs).toBeGreaterThanOrEqual(BLOCKED_MS - 100);
    expect(metrics.renderText()).toMatch(/event_loop_delay_ms_count [2-9]/);
  });
});
