/** What this node knows of all hosts: the newest announcement of each, compared by digest. */
import type { Announcement, Summary } from '@lentillb/protocol';
import { HostState, SummarySchema } from '@lentillb/protocol';
import { create } from '@bufbuild/protobuf';
import type { Services } from '../kernel/services.js';
import { hash32 } from '../utils/hash.js';

/** How many buckets announcements are compared in. */
export const BUCKET_COUNT = 64;

/** How long a host that is gone is remembered, so that an old announcement cannot revive it. */
const TOMBSTONE_RETENTION_MS = 10 * 60 * 1_000;

/** The parts of an announcement that say which of two is newer. */
export type AnnouncementVersion = Pick<Announcement, 'host' | 'incarnation' | 'sequence' | 'state'>;

/** Called with every announcement that was new to this node. */
export type FleetListener = (announcement: Announcement) => void;

/**
 * @param left - an announcement or summary
 * @param right - another of the same host
 * @returns whether the left one is newer
 */
export function isNewer(left: AnnouncementVersion, right: AnnouncementVersion): boolean {
  if (left.incarnation !== right.incarnation) {
    return left.incarnation > right.incarnation;
  }
  if (left.sequence !== right.sequence) {
    return left.sequence > right.sequence;
  }
  return left.state > right.state;
}

/**
 * @param stamp - an announcement or summary
 * @returns whether the host counts as there
 */
export function isPresent({ state }: AnnouncementVersion): boolean {
  return state === HostState.LIVE || state === HostState.LEAVING;
}

function bucketOf(host: string): number {
  return hash32(host) % BUCKET_COUNT;
}

function digestOf(announcement: AnnouncementVersion): number {
  return hash32(
    `${announcement.host} ${announcement.incarnation} ${announcement.sequence} ${announcement.state}`,
  );
}

/** All hosts known to this node. */
export class Fleet {
  private readonly byHost = new Map<string, Announcement>();

  private readonly goneSinceMs = new Map<string, number>();

  private readonly digests: number[] = new Array<number>(BUCKET_COUNT).fill(0);

  private readonly listeners = new Set<FleetListener>();

  private readonly services: Pick<Services, 'clock'>;

  constructor(services: Pick<Services, 'clock'>) {
    this.services = services;
  }

  /**
   * Takes an announcement in where it is newer than the one held.
   *
   * @param announcement - what a host said, or a watcher said of it
   * @returns whether it was newer
   */
  merge(announcement: Announcement): boolean {
    const current = this.byHost.get(announcement.host);
    if (current !== undefined && !isNewer(announcement, current)) {
      return false;
    }
    if (current !== undefined) {
      this.toggleDigest(current);
    }
    this.byHost.set(announcement.host, announcement);
    this.toggleDigest(announcement);
    if (isPresent(announcement)) {
      this.goneSinceMs.delete(announcement.host);
    } else {
      this.goneSinceMs.set(announcement.host, this.services.clock.monotonicMs());
    }
    this.listeners.forEach((listener) => listener(announcement));
    return true;
  }

  /** Forgets hosts that have been gone for long. */
  removeExpiredTombstones(): void {
    const oldestMs = this.services.clock.monotonicMs() - TOMBSTONE_RETENTION_MS;
    this.goneSinceMs.forEach((sinceMs, host) => {
      if (sinceMs < oldestMs) {
        this.goneSinceMs.delete(host);
        this.byHost.delete(host);
      }
    });
  }

  /**
   * @param host - a host
   * @returns its newest announcement, also after it is gone
   */
  get(host: string): Announcement | undefined {
    return this.byHost.get(host);
  }

  /** @returns the newest announcements of all hosts that are there */
  present(): readonly Announcement[] {
    return [...this.byHost.values()].filter(isPresent);
  }

  /** @returns one digest for everything known */
  digest(): number {
    return this.digests.reduce((total, digest) => total ^ digest, 0) >>> 0;
  }

  /** @returns the digest of each bucket */
  bucketDigests(): readonly number[] {
    return this.digests.map((digest) => digest >>> 0);
  }

  /**
   * @param others - the bucket digests of a peer
   * @returns the buckets that differ
   */
  differingBuckets(others: readonly number[]): number[] {
    return this.bucketDigests().flatMap((digest, bucket) =>
      digest === others[bucket] ? [] : [bucket],
    );
  }

  /**
   * @param buckets - some buckets
   * @returns a summary of every host there that is present
   */
  summaries(buckets: readonly number[]): Summary[] {
    const bucketSet = new Set(buckets);
    return this.present()
      .filter(({ host }) => bucketSet.has(bucketOf(host)))
      .map(({ host, incarnation, sequence, state }) =>
        create(SummarySchema, { host, incarnation, sequence, state }),
      );
  }

  /**
   * @param buckets - the buckets a peer summed up
   * @param summaries - what the peer knows there
   * @returns the announcements that are news to the peer
   */
  findNewerAnnouncements(
    buckets: readonly number[],
    summaries: readonly Summary[],
  ): readonly Announcement[] {
    const bucketSet = new Set(buckets);
    const known = new Map(summaries.map((summary) => [summary.host, summary]));
    return [...this.byHost.values()].filter((current) => {
      const summary = known.get(current.host);
      return (
        bucketSet.has(bucketOf(current.host)) &&
        (summary === undefined ? isPresent(current) : isNewer(current, summary))
      );
    });
  }

  /**
   * @param listener - called after every announcement taken in
   * @returns ends the subscription
   */
  subscribe(listener: FleetListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Adds or, the second time, removes an announcement's part of its bucket's digest. */
  private toggleDigest(announcement: Announcement): void {
    if (isPresent(announcement)) {
      const bucket = bucketOf(announcement.host);
      this.digests[bucket] = (this.digests[bucket] ?? 0) ^ digestOf(announcement);
    }
  }
}
