/** One JSON line for each decision, within a budget of lines a second. */
import type { Clock } from '../kernel/clock.js';

/** How much a line matters when the budget runs short. */
export const Weight = {
  /** A request that went as planned; logged while there is budget to spare. */
  Ordinary: 'ordinary',
  /** A refusal, a failure, a retry, an unknown outcome, or a change of what the node believes. */
  Notable: 'notable',
} as const;
export type Weight = (typeof Weight)[keyof typeof Weight];

/** The inputs and the outcome of a decision. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Where lines go; bunyan's loggers are one. */
export interface LineLogger {
  info(fields: object, message?: string): void;
  warn(fields: object, message?: string): void;
}

/** Lines a second for requests that went as planned, about one in three of a host's usual load. */
const ORDINARY_PER_SECOND = 20;
/** Lines a second for everything else: what a host writes at 1 % of its processor time. */
const NOTABLE_PER_SECOND = 200;
const MS_PER_SECOND = 1_000;

/** Logs decisions; counts those it has no budget for. */
export class DecisionLog {
  private secondStartMs = -Infinity;

  private ordinary = 0;

  private notable = 0;

  private suppressed = 0;

  constructor(
    private readonly clock: Clock,
    private readonly logger: LineLogger,
  ) {}

  /**
   * Logs one decision.
   *
   * @param weight - how much it matters
   * @param event - what was decided, in a word or two
   * @param fields - the inputs and the outcome
   */
  record(weight: Weight, event: string, fields: DecisionFields): void {
    this.startSecond();
    if (weight === Weight.Ordinary) {
      this.ordinary += 1;
      if (this.ordinary <= ORDINARY_PER_SECOND) {
        this.logger.info({ event, ...fields });
      }
      return;
    }
    this.notable += 1;
    if (this.notable > NOTABLE_PER_SECOND) {
      this.suppressed += 1;
      return;
    }
    this.logger.warn({ event, ...fields });
  }

  private startSecond(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.secondStartMs < MS_PER_SECOND) {
      return;
    }
    if (this.suppressed > 0) {
      this.logger.warn({ event: 'lines-suppressed', lines: this.suppressed });
    }
    this.secondStartMs = nowMs;
    this.ordinary = 0;
    this.notable = 0;
    this.suppressed = 0;
  }
}
