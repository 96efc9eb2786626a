/** Ranks the nodes that may control a rollout: those that read the operator's topic, two of each zone. */
import type { Announcement } from '../directory/announcement.js';
import { compareReaderPriority } from '../peers/storeReaderRole.js';
import { hash32 } from '../utils/hash.js';

/** The number of nodes of a zone that read the operator's topic. */
const READERS_PER_ZONE = 2;

/**
 * Ranks the nodes that may control the rollout of a service. The first ones are in different zones, so
 * that one remains in reach when a zone is cut off.
 *
 * @param announcements - the announced hosts
 * @param service - the name of the service
 * @returns their announcements, the controller first
 */
export function rankControllers(
  announcements: readonly Announcement[],
  service: string,
): readonly Announcement[] {
  const byZone = new Map<string, Announcement[]>();
  announcements.forEach((announcement) => {
    const hosts = byZone.get(announcement.zone) ?? [];
    hosts.push(announcement);
    byZone.set(announcement.zone, hosts);
  });
  const priority = ({ host }: Announcement): number => hash32(`${service} ${host}`);
  const readers = [...byZone.values()].map((hosts) =>
    hosts.sort(compareReaderPriority).slice(0, READERS_PER_ZONE),
  );
  return Array.from({ length: READERS_PER_ZONE }).flatMap((_, rank) =>
    readers
      .flatMap((hosts) => hosts[rank] ?? [])
      .sort((left, right) => priority(left) - priority(right)),
  );
}
