/** Tracks the request limit that the backend server of this host states in its answers. */
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { ServerStatement } from './serverStatement.js';

/** The interval of log lines while a limit is in force, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

interface IntervalCounts {
  readonly startedAtMs: number;
  granted: number;
  sent: number;
  answers: number;
  statingAnswers: number;
}

/** The limit in force, and the requests that were sent under it. */
export class StatedLimit {
  private limit: number | undefined;

  private counts: IntervalCounts;

  /**
   * @param clock - the clock for the log interval
   * @param log - the log for changes of the limit
   */
  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {
    this.counts = this.startInterval();
  }

  /** The requests per second that the backend server takes; undefined if it is not limited. */
  get perSecond(): number | undefined {
    return this.limit;
  }

  /** Records that a request got a slot. */
  recordGranted(): void {
    this.counts.granted += 1;
  }

  /** Records that a request was sent to the backend server, for the first time or again. */
  recordSent(): void {
    this.counts.sent += 1;
    this.logInterval();
  }

  /**
   * Records an answer of the backend server.
   *
   * @param statement - what the backend server states in it
   */
  recordAnswer({ limitPerSecond }: ServerStatement): void {
    this.counts.answers += 1;
    this.counts.statingAnswers += limitPerSecond === undefined ? 0 : 1;
    if (limitPerSecond !== this.limit) {
      this.log.record(Importance.Notable, 'stated-limit-changed', {
        perSecond: limitPerSecond,
        previousPerSecond: this.limit,
      });
      this.limit = limitPerSecond;
    }
  }

  private startInterval(): IntervalCounts {
    const startedAtMs = this.clock.monotonicMs();
    return { startedAtMs, granted: 0, sent: 0, answers: 0, statingAnswers: 0 };
  }

  private logInterval(): void {
    const { startedAtMs, ...counts } = this.counts;
    const durationMs = this.clock.monotonicMs() - startedAtMs;
    if (durationMs < LOG_INTERVAL_MS) {
      return;
    }
    if (this.limit !== undefined || counts.statingAnswers > 0) {
      this.log.record(Importance.Notable, 'stated-limit', {
        perSecond: this.limit,
        durationMs: Math.round(durationMs),
        ...counts,
      });
    }
    this.counts = this.startInterval();
  }
}
