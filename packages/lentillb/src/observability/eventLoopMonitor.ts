/** Detects that the event loop was blocked, which leaves input unread and delays timers. */
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from './decisionLog.js';
import { Importance } from './decisionLog.js';
import type { MetricsRegistry } from './metricsRegistry.js';

/**
 * The interval of the checks, in milliseconds. Ten wake-ups per second use below 0.1 % of a core.
 */
const CHECK_INTERVAL_MS = 100;
/**
 * The shortest delay that is logged, in milliseconds: half of the shortest target latency in use.
 */
const MIN_LOGGED_DELAY_MS = 30;

/** Measures the delay of the event loop by how late a timer fires. */
export class EventLoopMonitor {
  private cancelTimer: (() => void) | undefined;

  /**
   * @param clock - the clock whose timers are measured
   * @param log - receives a line for each long delay
   * @param metrics - receives all delays
   */
  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly metrics: MetricsRegistry,
  ) {}

  /** Starts the measurement, which continues until `stop` is called. */
  start(): void {
    const dueMs = this.clock.monotonicMs() + CHECK_INTERVAL_MS;
    this.cancelTimer = this.clock.after(CHECK_INTERVAL_MS, () => {
      this.recordDelay(this.clock.monotonicMs() - dueMs);
      this.start();
    });
  }

  /** Stops the measurement. */
  stop(): void {
    this.cancelTimer?.();
  }

  private recordDelay(delayMs: number): void {
    this.metrics.observe('event_loop_delay_ms', delayMs);
    if (delayMs >= MIN_LOGGED_DELAY_MS) {
      this.log.record(Importance.Notable, 'event-loop-held', { delayMs: Math.round(delayMs) });
    }
  }
}
