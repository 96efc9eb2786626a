/** Logs the decisions of the node, with a limit on the lines per second. */
import type { Clock } from '../kernel/clock.js';

/** The importance of a line; the limit of lines per second depends on it. */
export const Importance = {
  /**
   * A request that succeeded as expected. Lines over the limit are dropped without being counted.
   */
  Ordinary: 'ordinary',
  /**
   * A rejection, a failure, a retry, an unknown outcome, or a change in what the node knows about
   * other parts of the system. Lines over the limit are counted.
   */
  Notable: 'notable',
} as const;
export type Importance = (typeof Importance)[keyof typeof Importance];

/** The inputs and the outcome of a decision, as log fields. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** The logger that lines are written to, such as a bunyan logger. */
export interface LineLogger {
  info(fields: object, message?: string): void;
  warn(fields: object, message?: string): void;
}

/**
 * The maximum lines per second for ordinary requests: about a third of the usual load of a host.
 */
const MAX_ORDINARY_PER_SECOND = 20;
/** The maximum lines per second for the rest; writing them takes a host 1 % of its processor time. */
const MAX_NOTABLE_PER_SECOND = 200;
const MS_PER_SECOND = 1_000;

/** Logs decisions, and reports how many notable ones exceeded the limit. */
export class DecisionLog {
  private secondStartMs = -Infinity;

  private ordinaryCount = 0;

  private notableCount = 0;

  private suppressedCount = 0;

  /**
   * @param clock - the clock by which seconds are measured
   * @param logger - the logger that lines are written to
   */
  constructor(
    private readonly clock: Clock,
    private readonly logger: LineLogger,
  ) {}

  /**
   * Logs a decision.
   *
   * @param importance - the importance of the decision
   * @param event - the name of the decision, such as `request-refused`
   * @param fields - the inputs and the outcome of the decision
   */
  record(importance: Importance, event: string, fields: DecisionFields): void {
    this.startNewSecondIfDue();
    if (importance === Importance.Ordinary) {
      this.ordinaryCount += 1;
      if (this.ordinaryCount <= MAX_ORDINARY_PER_SECOND) {
        this.logger.info({ event, ...fields });
      }
      return;
    }
    this.notableCount += 1;
    if (this.notableCount > MAX_NOTABLE_PER_SECOND) {
      this.suppressedCount += 1;
      return;
    }
    this.logger.warn({ event, ...fields });
  }

  private startNewSecondIfDue(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.secondStartMs < MS_PER_SECOND) {
      return;
    }
    if (this.suppressedCount > 0) {
      this.logger.warn({ event: 'lines-suppressed', lines: this.suppressedCount });
    }
    this.secondStartMs = nowMs;
    this.ordinaryCount = 0;
    this.notableCount = 0;
    this.suppressedCount = 0;
  }
}
