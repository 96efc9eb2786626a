/** Notices that the event loop was held: meanwhile input lay unread and timers were late. */
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from './decisionLog.js';
import { Weight } from './decisionLog.js';
import type { Figures } from './figures.js';

/** How often the watch looks, in milliseconds: ten wake-ups a second are below 0.1 % of a core. */
const LOOK_EVERY_MS = 100;
/** The shortest delay that is logged, in milliseconds: half of the shortest target latency in use. */
const LOGGED_DELAY_MS = 30;

/** Measures how late a timer fires. */
export class EventLoopWatch {
  private cancelLook: (() => void) | undefined;

  /**
   * @param clock - the clock whose timers are watched
   * @param log - takes a line for each long delay
   * @param figures - takes all delays
   */
  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
    private readonly figures: Figures,
  ) {}

  /** Watches until `stop`. */
  start(): void {
    const dueMs = this.clock.monotonicMs() + LOOK_EVERY_MS;
    this.cancelLook = this.clock.after(LOOK_EVERY_MS, () => {
      this.note(this.clock.monotonicMs() - dueMs);
      this.start();
    });
  }

  /** Ends the watch. */
  stop(): void {
    this.cancelLook?.();
  }

  private note(delayMs: number): void {
    this.figures.observe('event_loop_delay_ms', delayMs);
    if (delayMs >= LOGGED_DELAY_MS) {
      this.log.record(Weight.Notable, 'event-loop-held', { delayMs: Math.round(delayMs) });
    }
  }
}
