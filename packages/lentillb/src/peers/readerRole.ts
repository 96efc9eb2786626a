/**
 * Decides whether a node reads the store itself. Answers a load in which every change wakes every
 * reader, of a configuration that fills a small link for a second: the two nodes of each zone with
 * the widest links read, the others learn from them, and read themselves as soon as they hear from
 * neither.
 */
import type { Announcement } from '../directory/announcement.js';
import type { Directory } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import { hash32 } from '../utils/hash.js';

/** How many nodes of a zone read the store: one may be lost without a gap. */
const READERS_PER_ZONE = 2;
/** How long a node goes without hearing from a reader before it reads itself, in milliseconds. */
const UNHEARD_MS = 1_600;

function compareForReading(left: Announcement, right: Announcement): number {
  return (
    (right.linkMegabits ?? 0) - (left.linkMegabits ?? 0) ||
    hash32(left.host) - hash32(right.host) ||
    (left.host < right.host ? -1 : 1)
  );
}

/** Whether this node reads the store. */
export class ReaderRole {
  private heardAtMs: number;

  private lostTopics = new Set<string>();

  /**
   * @param services - the clock, and the hosts that are known
   * @param place - where this node is
   */
  constructor(
    private readonly services: { readonly clock: Clock; readonly directory: Directory },
    private readonly place: { readonly host: string; readonly zone: string },
  ) {
    // A node that starts gives the readers of its zone the time to greet it.
    this.heardAtMs = services.clock.monotonicMs();
  }

  /** Whether this node is one of the readers of its zone. */
  get isReader(): boolean {
    const rank = this.services.directory.announcements
      .filter(({ zone }) => zone === this.place.zone)
      .sort(compareForReading)
      .findIndex(({ host }) => host === this.place.host);
    return rank < 0 || rank < READERS_PER_ZONE;
  }

  /** Whether this node should read the store now. */
  get shouldRead(): boolean {
    return this.isReader || this.services.clock.monotonicMs() - this.heardAtMs > UNHEARD_MS;
  }

  /** Whether others may rely on this node for what is in the store. */
  get readsStore(): boolean {
    return this.lostTopics.size === 0 && this.isReader;
  }

  /** Notes that a reader of this zone was heard. */
  hearReader(): void {
    this.heardAtMs = this.services.clock.monotonicMs();
  }

  /**
   * Notes whether the store answers.
   *
   * @param topic - what was read
   * @param answers - whether the store answered
   */
  noteStore(topic: string, answers: boolean): void {
    if (answers) {
      this.lostTopics.delete(topic);
    } else {
      this.lostTopics.add(topic);
    }
  }
}
