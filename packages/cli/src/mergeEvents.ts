/** Puts the events of several nodes into one order that no cause comes after its effect in. */
import type { TimelineEvent } from 'lentillb';
import { EventKind } from 'lentillb';

/**
 * Clocks of hosts differ. Each node's own order is kept; beyond it, the first node to see a log
 * offset cannot be later than others that got the record from it, and wall-clock time decides the
 * rest.
 *
 * @param byNode - the events of each node, in its own order
 * @returns all events in one order
 */
export function mergeEvents(
  byNode: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] {
  const offsetTimes = new Map<number, number>();
  byNode.flat().forEach(({ kind, offset, at }) => {
    if (kind === EventKind.VersionApplied && offset !== undefined) {
      const known = offsetTimes.get(offset) ?? Number.POSITIVE_INFINITY;
      offsetTimes.set(offset, Math.min(known, Date.parse(at)));
    }
  });
  const timed = byNode.flatMap((events) => {
    let latestMs = 0;
    return events.map((event) => {
      const floorMs = event.offset === undefined ? 0 : (offsetTimes.get(event.offset) ?? 0);
      latestMs = Math.max(latestMs, Date.parse(event.at), floorMs);
      return { event, atMs: latestMs };
    });
  });
  return timed
    .sort(
      (left, right) =>
        left.atMs - right.atMs ||
        left.event.host.localeCompare(right.event.host) ||
        left.event.sequence - right.event.sequence,
    )
    .map(({ event }) => event);
}
