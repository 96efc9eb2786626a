/**
 * Who links to whom. Every node works it out alone from the hosts it knows, by rendezvous
 * hashing, so that two views that differ a little lead to links that differ a little.
 */
import { hash32 } from '../utils/hash.js';

/** How many nodes of a zone read the log, and how many are at the top of its tree. */
export const READERS_PER_ZONE = 2;
/** How many times larger each level of the tree is than the one above it. */
export const FANOUT = 4;

/** A host as far as the topology is concerned. */
export interface Place {
  readonly host: string;
  readonly zone: string;
}

/** What a link to another node is for. */
export const Link = {
  /** To the parent in the zone's tree. */
  Parent: 'parent',
  /** To a second node of the level above, for comparing. */
  Backup: 'backup',
  /** To the first node of another zone. */
  Zone: 'zone',
} as const;
export type Link = (typeof Link)[keyof typeof Link];

/** What one node has to do in the topology. */
export interface Topology {
  /** Whether this node reads the log. */
  readonly reader: boolean;
  /** Whether this node is the first of its zone. */
  readonly first: boolean;
  /** The links this node opens, by host. */
  readonly links: ReadonlyMap<string, Link>;
  /** The hosts that should open a parent link to this node. */
  readonly children: readonly string[];
  /** How many hosts the own zone has. */
  readonly zoneSize: number;
}

function rendezvousScore(key: string, host: string): number {
  return hash32(`${key}/${host}`);
}

/** Works out what a node has to do, from the hosts that take part. */
export type Placement = (self: Place, places: readonly Place[]) => Topology;

/** Hosts by falling score; equal scores by name. */
function rankByScore(key: string, places: readonly Place[]): readonly Place[] {
  return places
    .map((place) => ({ place, score: rendezvousScore(key, place.host) }))
    .sort(
      (left, right) => right.score - left.score || (left.place.host < right.place.host ? -1 : 1),
    )
    .map(({ place }) => place);
}

/** The levels of a zone's tree, top first; each level is FANOUT times the one above. */
function splitIntoLevels(ranked: readonly Place[]): readonly (readonly Place[])[] {
  const levels: Place[][] = [];
  let start = 0;
  let size = READERS_PER_ZONE;
  while (start < ranked.length) {
    levels.push(ranked.slice(start, start + size));
    start += size;
    size *= FANOUT;
  }
  return levels;
}

/** The two nodes of the level above that a host prefers, found in one pass. */
function selectUplinks(host: string, above: readonly Place[]): readonly string[] {
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
  self: Place,
  position: number,
  rankedByZone: ReadonlyMap<string, readonly Place[]>,
): [string, Link][] {
  const purpose = position === 0 ? Link.Zone : Link.Backup;
  return [...rankedByZone]
    .filter(([zone]) => zone > self.zone)
    .flatMap(([, ranked]): [string, Link][] => {
      const counterpart = ranked[Math.min(position, ranked.length - 1)];
      return counterpart === undefined ? [] : [[counterpart.host, purpose]];
    });
}

function rankByZone(places: readonly Place[]): ReadonlyMap<string, readonly Place[]> {
  const zones = new Map<string, Place[]>();
  places.forEach((place) => {
    const members = zones.get(place.zone) ?? [];
    members.push(place);
    zones.set(place.zone, members);
  });
  return new Map([...zones].map(([zone, members]) => [zone, rankByScore(zone, members)]));
}

/**
 * @param self - the node in question, which is among the places
 * @param places - all hosts that take part
 * @returns what the node has to do
 */
export function topologyOf(self: Place, places: readonly Place[]): Topology {
  const rankedByZone = rankByZone(places);
  const ranked = rankedByZone.get(self.zone) ?? [];
  const levels = splitIntoLevels(ranked);
  const level = levels.findIndex((hosts) => hosts.some(({ host }) => host === self.host));
  const readers = levels[0] ?? [];
  const position = readers.findIndex(({ host }) => host === self.host);
  const uplinks = level > 0 ? selectUplinks(self.host, levels[level - 1] ?? []) : [];
  const [parent, backup] = position > 0 ? [readers[0]?.host] : uplinks;
  const links = new Map<string, Link>(
    level === 0 ? zoneLinks(self, position, rankedByZone) : undefined,
  );
  if (backup !== undefined) {
    links.set(backup, Link.Backup);
  }
  if (parent !== undefined) {
    links.set(parent, Link.Parent);
  }
  const below = (levels[level + 1] ?? []).filter(
    ({ host }) => selectUplinks(host, levels[level] ?? [])[0] === self.host,
  );
  const otherReaders = position === 0 ? readers.slice(1) : [];
  const children = [...otherReaders, ...below].map(({ host }) => host);
  const zoneSize = ranked.length;
  return { reader: level === 0, first: position === 0, links, children, zoneSize };
}
