/**
 * Decides whether a node reads a topic of the store itself. If all nodes read it, every change would
 * be sent to all of them at once, a configuration can saturate a small link for a second, and each
 * call to the store is charged. Therefore only the nodes of each zone with the widest links read the
 * store and pass its records on. They report how old their view of the store is. A node that knows of
 * no recent view reads the store itself, so it does not matter how readers fail.
 */
import type { Announcement } from '../directory/announcement.js';
import { BackendServerState } from '../directory/announcement.js';
import type { Directory } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import { Topic } from '../store/keyedStore.js';
import { hash32 } from '../utils/hash.js';

/** How one topic is read for a zone. */
interface ReadingPlan {
  /** Number of nodes of a zone that read the topic all the time. */
  readonly readers: number;
  /** How long the first reader waits for a record before it reads again, in milliseconds. */
  readonly pollMs: number;
  /**
   * How long ago a reader must have had an answer of the store at most, in milliseconds. After that
   * the first reader reads on another connection, and the nodes of lower ranks read one by one.
   */
  readonly maxAgeMs: number;
  /** Additional age for each lower rank, in milliseconds: one read, and a message to the zone. */
  readonly ageStepMs: number;
}

const readingPlans: Readonly<Record<Topic, ReadingPlan>> = {
  // Two readers, so that one may be lost without delaying a configuration.
  [Topic.Operator]: { readers: 2, pollMs: 700, maxAgeMs: 850, ageStepMs: 60 },
  // A gate refuses what it cannot serve, so other nodes may learn of a changed host a second later.
  [Topic.Hosts]: { readers: 1, pollMs: 1_500, maxAgeMs: 1_800, ageStepMs: 150 },
};
/** Wait of a reader that another one keeps up to date, in milliseconds. */
const LONG_POLL_MS = 3_000;
/**
 * Maximum number of additional steps. In a larger zone, the last nodes read when all of many readers
 * are lost, and an outage of the store does not make all of them call it every second.
 */
const MAX_AGE_STEPS = 60;
/**
 * How long a node waits for the first announcement of its zone before it reads the configuration
 * from the store, in milliseconds. While a fleet starts, backend servers send their first heartbeat
 * within one heartbeat interval, and then one reader of the zone suffices.
 */
const FIRST_ANNOUNCEMENT_TIMEOUT_MS = 2_000;
/**
 * The time for which a node leaves the store to others while it fetches a version that its zone has read,
 * counted from its last progress, in milliseconds. A change is much smaller than a record of the store.
 */
const FETCH_PATIENCE_MS = 600;
/**
 * The longest time for which it does so after its zone has named a version that is newer than all before, in
 * milliseconds. A node may name a version that it does not have.
 */
const MAX_FETCH_MS = 2_000;
/** How long an answer of the store counts as recent, in milliseconds: two reads of a late rank. */
const RECENT_ANSWER_MS = 2_500;

/** A host whose backend server leaves is about to be removed. */
function isLeaving({ backendServer }: Announcement): boolean {
  return backendServer?.state === BackendServerState.Leaving;
}

/**
 * Orders nodes by link bandwidth, then by a hash of the host, so that all nodes compute the same order;
 * hosts that are about to be removed come last.
 *
 * @param left - the announcement of a host
 * @param right - that of another host
 * @returns a negative number if the first comes before the second
 */
export function compareReaderPriority(left: Announcement, right: Announcement): number {
  return (
    Number(isLeaving(left)) - Number(isLeaving(right)) ||
    (right.linkMegabits ?? 0) - (left.linkMegabits ?? 0) ||
    hash32(left.host) - hash32(right.host) ||
    (left.host < right.host ? -1 : 1)
  );
}

/** The hosts of a zone by rank, for one state of the directory. */
interface ZoneRanking {
  readonly digest: number;
  readonly hosts: readonly string[];
}

/** When the content of a topic was last known to be complete, in milliseconds of the monotonic clock. */
interface TopicView {
  /** By a read of this node. */
  readAtMs: number;
  /** By a read of any other node of the zone. */
  reportedAtMs: number;
  /** By a read of a node of the zone that ranks higher, which this one leaves the reading to. */
  leaderReadAtMs: number;
  /** The host of that node. */
  leader: string | undefined;
  /** When the last read of this node failed; undefined if it did not. */
  failedAtMs: number | undefined;
}

/** The role of this node as a reader of the store. */
export class StoreReaderRole {
  private readonly startedAtMs: number;

  /** When this node first knew of an announced host of its zone, which may read the store for it. */
  private firstAnnouncedAtMs = -Infinity;

  /** The newest version that a node of the zone has named, and the time at which one did so first. */
  private named = { version: 0, atMs: -Infinity };

  /** The time at which this node began to lack a version of its zone, or a part of one arrived. */
  private fetchProgressAtMs = -Infinity;

  private readonly views: Readonly<Record<Topic, TopicView>>;

  /** Recomputed when the digest of the directory changes. */
  private ranking: ZoneRanking | undefined;

  /**
   * @param services - the clock, and the directory of known hosts
   * @param location - the host and the zone of this node
   */
  constructor(
    private readonly services: { readonly clock: Clock; readonly directory: Directory },
    private readonly location: { readonly host: string; readonly zone: string },
  ) {
    this.startedAtMs = services.clock.monotonicMs();
    // A starting node allows the readers of its zone the full time to send it a message.
    const createView = (): TopicView => ({
      readAtMs: -Infinity,
      reportedAtMs: this.startedAtMs,
      leaderReadAtMs: this.startedAtMs,
      leader: undefined,
      failedAtMs: undefined,
    });
    this.views = { [Topic.Operator]: createView(), [Topic.Hosts]: createView() };
  }

  /**
   * @param topic - a topic of the store
   * @param host - the address of a host; by default the one of this node
   * @returns whether its node is one of the readers of this zone
   */
  isReaderOf(topic: Topic, host = this.location.host): boolean {
    const rank = this.currentRanking.hosts.indexOf(host);
    return rank >= 0 && rank < readingPlans[topic].readers;
  }

  /**
   * @param topic - a topic of the store
   * @returns whether this node should read the topic now
   */
  shouldRead(topic: Topic): boolean {
    return this.untilReadMs(topic) <= 0;
  }

  /**
   * @param topic - a topic of the store
   * @returns the time until this node should read the topic, in milliseconds; not above 0 if now
   */
  untilReadMs(topic: Topic): number {
    if (this.currentRanking.hosts.length === 0) {
      const sinceStartMs = this.services.clock.monotonicMs() - this.startedAtMs;
      return topic === Topic.Hosts ? 0 : FIRST_ANNOUNCEMENT_TIMEOUT_MS - sinceStartMs;
    }
    if (this.isReaderOf(topic)) {
      return 0;
    }
    const { failedAtMs = -Infinity, leaderReadAtMs } = this.views[topic];
    const leftToMs = Math.max(leaderReadAtMs, failedAtMs, this.firstAnnouncedAtMs);
    return Math.max(this.fetchPatienceMs(topic), this.maxAgeMs(topic) - this.ageMs(leftToMs));
  }

  /**
   * @param topic - a topic of the store
   * @returns the time until the zone's view of the topic is too old for the rank of this node, in
   *   milliseconds; not above 0 if it is
   */
  untilOutdatedMs(topic: Topic): number {
    const untilOutdatedMs = this.maxAgeMs(topic) - this.viewAgeMs(topic);
    return this.isReaderOf(topic)
      ? untilOutdatedMs
      : Math.max(this.fetchPatienceMs(topic), untilOutdatedMs);
  }

  /**
   * @param topic - a topic of the store
   * @returns how long a read by this node should wait for a record, in milliseconds
   */
  pollMs(topic: Topic): number {
    const { leaderReadAtMs, readAtMs } = this.views[topic];
    const isLed = this.rank > 0 && this.ageMs(leaderReadAtMs) <= this.maxAgeMs(topic);
    const remainingMs = readingPlans[topic].pollMs - this.ageMs(readAtMs);
    return isLed ? LONG_POLL_MS : Math.max(0, Math.floor(remainingMs));
  }

  /**
   * @param topic - a topic of the store
   * @returns whether a node that ranks higher has read the topic recently, or a version that the zone has
   *   read is being fetched from one of its nodes, so that this one need not read
   */
  isReadElsewhere(topic: Topic): boolean {
    const { leader, leaderReadAtMs } = this.views[topic];
    const isLed = leader !== undefined && this.ageMs(leaderReadAtMs) <= this.maxAgeMs(topic);
    return (isLed || this.fetchPatienceMs(topic) > 0) && !this.isReaderOf(topic);
  }

  /**
   * @param topic - a topic of the store
   * @returns the time since this node was last known to have all of the topic, in milliseconds
   */
  viewAgeMs(topic: Topic): number {
    const { readAtMs, reportedAtMs } = this.views[topic];
    return this.ageMs(Math.max(readAtMs, reportedAtMs));
  }

  /** Whether other nodes may rely on this node for the content of the store. */
  get readsStore(): boolean {
    const { failedAtMs } = this.views[Topic.Operator];
    return failedAtMs === undefined && this.ownAgeMs(Topic.Operator) < RECENT_ANSWER_MS;
  }

  /**
   * @param topic - a topic of the store
   * @returns the age of this node's view of the topic by its own reads, in milliseconds
   */
  ownAgeMs(topic: Topic): number {
    return this.ageMs(this.views[topic].readAtMs);
  }

  /**
   * Records when another node of the zone has read a topic. Only reads are reported,
   * never reports of others, so that transit times do not add up.
   *
   * @param topic - the topic that the other node reads
   * @param host - the host of the other node
   * @param readAtMs - when it read, in milliseconds of the monotonic clock of this node
   */
  noteReport(topic: Topic, host: string, readAtMs: number): void {
    const view = this.views[topic];
    view.reportedAtMs = Math.max(view.reportedAtMs, readAtMs);
    const rank = this.currentRanking.hosts.indexOf(host);
    if (rank >= 0 && rank < this.rank && readAtMs > view.leaderReadAtMs) {
      view.leaderReadAtMs = readAtMs;
      view.leader = host;
    }
  }

  /**
   * Records that the store answered a read of this node.
   *
   * @param topic - the topic that was read
   * @param currentAtMs - the time at which the answer was still complete at the latest, in
   *   milliseconds of the monotonic clock
   */
  noteRead(topic: Topic, currentAtMs: number): void {
    const view = this.views[topic];
    view.readAtMs = Math.max(view.readAtMs, currentAtMs);
    view.failedAtMs = undefined;
  }

  /**
   * Records that a node of the zone has named a version.
   *
   * @param version - the version
   * @param heldVersion - the version in force at this node
   */
  noteNamedVersion(version: number, heldVersion: number): void {
    if (version > heldVersion && this.named.version <= heldVersion) {
      this.noteFetchProgress();
    }
    if (version > this.named.version) {
      this.named = { version, atMs: this.services.clock.monotonicMs() };
    }
  }

  /** Records that a version is about to be fetched from another node, or that a part of it has arrived. */
  noteFetchProgress(): void {
    this.fetchProgressAtMs = this.services.clock.monotonicMs();
  }

  /** @param topic - the topic whose read by this node failed */
  noteReadFailure(topic: Topic): void {
    this.views[topic].failedAtMs = this.services.clock.monotonicMs();
  }

  /**
   * The rank of this node among those of its zone. A node that has not announced itself yet ranks
   * behind all others, because they can tell it what they read.
   */
  private get rank(): number {
    const { hosts } = this.currentRanking;
    const rank = hosts.indexOf(this.location.host);
    return rank < 0 ? hosts.length : rank;
  }

  /** The hosts of the zone by rank. */
  private get currentRanking(): ZoneRanking {
    const { announcements, digest } = this.services.directory;
    if (this.ranking?.digest !== digest) {
      const hosts = announcements
        .filter(({ zone }) => zone === this.location.zone)
        .sort(compareReaderPriority)
        .map((announcement) => announcement.host);
      if (hosts.length > 0 && (this.ranking?.hosts.length ?? 0) === 0) {
        this.firstAnnouncedAtMs = this.services.clock.monotonicMs();
      }
      this.ranking = { digest, hosts };
    }
    return this.ranking;
  }

  /** The time for which a fetch of a version still holds back reads of a topic, in milliseconds. */
  private fetchPatienceMs(topic: Topic): number {
    return topic === Topic.Operator
      ? Math.min(
          FETCH_PATIENCE_MS - this.ageMs(this.fetchProgressAtMs),
          MAX_FETCH_MS - this.ageMs(this.named.atMs),
        )
      : -Infinity;
  }

  private ageMs(atMs: number): number {
    return this.services.clock.monotonicMs() - atMs;
  }

  /**
   * Longer for lower ranks, so that the nodes of a zone do not all replace a lost reader at once. Counted
   * from the node that reads now, because the hosts of higher ranks may be gone for good.
   */
  private maxAgeMs(topic: Topic): number {
    const { ageStepMs, maxAgeMs } = readingPlans[topic];
    const { leader } = this.views[topic];
    const leaderRank = leader === undefined ? -1 : this.currentRanking.hosts.indexOf(leader);
    const steps = Math.max(0, this.rank - leaderRank - 1);
    return maxAgeMs + Math.min(MAX_AGE_STEPS, steps) * ageStepMs;
  }
}
