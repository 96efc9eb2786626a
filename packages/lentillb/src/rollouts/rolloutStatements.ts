/** Holds the newest statement about the rollout of each service. */
import type { Clock } from '../kernel/clock.js';
import type { RolloutOrder, RolloutStatement } from './rollout.js';
import { RolloutStage } from './rollout.js';

/** A statement, and when this node learnt of it, in milliseconds of the monotonic clock. */
export interface HeldStatement {
  readonly statement: RolloutStatement;
  /** When a controller was last heard of: a statement arrived that was made later than all before. */
  readonly heardAtMs: number;
  /** When the stage was learnt. */
  readonly stageSinceMs: number;
  /** When the order was learnt. */
  readonly orderSinceMs: number;
}

/** The effects of a statement. */
export const StatementEffect = {
  /** An earlier statement or one that is known. */
  Outdated: 'outdated',
  /** It says no more than that its controller is at work. */
  Heard: 'heard',
  /** The order or its stage was not known before. */
  News: 'news',
} as const;
export type StatementEffect = (typeof StatementEffect)[keyof typeof StatementEffect];

/** Merges statements. Later orders count, and of one order the higher stage. */
export class RolloutStatements {
  private readonly byService = new Map<string, HeldStatement>();

  /** @param clock - the clock by which statements grow old */
  constructor(private readonly clock: Clock) {}

  /** The newest statement of every service that has had a rollout. */
  get all(): readonly HeldStatement[] {
    return [...this.byService.values()];
  }

  /** The number of services that have had a rollout. */
  get size(): number {
    return this.byService.size;
  }

  /**
   * @param service - the name of a service
   * @returns the newest statement about its rollout, if there has been one
   */
  of(service: string): HeldStatement | undefined {
    return this.byService.get(service);
  }

  /**
   * Takes up an order that was read from the store, if it is later than the known one.
   *
   * @param order - the order
   * @param baseVersion - the version that serves now
   * @param host - the host of this node
   * @returns whether it was not known before
   */
  learnOrder(order: RolloutOrder, baseVersion: string, host: string): boolean {
    const known = this.byService.get(order.service);
    if (known !== undefined && known.statement.offset >= order.offset) {
      return false;
    }
    const statement = { ...order, baseVersion, controller: host };
    this.accept({ ...statement, stage: RolloutStage.None, elapsedMs: 0 });
    return true;
  }

  /**
   * @param held - a statement of this node
   * @returns the time since the order, in milliseconds
   */
  elapsedMs({ heardAtMs, statement }: HeldStatement): number {
    return statement.elapsedMs + this.clock.monotonicMs() - heardAtMs;
  }

  /**
   * Merges a statement.
   *
   * @param statement - a statement of a controller
   * @returns what it says beyond those before
   */
  accept(statement: RolloutStatement): StatementEffect {
    const nowMs = this.clock.monotonicMs();
    const known = this.byService.get(statement.service);
    if (known === undefined || statement.offset > known.statement.offset) {
      const times = { heardAtMs: nowMs, stageSinceMs: nowMs, orderSinceMs: nowMs };
      this.byService.set(statement.service, { statement, ...times });
      return StatementEffect.News;
    }
    const { stage, elapsedMs, offset } = known.statement;
    if (statement.offset < offset || statement.stage < stage) {
      return StatementEffect.Outdated;
    }
    const isLater = statement.elapsedMs > elapsedMs;
    if (statement.stage === stage && !isLater) {
      return StatementEffect.Outdated;
    }
    this.byService.set(statement.service, {
      ...known,
      statement: { ...statement, elapsedMs: Math.max(statement.elapsedMs, elapsedMs) },
      heardAtMs: isLater ? nowMs : known.heardAtMs,
      stageSinceMs: statement.stage === stage ? known.stageSinceMs : nowMs,
    });
    return statement.stage === stage ? StatementEffect.Heard : StatementEffect.News;
  }
}
