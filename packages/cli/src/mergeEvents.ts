/** Merges the events of several nodes so that no effect precedes its cause. */
import type { TimelineEvent } from 'lentillb';
import { EventKind } from 'lentillb';

/**
 * Merges events. The clocks of hosts differ, so their times alone do not give the order. The order
 * of each node's own events is kept, and an event about a log offset is not placed before the first
 * node applied that offset. Otherwise the wall-clock time decides.
 *
 * @param byNode - the events of each node, in the order in which they happened there
 * @returns all events in one sequence
 */
export function mergeEvents(
  byNode: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] {
  const appliedAtMsByOffset = new Map<number, number>();
  byNode.flat().forEach(({ kind, offset, at }) => {
    if (kind === EventKind.VersionApplied && offset !== undefined) {
      const known = appliedAtMsByOffset.get(offset) ?? Number.POSITIVE_INFINITY;
      appliedAtMsByOffset.set(offset, Math.min(known, Date.parse(at)));
    }
  });
  const timedEvents = byNode.flatMap((events) => {
    let latestMs = 0;
    return events.map((event) => {
      const earliestMs =
        event.offset === undefined ? 0 : (appliedAtMsByOffset.get(event.offset) ?? 0);
      latestMs = Math.max(latestMs, Date.parse(event.at), earliestMs);
      return { event, atMs: latestMs };
    });
  });
  return timedEvents
    .sort(
      (left, right) =>
        left.atMs - right.atMs ||
        left.event.host.localeCompare(right.event.host) ||
        left.event.sequence - right.event.sequence,
    )
    .map(({ event }) => event);
}
