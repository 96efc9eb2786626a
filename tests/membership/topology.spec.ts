import type { HostLocation, Topology } from 'lentillb/membership/topology.js';
import { LinkPurpose, READERS_PER_ZONE, computeTopology } from 'lentillb/membership/topology.js';
import { describe, expect, it } from 'vitest';

/**
 * The maximum number of links of a node for any size of the fleet, because its heartbeats must fit
 * 2 KB/s.
 */
const MAX_LINKS = 40;
const TARGET_NODES = 3_400;

function createLocations(count: number, zones: number): readonly HostLocation[] {
  return Array.from({ length: count }, (_, index) => ({
    host: `host-${index}`,
    zone: `zone-${index % zones}`,
  }));
}

function topologies(all: readonly HostLocation[]): ReadonlyMap<string, Topology> {
  return new Map(all.map((location) => [location.host, computeTopology(location, all)]));
}

/** Returns all hosts that a message from one host reaches over parent and zone links. */
function reachableFrom(start: string, all: ReadonlyMap<string, Topology>): ReadonlySet<string> {
  const neighbours = new Map<string, Set<string>>([...all.keys()].map((host) => [host, new Set()]));
  all.forEach(({ links }, host) =>
    links.forEach((link, other) => {
      if (link !== LinkPurpose.Backup) {
        neighbours.get(host)?.add(other);
        neighbours.get(other)?.add(host);
      }
    }),
  );
  const found = new Set([start]);
  found.forEach((host) => neighbours.get(host)?.forEach((other) => found.add(other)));
  return found;
}

describe('topology', () => {
  it.each([
    [1, 1],
    [2, 1],
    [3, 4],
    [8, 4],
    [150, 3],
    [400, 1],
  ])('should connect %i nodes in %i zones', (count, zones) => {
    const all = topologies(createLocations(count, zones));
    expect(reachableFrom('host-0', all).size).toBe(count);
  });

  it.each([
    [150, 3],
    [400, 1],
  ])('should have two readers and one first node in each zone of %i/%i', (count, zones) => {
    const all = createLocations(count, zones);
    const parts = [...topologies(all)];
    const zoneOf = new Map(all.map(({ host, zone }) => [host, zone]));
    const readers = parts.filter(([, { reader }]) => reader).map(([host]) => zoneOf.get(host));
    const firsts = parts.filter(([, { first }]) => first).map(([host]) => zoneOf.get(host));
    expect(readers).toHaveLength(READERS_PER_ZONE * zones);
    expect(new Set(firsts).size).toBe(zones);
    expect(firsts).toHaveLength(zones);
  });

  it('should give every node below the top level two uplinks', () => {
    const parts = [...topologies(createLocations(400, 1)).values()];
    const below = parts.filter(({ reader }) => !reader);
    expect(below.every(({ links }) => links.size === 2)).toBe(true);
  });

  it('should list as children exactly the nodes that have it as their parent', () => {
    const all = topologies(createLocations(150, 3));
    all.forEach(({ children }, host) => {
      const expected = [...all].filter(([, { links }]) => links.get(host) === LinkPurpose.Parent);
      expect([...children].sort()).toEqual(expected.map(([child]) => child).sort());
    });
  });

  it('should limit the links of a node in a fleet of the target size', () => {
    const zoneSize = Math.ceil(TARGET_NODES / 9);
    const all = topologies(createLocations(zoneSize, 1));
    const counts = new Map<string, number>([...all.keys()].map((host) => [host, 0]));
    all.forEach(({ links }, host) =>
      links.forEach((_, other) => {
        counts.set(host, (counts.get(host) ?? 0) + 1);
        counts.set(other, (counts.get(other) ?? 0) + 1);
      }),
    );
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(MAX_LINKS);
  });

  it('should change few links when one host leaves', () => {
    const before = createLocations(378, 1);
    const topologiesBefore = topologies(before);
    const changedCounts = Array.from({ length: 6 }, (_, index) => {
      const after = before.filter(({ host }) => host !== `host-${index * 61}`);
      const changed = [...topologies(after)].filter(([host, { links }]) => {
        const linksBefore = [...(topologiesBefore.get(host)?.links ?? [])].join();
        return linksBefore !== [...links].join();
      });
      return changed.length;
    });
    // Up to a few dozen hosts are below a host at the top level; most hosts have none below them.
    const total = changedCounts.reduce((sum, count) => sum + count, 0);
    expect(Math.max(...changedCounts)).toBeLessThanOrEqual(80);
    expect(total / changedCounts.length).toBeLessThanOrEqual(20);
  });
});
