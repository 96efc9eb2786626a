/** Registers the gauges of a node, which are read each time its metrics are rendered. */
import type { MemoryBudget } from '../memory/memoryBudget.js';
import { memoryUses, MemoryUse } from '../memory/memoryUse.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import type { Gossip } from '../peers/gossip.js';
import type { SuspectRequests } from '../serving/suspectRequests.js';
import { Topic } from '../store/keyedStore.js';
import type { MeshState } from './meshState.js';

/** The parts of a node whose state is shown. */
export interface GaugedParts {
  readonly gossip: Gossip;
  readonly memory: MemoryBudget;
  readonly meshState: MeshState;
  readonly suspects: SuspectRequests;
}

function registerMemoryGauges(metrics: MetricsRegistry, memory: MemoryBudget): void {
  metrics.gauge('held_answer_bytes', () => memory.bytesOf(MemoryUse.Answers));
  memoryUses.forEach((use) =>
    metrics.gauge(`memory_held_bytes{use="${use}"}`, () => memory.bytesOf(use)),
  );
  metrics.gauge('memory_room_bytes', () => memory.roomBytes);
  metrics.gauge('memory_limit_bytes', () => memory.limitBytes);
  metrics.gauge('memory_resident_bytes', () => process.memoryUsage.rss());
  metrics.gauge('memory_heap_bytes', () => process.memoryUsage().heapTotal);
  metrics.gauge('memory_buffer_bytes', () => process.memoryUsage().arrayBuffers);
}

function registerTransferGauges(
  metrics: MetricsRegistry,
  { gossip, meshState }: Pick<GaugedParts, 'gossip' | 'meshState'>,
): void {
  Object.values(Topic).forEach((topic) => {
    const follower = meshState.followerOf(topic);
    metrics.gauge(`store_reads_under_way{topic="${topic}"}`, () => follower.underWay);
    metrics.gauge(`store_read_bytes{topic="${topic}"}`, () => follower.totalBytes);
  });
  metrics.gauge('state_transfers_under_way', () => gossip.transferCounts.underWay);
  metrics.gauge('state_transfer_bytes', () => gossip.transferCounts.totalBytes);
}

/**
 * Registers the gauges of a node.
 *
 * @param metrics - the metrics of the process
 * @param parts - the parts of the node whose state is shown
 */
export function registerGauges(metrics: MetricsRegistry, parts: GaugedParts): void {
  const { meshState, suspects } = parts;
  metrics.gauge('configuration_version', () => meshState.configuration.version);
  metrics.gauge('rejected_inputs', () => meshState.rejectedInputs);
  metrics.gauge('suspect_requests', () => suspects.size);
  metrics.gauge('known_hosts', () => meshState.directory.announcements.length);
  registerMemoryGauges(metrics, parts.memory);
  registerTransferGauges(metrics, parts);
}
