import { SystemClock } from 'lentillb';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { EventLoopWatch } from 'lentillb/observability/eventLoopWatch.js';
import { Figures } from 'lentillb/observability/figures.js';
import { describe, expect, it } from 'vitest';
import { holdEventLoop } from '../support/holdEventLoop.js';

const HELD_MS = 300;

describe('event loop watch', () => {
  it('should log for how long the event loop was held, and nothing before or after', async () => {
    const clock = new SystemClock();
    const lines: { event: string; delayMs: number }[] = [];
    const write = (fields: object): void => {
      lines.push(fields as (typeof lines)[number]);
    };
    const figures = new Figures();
    const log = new DecisionLog(clock, { info: write, warn: write });
    const watch = new EventLoopWatch(clock, log, figures);
    watch.start();
    await clock.sleep(250);
    holdEventLoop(HELD_MS);
    await clock.sleep(250);
    watch.stop();
    const held = lines.filter(({ delayMs }) => delayMs > HELD_MS / 2);
    expect(held).toHaveLength(1);
    expect(held[0]).toMatchObject({ event: 'event-loop-held' });
    expect(held[0]!.delayMs).toBeGreaterThanOrEqual(HELD_MS - 100);
    expect(figures.print()).toMatch(/event_loop_delay_ms_count [2-9]/);
  });
});
