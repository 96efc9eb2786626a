/** Assembles the memory budget of a node with what observes it. */
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import type { CollectGarbage } from './bufferCollector.js';
import { BufferCollector } from './bufferCollector.js';
import { MemoryBudget } from './memoryBudget.js';
import { RefusalLog } from './refusalLog.js';

/** What the memory budget of a node depends on. */
export interface MemoryBudgetServices {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: MetricsRegistry;
  /** Runs the garbage collector, where the process may. */
  readonly collectGarbage?: CollectGarbage | undefined;
}

/**
 * Creates the memory budget of a node, which logs refusals and collects discarded buffers.
 *
 * @param services - what it depends on
 * @param limitBytes - the memory limit of the host; by default that of the smallest known host
 * @returns the memory budget
 */
export function createMemoryBudget(
  { clock, collectGarbage, log, metrics }: MemoryBudgetServices,
  limitBytes: number | undefined,
): MemoryBudget {
  const refusals = new RefusalLog({ clock, log, metrics });
  return new MemoryBudget(clock, limitBytes, {
    onRefused: (refusal) => refusals.record(refusal),
    collector: collectGarbage === undefined ? undefined : new BufferCollector(collectGarbage),
  });
}
