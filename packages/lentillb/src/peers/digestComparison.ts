/**
 * Detects that the announcements of this node differ lastingly from those of another node. Digests
 * of nodes differ for a moment after every change, until both have learned of it. With hundreds of
 * hosts there is nearly always such a moment, so a difference at a single contact means nothing.
 */
import type { Clock } from '../kernel/clock.js';

/** How long the digest of a sender that is heard regularly must differ, in milliseconds. */
const SENDER_GRACE_MS = 800;
/** The longest pause between two messages of a sender that is heard regularly, in milliseconds. */
const MAX_SENDER_PAUSE_MS = 1_500;
/**
 * How long other nodes must hold the same different digest, in milliseconds; longer than the delay
 * between two reads of the store.
 */
const DIGEST_GRACE_MS = 2_000;
/** How long a digest or a sender that is not seen again is remembered, in milliseconds. */
const MEMORY_MS = 6_000;

interface Difference {
  readonly sinceMs: number;
  readonly seenAtMs: number;
}

function removeUnseen(differences: Map<unknown, Difference>, beforeMs: number): void {
  differences.forEach(({ seenAtMs }, key) => {
    if (seenAtMs < beforeMs) {
      differences.delete(key);
    }
  });
}

/** Compares the digests that other nodes report with the digest of this node. */
export class DigestComparison {
  private readonly bySender = new Map<string, Difference>();

  private readonly byDigest = new Map<number, Difference>();

  /** @param clock - the clock by which the duration of differences is measured */
  constructor(private readonly clock: Clock) {}

  /**
   * Records the digest that a node reported.
   *
   * @param sender - the address and port of the node
   * @param digest - its digest
   * @param ownDigest - the digest of this node
   * @returns whether the announcements have differed long enough to fetch those of the sender
   */
  differsLastingly(sender: string, digest: number, ownDigest: number): boolean {
    const nowMs = this.clock.monotonicMs();
    removeUnseen(this.bySender, nowMs - MEMORY_MS);
    removeUnseen(this.byDigest, nowMs - MEMORY_MS);
    if (digest === ownDigest) {
      this.bySender.delete(sender);
      this.byDigest.delete(digest);
      return false;
    }
    const previous = this.bySender.get(sender);
    const isRegular = previous !== undefined && nowMs - previous.seenAtMs <= MAX_SENDER_PAUSE_MS;
    const senderSinceMs = isRegular ? previous.sinceMs : nowMs;
    const digestSinceMs = this.byDigest.get(digest)?.sinceMs ?? nowMs;
    this.bySender.set(sender, { sinceMs: senderSinceMs, seenAtMs: nowMs });
    this.byDigest.set(digest, { sinceMs: digestSinceMs, seenAtMs: nowMs });
    return nowMs - senderSinceMs >= SENDER_GRACE_MS || nowMs - digestSinceMs >= DIGEST_GRACE_MS;
  }

  /**
   * Forgets the difference to a node after its announcements have been fetched.
   *
   * @param sender - the address and port of the node
   */
  reset(sender: string): void {
    this.bySender.delete(sender);
  }
}
