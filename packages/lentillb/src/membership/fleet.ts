/** Stores the newest announcement of every host, and compares them with other nodes by digest. */
import type { Announcement, Summary } from '@lentillb/protocol';
import { HostState, SummarySchema } from '@lentillb/protocol';
import { create } from '@bufbuild/protobuf';
import type { Services } from '../kernel/services.js';
import { hash32 } from '../utils/hash.js';

/** The number of buckets into which hosts are hashed for the comparison. */
export const BUCKET_COUNT = 64;

/**
 * The time for which hosts that are gone are kept, so that an old announcement cannot revive them.
 */
const TOMBSTONE_RETENTION_MS = 10 * 60 * 1_000;

/** The fields of an announcement that decide which of two is newer. */
export type AnnouncementVersion = Pick<Announcement, 'host' | 'incarnation' | 'sequence' | 'state'>;

/** A function called with every announcement that was new to this node. */
export type FleetListener = (announcement: Announcement) => void;

/**
 * Compares incarnation, sequence and state, in this order.
 *
 * @param left - an announcement or summary
 * @param right - another announcement or summary of the same host
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
 * @param announcement - an announcement or summary
 * @returns whether the host is live or leaving
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

/** The announcements of all hosts known to this node. */
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
   * Stores an announcement if it is newer than the stored one.
   *
   * @param announcement - an announcement by the host itself, or by a watcher that declares it lost
   * @returns whether the announcement was newer
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

  /** Removes hosts that have been gone for longer than the retention. */
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
   * @param host - the name of a host
   * @returns its newest announcement, which stays available until its retention ends
   */
  get(host: string): Announcement | undefined {
    return this.byHost.get(host);
  }

  /** @returns the newest announcements of all hosts that are live or leaving */
  present(): readonly Announcement[] {
    return [...this.byHost.values()].filter(isPresent);
  }

  /** @returns one digest over all present hosts */
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
   * @param buckets - the numbers of buckets
   * @returns a summary of every present host in these buckets
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
   * Finds the announcements that a peer lacks.
   *
   * @param buckets - the buckets that the peer summarized
   * @param summaries - the summaries of the peer for these buckets
   * @returns the announcements that are newer than those of the peer, or unknown to it
   */
  findNewerAnnouncements(
    buckets: readonly number[],
    summaries: readonly Summary[],
  ): readonly Announcement[] {
    const bucketSet = new Set(buckets);
    const summaryByHost = new Map(summaries.map((summary) => [summary.host, summary]));
    return [...this.byHost.values()].filter((current) => {
      const summary = summaryByHost.get(current.host);
      return (
        bucketSet.has(bucketOf(current.host)) &&
        (summary === undefined ? isPresent(current) : isNewer(current, summary))
      );
    });
  }

  /**
   * Subscribes to new announcements.
   *
   * @param listener - called after every stored announcement
   * @returns a function that ends the subscription
   */
  subscribe(listener: FleetListener): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Adds an announcement to the digest of its bucket; a second call removes it again (XOR). */
  private toggleDigest(announcement: Announcement): void {
    if (isPresent(announcement)) {
      const bucket = bucketOf(announcement.host);
      this.digests[bucket] = (this.digests[bucket] ?? 0) ^ digestOf(announcement);
    }
  }
}
