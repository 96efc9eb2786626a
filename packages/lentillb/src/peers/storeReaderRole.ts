/**
 * Decides whether a node reads a topic of the store itself. If all nodes read it, every change would
 * be sent to all of them at once, a configuration can saturate a small link for a second, and each
 * call to the store is charged. Therefore only the nodes of each zone with the widest links read the
 * store and pass its records on. If they are lost, one of the other nodes takes over.
 */
import type { Announcement } from '../directory/announcement.js';
import { BackendServerState } from '../directory/announcement.js';
import type { Directory } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import { Topic } from '../store/keyedStore.js';
import { hash32 } from '../utils/hash.js';

/** Number of nodes of a zone that read each topic, unless they are lost. */
const readersPerZone: Readonly<Record<Topic, number>> = {
  // One of them may be lost without delaying a configuration.
  [Topic.Operator]: 2,
  // A gate refuses what it cannot serve, so other nodes may learn of a changed host a second later.
  [Topic.Hosts]: 1,
};
/**
 * How long a node waits for the first announcement of its zone before it reads the configuration
 * from the store, in milliseconds. While a fleet starts, backend servers send their first heartbeat
 * within one heartbeat interval, and then one reader of the zone suffices.
 */
const FIRST_ANNOUNCEMENT_TIMEOUT_MS = 2_000;
/** How long a node waits for a message from a reader before it takes over, in milliseconds: three messages. */
const READER_TIMEOUT_MS = 1_600;
/** Additional wait for each lower rank, in milliseconds: one gossip round. */
const READER_TIMEOUT_STEP_MS = 300;
/** Maximum number of additional waits, however many hosts the zone has. */
const MAX_TIMEOUT_STEPS = 6;
/** How long an answer of the store counts as recent, in milliseconds; longer than a long poll lasts. */
const STORE_ANSWER_MAX_AGE_MS = 6_000;

/** A host whose backend server leaves is about to be removed. */
function isLeaving({ backendServer }: Announcement): boolean {
  return backendServer?.state === BackendServerState.Leaving;
}

/**
 * Orders nodes by link bandwidth, then by a hash of the host, so that all nodes compute the same order;
 * hosts that are about to be removed come last.
 */
function compareReaderPriority(left: Announcement, right: Announcement): number {
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

/** The role of this node as a reader of the store. */
export class StoreReaderRole {
  private readonly startedAtMs: number;

  /** When a reader of a higher rank was last heard, or when this node started. */
  private heardAtMs: number;

  private storeAnsweredAtMs = -Infinity;

  private readonly unavailableTopics = new Set<Topic>();

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
    // A starting node allows the readers of its zone the full timeout to send it a message.
    this.heardAtMs = services.clock.monotonicMs();
    this.startedAtMs = this.heardAtMs;
  }

  /**
   * @param topic - a topic of the store
   * @param host - the address of a host; by default the one of this node
   * @returns whether its node is one of the readers of this zone
   */
  isReaderOf(topic: Topic, host = this.location.host): boolean {
    const rank = this.currentRanking.hosts.indexOf(host);
    return rank >= 0 && rank < readersPerZone[topic];
  }

  /**
   * @param topic - a topic of the store
   * @returns whether this node should read the topic now
   */
  shouldRead(topic: Topic): boolean {
    const nowMs = this.services.clock.monotonicMs();
    if (this.currentRanking.hosts.length === 0) {
      return topic === Topic.Hosts || nowMs - this.startedAtMs > FIRST_ANNOUNCEMENT_TIMEOUT_MS;
    }
    return this.isReaderOf(topic) || nowMs - this.heardAtMs > this.timeoutMs(topic);
  }

  /** Whether other nodes may rely on this node for the content of the store. */
  get readsStore(): boolean {
    const isRecent =
      this.services.clock.monotonicMs() - this.storeAnsweredAtMs < STORE_ANSWER_MAX_AGE_MS;
    return this.unavailableTopics.size === 0 && this.shouldRead(Topic.Operator) && isRecent;
  }

  /**
   * Records that a node of this zone reads the store. A node that has taken over yields only to nodes
   * of a higher rank, so that exactly one of several that took over remains.
   *
   * @param host - the address of its host
   */
  noteReader(host: string): void {
    const rank = this.currentRanking.hosts.indexOf(host);
    if (rank >= 0 && rank < this.rank) {
      this.heardAtMs = this.services.clock.monotonicMs();
    }
  }

  /**
   * Records the result of a call to the store.
   *
   * @param topic - the topic that was read
   * @param answered - whether the store answered
   */
  noteStoreResult(topic: Topic, answered: boolean): void {
    if (answered) {
      this.unavailableTopics.delete(topic);
      this.storeAnsweredAtMs = this.services.clock.monotonicMs();
    } else {
      this.unavailableTopics.add(topic);
    }
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
      this.ranking = { digest, hosts };
    }
    return this.ranking;
  }

  /** Longer for lower ranks, so that the nodes of a zone do not all replace a lost reader at once. */
  private timeoutMs(topic: Topic): number {
    const steps = Math.min(MAX_TIMEOUT_STEPS, Math.max(0, this.rank - readersPerZone[topic]));
    return READER_TIMEOUT_MS + steps * READER_TIMEOUT_STEP_MS;
  }
}
