/**
 * Decides whether a node reads the store itself. If all nodes read it, every change would be sent to
 * all of them at once, and a configuration can saturate a small link for a second. Therefore only the
 * two nodes of each zone with the widest links read the store and pass its records on. If both are
 * lost, one of the other nodes takes over.
 */
import type { Announcement } from '../directory/announcement.js';
import type { Directory } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import { hash32 } from '../utils/hash.js';

/** Number of nodes of a zone that read the store; one of them may be lost without a gap. */
const READERS_PER_ZONE = 2;
/** How long a node waits for a message from a reader before it takes over, in milliseconds: three messages. */
const READER_TIMEOUT_MS = 1_600;
/** Additional wait for each lower rank, in milliseconds: one gossip round. */
const READER_TIMEOUT_STEP_MS = 300;
/** Maximum number of additional waits, however many hosts the zone has. */
const MAX_TIMEOUT_STEPS = 6;
/** How long an answer of the store counts as recent, in milliseconds; longer than a long poll lasts. */
const STORE_ANSWER_MAX_AGE_MS = 6_000;

/** Orders nodes by link bandwidth, then by a hash of the host, so that all nodes compute the same order. */
function compareReaderPriority(left: Announcement, right: Announcement): number {
  return (
    (right.linkMegabits ?? 0) - (left.linkMegabits ?? 0) ||
    hash32(left.host) - hash32(right.host) ||
    (left.host < right.host ? -1 : 1)
  );
}

/** The role of this node as a reader of the store. */
export class StoreReaderRole {
  /** When a reader of a higher rank was last heard, or when this node started. */
  private heardAtMs: number;

  private storeAnsweredAtMs = -Infinity;

  private readonly unavailableTopics = new Set<string>();

  /** The hosts of the zone by rank; recomputed when the digest of the directory changes. */
  private ranking: { readonly digest: number; readonly hosts: readonly string[] } | undefined;

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
  }

  /** Whether this node is one of the readers of its zone. */
  get isReader(): boolean {
    return this.rank < READERS_PER_ZONE;
  }

  /** Whether this node should read the store now. */
  get shouldRead(): boolean {
    return this.isReader || this.services.clock.monotonicMs() - this.heardAtMs > this.timeoutMs;
  }

  /** Whether other nodes may rely on this node for the content of the store. */
  get readsStore(): boolean {
    const isRecent =
      this.services.clock.monotonicMs() - this.storeAnsweredAtMs < STORE_ANSWER_MAX_AGE_MS;
    return this.unavailableTopics.size === 0 && this.shouldRead && isRecent;
  }

  /**
   * Records that a node of this zone reads the store. A node that has taken over yields only to nodes
   * of a higher rank, so that exactly one of several that took over remains.
   *
   * @param host - the address of its host
   */
  noteReader(host: string): void {
    if (this.rankOf(host) < this.rank) {
      this.heardAtMs = this.services.clock.monotonicMs();
    }
  }

  /**
   * Records the result of a call to the store.
   *
   * @param topic - the topic that was read
   * @param answered - whether the store answered
   */
  noteStoreResult(topic: string, answered: boolean): void {
    if (answered) {
      this.unavailableTopics.delete(topic);
      this.storeAnsweredAtMs = this.services.clock.monotonicMs();
    } else {
      this.unavailableTopics.add(topic);
    }
  }

  /** The rank of this node among those of its zone; -1 if it has not announced itself yet. */
  private get rank(): number {
    return this.rankOf(this.location.host);
  }

  /** Longer for lower ranks, so that the nodes of a zone do not all replace a lost reader at once. */
  private get timeoutMs(): number {
    const steps = Math.min(MAX_TIMEOUT_STEPS, Math.max(0, this.rank - READERS_PER_ZONE));
    return READER_TIMEOUT_MS + steps * READER_TIMEOUT_STEP_MS;
  }

  private rankOf(host: string): number {
    const { announcements, digest } = this.services.directory;
    if (this.ranking?.digest !== digest) {
      const hosts = announcements
        .filter(({ zone }) => zone === this.location.zone)
        .sort(compareReaderPriority)
        .map((announcement) => announcement.host);
      this.ranking = { digest, hosts };
    }
    return this.ranking.hosts.indexOf(host);
  }
}
