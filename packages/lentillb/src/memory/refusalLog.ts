/** Logs what a node refuses for the sake of its memory. */
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import type { MemoryRefusal } from './memoryBudget.js';
import type { MemoryUse } from './memoryUse.js';

/** The shortest time between two lines for the same use, in milliseconds. */
const LINE_INTERVAL_MS = 1_000;

interface LineState {
  writtenAtMs: number;
  /** The number of refusals since the last line. */
  count: number;
}

/** Writes a line for each use at most once a second, with the number of refusals. */
export class RefusalLog {
  private readonly lines = new Map<MemoryUse, LineState>();

  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly log: DecisionLog;
      readonly metrics: MetricsRegistry;
    },
  ) {}

  /**
   * Records a refusal.
   *
   * @param refusal - what was refused, and what was held
   */
  record(refusal: MemoryRefusal): void {
    const { clock, log, metrics } = this.services;
    const { use } = refusal;
    metrics.count('memory_refusals', { use });
    const line = this.lines.get(use) ?? { writtenAtMs: -Infinity, count: 0 };
    this.lines.set(use, line);
    line.count += 1;
    const nowMs = clock.monotonicMs();
    if (nowMs - line.writtenAtMs >= LINE_INTERVAL_MS) {
      log.record(Importance.Notable, 'memory-refused', { ...refusal, refusals: line.count });
      line.writtenAtMs = nowMs;
      line.count = 0;
    }
  }
}
