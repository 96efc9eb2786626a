/** Creates the memory budget of a node, which logs what it refuses. */
import type { Clock } from '../kernel/clock.js';
import type { CollectGarbage } from '../memory/bufferCollector.js';
import { BufferCollector } from '../memory/bufferCollector.js';
import { MemoryBudget } from '../memory/memoryBudget.js';
import { RefusalLog } from '../memory/refusalLog.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';

/** The services that the memory budget depends on. */
export interface NodeMemoryServices {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: MetricsRegistry;
  /** Runs the garbage collector, where the process may. */
  readonly collectGarbage?: CollectGarbage;
}

/**
 * Creates the memory budget of a node.
 *
 * @param services - the services that the budget depends on
 * @param limitBytes - the memory limit of the host, in bytes; by default that of the smallest known host
 * @returns the budget
 */
export function createMemoryBudget(
  { clock, collectGarbage, log, metrics }: NodeMemoryServices,
  limitBytes: number | undefined,
): MemoryBudget {
  const refusals = new RefusalLog({ clock, log, metrics });
  return new MemoryBudget(clock, limitBytes, {
    onRefused: (refusal) => refusals.record(refusal),
    collector: collectGarbage === undefined ? undefined : new BufferCollector(collectGarbage),
  });
}
