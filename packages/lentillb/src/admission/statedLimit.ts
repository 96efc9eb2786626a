/**
 * Keeps a backend server within the request limit that it states in its answers. Every request to it
 * passes the gate of its host, so this is the one place where all of them are counted. Under a load
 * beyond the limit, permits become due at the stated rate, and the slot queue orders the requests
 * that wait for them.
 */
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';

const MS_PER_SECOND = 1_000;
/** The interval of log lines while a limit is in force, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;
/** The time whose permits may be saved for a burst, in milliseconds. */
const MAX_SAVED_MS = 250;
/**
 * The lowest rate, in requests per second. A backend server that states 0 can only take that back in
 * an answer, so it gets a request now and then.
 */
const MIN_PER_SECOND = 0.5;
/** Stated limits above this many requests per second have no effect. */
const MAX_PER_SECOND = 1_000_000;
/** The largest rounding error of a permit count. */
const PERMIT_TOLERANCE = 1e-6;
/** How long a limit is reported to other nodes after an answer stated it, in milliseconds. */
const MAX_REPORTED_AGE_MS = 3_000;

interface IntervalCounts {
  readonly startedAtMs: number;
  granted: number;
  sent: number;
  answers: number;
  statingAnswers: number;
}

/** What a backend server states about its request limit in one answer. */
export interface LimitStatement {
  /** The requests per second that it takes from all hosts together; undefined if not limited. */
  readonly limitPerSecond: number | undefined;
  /** Whether it states a limit that is not a decimal number. */
  readonly hasMalformedLimit: boolean;
}

/** The limit in force, and the requests that were sent under it. */
export class StatedLimit {
  private limit: number | undefined;

  /** When an answer stated the limit last, in milliseconds of the monotonic clock. */
  private statedAtMs = -Infinity;

  private permits = 0;

  private refilledAtMs = -Infinity;

  private isMalformed = false;

  private runId: string | undefined;

  private counts: IntervalCounts;

  /**
   * @param clock - the clock by which permits become due
   * @param log - the log for changes of the limit
   */
  constructor(
    private readonly clock: Clock,
    private readonly log: DecisionLog,
  ) {
    this.counts = this.startInterval();
  }

  /** The limit to report to other nodes; undefined if none was stated lately. */
  get reportedPerSecond(): number | undefined {
    return this.clock.monotonicMs() - this.statedAtMs < MAX_REPORTED_AGE_MS
      ? this.limit
      : undefined;
  }

  /**
   * Returns how long a request waits for a permit.
   *
   * @param ahead - the number of requests that get a permit earlier
   * @returns the wait, in milliseconds; 0 if there is no limit
   */
  waitMs(ahead: number): number {
    if (this.limit === undefined) {
      return 0;
    }
    this.refill();
    const missing = ahead + 1 - this.permits - PERMIT_TOLERANCE;
    return Math.max(0, (missing * MS_PER_SECOND) / this.ratePerSecond);
  }

  /**
   * Takes the permit for one request.
   *
   * @returns whether a permit was available
   */
  tryTake(): boolean {
    if (this.waitMs(0) > 0) {
      return false;
    }
    this.permits -= this.limit === undefined ? 0 : 1;
    this.counts.granted += 1;
    return true;
  }

  /** Records that a request was sent to the backend server, for the first time or again. */
  recordSent(): void {
    this.counts.sent += 1;
    this.logInterval();
  }

  /**
   * Records an answer of the backend server. The limit holds for as long as answers state it; an
   * answer to a request that was sent before it was stated last says nothing about it.
   *
   * @param statement - what the backend server states in the answer
   * @param sentAtMs - when the request was sent, in milliseconds of the monotonic clock
   * @returns whether the limit is lower than before
   */
  recordAnswer({ hasMalformedLimit, limitPerSecond }: LimitStatement, sentAtMs: number): boolean {
    const previous = this.limit ?? Infinity;
    this.counts.answers += 1;
    if (hasMalformedLimit !== this.isMalformed) {
      this.isMalformed = hasMalformedLimit;
      this.log.record(Importance.Notable, 'stated-limit-malformed', { hasMalformedLimit });
    }
    if (limitPerSecond !== undefined) {
      this.counts.statingAnswers += 1;
      this.statedAtMs = this.clock.monotonicMs();
      this.changeTo(limitPerSecond <= MAX_PER_SECOND ? limitPerSecond : undefined);
    } else if (!hasMalformedLimit && sentAtMs > this.statedAtMs) {
      this.changeTo(undefined);
    }
    return (this.limit ?? Infinity) < previous;
  }

  /**
   * Drops the limit when another run of a backend server takes over the address.
   *
   * @param runId - the identity of the run that gets requests from now on
   */
  startRun(runId: string): void {
    if (this.runId !== runId) {
      this.runId = runId;
      this.statedAtMs = -Infinity;
      this.changeTo(undefined);
    }
  }

  private get ratePerSecond(): number {
    return Math.max(MIN_PER_SECOND, this.limit ?? Infinity);
  }

  private changeTo(limit: number | undefined): void {
    if (limit === this.limit) {
      return;
    }
    this.refill();
    this.log.record(Importance.Notable, 'stated-limit-changed', {
      perSecond: limit,
      previousPerSecond: this.limit,
    });
    // Requests sent before the first statement count, so no permits are saved yet.
    this.permits = this.limit === undefined ? 0 : this.permits;
    this.limit = limit;
  }

  private refill(): void {
    const nowMs = this.clock.monotonicMs();
    if (this.limit !== undefined) {
      const perMs = this.ratePerSecond / MS_PER_SECOND;
      const capacity = Math.max(1, perMs * MAX_SAVED_MS);
      this.permits = Math.min(capacity, this.permits + (nowMs - this.refilledAtMs) * perMs);
    }
    this.refilledAtMs = nowMs;
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
