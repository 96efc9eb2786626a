/**
 * Computes which nodes link to each other. Every node computes this on its own from the hosts it
 * knows, by rendezvous hashing, so that small differences between two views of the fleet lead to
 * small differences between the links.
 */
import { hash32 } from '../utils/hash.js';

/** The number of nodes of a zone that read the log and form the top level of its tree. */
export const READERS_PER_ZONE = 2;
/** How many times larger each level of the tree is than the level above. */
export const FANOUT = 4;

/** A host and its availability zone. */
export interface HostLocation {
  readonly host: string;
  readonly zone: string;
}

/** The purposes of a link to another node. */
export const LinkPurpose = {
  /** A link to the parent in the zone's tree. */
  Parent: 'parent',
  /** A link to a second node of the level above, to compare offsets and digests. */
  Backup: 'backup',
  /** A link to the first node of another zone. */
  Zone: 'zone',
} as const;
export type LinkPurpose = (typeof LinkPurpose)[keyof typeof LinkPurpose];

/** The role and links of one node in the topology. */
export interface Topology {
  /** Whether this node reads the log. */
  readonly reader: boolean;
  /** Whether this node is the first of its zone, which is the root of the tree. */
  readonly first: boolean;
  /** The purposes of the links that this node opens, by host. */
  readonly links: ReadonlyMap<string, LinkPurpose>;
  /** The hosts that are expected to open a parent link to this node. */
  readonly children: readonly string[];
  /** The number of hosts in the own zone. */
  readonly zoneSize: number;
}

function rendezvousScore(key: string, host: string): number {
  return hash32(`${key}/${host}`);
}

/** A function that computes the topology of a node from all live hosts. */
export type TopologyStrategy = (self: HostLocation, locations: readonly HostLocation[]) => Topology;

/** Sorts hosts by descending score, and those with equal scores by name. */
function rankByScore(key: string, locations: readonly HostLocation[]): readonly HostLocation[] {
  return locations
    .map((location) => ({ location, score: rendezvousScore(key, location.host) }))
    .sort(
      (left, right) =>
        right.score - left.score || (left.location.host < right.location.host ? -1 : 1),
    )
    .map(({ location }) => location);
}

/** Splits the ranked hosts of a zone into the levels of its tree, starting at the top. */
function splitIntoLevels(ranked: readonly HostLocation[]): readonly (readonly HostLocation[])[] {
  const levels: HostLocation[][] = [];
  let start = 0;
  let size = READERS_PER_ZONE;
  while (start < ranked.length) {
    levels.push(ranked.slice(start, start + size));
    start += size;
    size *= FANOUT;
  }
  return levels;
}

/** Selects the two nodes with the highest scores for a host from the level above, in one pass. */
function selectUplinks(host: string, above: readonly HostLocation[]): readonly string[] {
  let best: { host: string; score: number } | undefined;
  let second: { host: string; score: number } | undefined;
  above.forEach((candidate) => {
    const scored = { host: candidate.host, score: rendezvousScore(host, candidate.host) };
    if (best === undefined || scored.score > best.score) {
      second = best;
      best = scored;
    } else if (second === undefined || scored.score > second.score) {
      second = scored;
    }
  });
  return [best, second].flatMap((uplink) => (uplink === undefined ? [] : [uplink.host]));
}

function zoneLinks(
  self: HostLocation,
  position: number,
  rankedByZone: ReadonlyMap<string, readonly HostLocation[]>,
): [string, LinkPurpose][] {
  const purpose = position === 0 ? LinkPurpose.Zone : LinkPurpose.Backup;
  return [...rankedByZone]
    .filter(([zone]) => zone > self.zone)
    .flatMap(([, ranked]): [string, LinkPurpose][] => {
      const counterpart = ranked[Math.min(position, ranked.length - 1)];
      return counterpart === undefined ? [] : [[counterpart.host, purpose]];
    });
}

function rankByZone(
  locations: readonly HostLocation[],
): ReadonlyMap<string, readonly HostLocation[]> {
  const zones = new Map<string, HostLocation[]>();
  locations.forEach((location) => {
    const members = zones.get(location.zone) ?? [];
    members.push(location);
    zones.set(location.zone, members);
  });
  return new Map([...zones].map(([zone, members]) => [zone, rankByScore(zone, members)]));
}

/**
 * Computes the topology of a node.
 *
 * @param self - the node, which must be one of the locations
 * @param locations - all live hosts
 * @returns the role and links of the node
 */
export function computeTopology(self: HostLocation, locations: readonly HostLocation[]): Topology {
  const rankedByZone = rankByZone(locations);
  const ranked = rankedByZone.get(self.zone) ?? [];
  const levels = splitIntoLevels(ranked);
  const level = levels.findIndex((hosts) => hosts.some(({ host }) => host === self.host));
  const readers = levels[0] ?? [];
  const position = readers.findIndex(({ host }) => host === self.host);
  const uplinks = level > 0 ? selectUplinks(self.host, levels[level - 1] ?? []) : [];
  const [parent, backup] = position > 0 ? [readers[0]?.host] : uplinks;
  const links = new Map<string, LinkPurpose>(
    level === 0 ? zoneLinks(self, position, rankedByZone) : undefined,
  );
  if (backup !== undefined) {
    links.set(backup, LinkPurpose.Backup);
  }
  if (parent !== undefined) {
    links.set(parent, LinkPurpose.Parent);
  }
  const below = (levels[level + 1] ?? []).filter(
    ({ host }) => selectUplinks(host, levels[level] ?? [])[0] === self.host,
  );
  const otherReaders = position === 0 ? readers.slice(1) : [];
  const children = [...otherReaders, ...below].map(({ host }) => host);
  const zoneSize = ranked.length;
  return { reader: level === 0, first: position === 0, links, children, zoneSize };
}
