/**
 * Decides whether a node reads the store itself. Answers a load in which every change wakes every
 * reader, of a configuration that fills a small link for a second: the two nodes of each zone with
 * the widest links read, the others learn from them, and one of them reads in their place where
 * both are lost.
 */
import type { Announcement } from '../directory/announcement.js';
import type { Directory } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import { hash32 } from '../utils/hash.js';

/** How many nodes of a zone read the store: one may be lost without a gap. */
const READERS_PER_ZONE = 2;
/** How long a node goes without hearing from a reader before it reads itself, in milliseconds: three greetings. */
const READER_TIMEOUT_MS = 1_600;
/** How much longer each further node of the rank waits, in milliseconds: a round of greetings. */
const READER_TIMEOUT_STEP_MS = 300;
/** No node waits longer than so many steps, however many hosts its zone has. */
const MAX_TIMEOUT_STEPS = 6;
/** How long an answer of the store counts, in milliseconds: longer than it holds a read. */
const STORE_ANSWER_MAX_AGE_MS = 6_000;

function compareReaderPriority(left: Announcement, right: Announcement): number {
  return (
    (right.linkMegabits ?? 0) - (left.linkMegabits ?? 0) ||
    hash32(left.host) - hash32(right.host) ||
    (left.host < right.host ? -1 : 1)
  );
}

/** Whether this node reads the store. */
export class ReaderRole {
  private heardAtMs: number;

  private storeAnsweredAtMs = -Infinity;

  private readonly unavailableTopics = new Set<string>();

  private ranking: { readonly digest: number; readonly hosts: readonly string[] } | undefined;

  /**
   * @param services - the clock, and the hosts that are known
   * @param location - where this node is
   */
  constructor(
    private readonly services: { readonly clock: Clock; readonly directory: Directory },
    private readonly location: { readonly host: string; readonly zone: string },
  ) {
    // A node that starts gives the readers of its zone the time to greet it.
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

  /** Whether others may rely on this node for what is in the store. */
  get readsStore(): boolean {
    const isRecent =
      this.services.clock.monotonicMs() - this.storeAnsweredAtMs < STORE_ANSWER_MAX_AGE_MS;
    return this.unavailableTopics.size === 0 && this.shouldRead && isRecent;
  }

  /**
   * Notes that a node of this zone reads the store. One that takes the place of lost readers gives
   * way to those before it only, so that one of them is left.
   *
   * @param host - the address of its host
   */
  noteReader(host: string): void {
    if (this.rankOf(host) < this.rank) {
      this.heardAtMs = this.services.clock.monotonicMs();
    }
  }

  /**
   * Notes whether the store answers.
   *
   * @param topic - what was read
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

  /** The place of this node among those of its zone; -1 where it has not announced itself. */
  private get rank(): number {
    return this.rankOf(this.location.host);
  }

  /** One after the other, so that a lost reader is not replaced by a whole zone. */
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
