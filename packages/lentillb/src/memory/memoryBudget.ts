/** Bounds the memory that callers and backend servers can make a node hold, by the limit of its host. */
import type { Clock } from '../kernel/clock.js';
import type { BufferCollector } from './bufferCollector.js';
import { certainShares, MemoryUse, memoryUses } from './memoryUse.js';

const BYTES_PER_MEGABYTE = 1_000_000;
/** The limit where the settings state none, in bytes: that of the smallest known host. */
export const SMALLEST_LIMIT_BYTES = 178 * BYTES_PER_MEGABYTE;
/** The resident memory of a node without load, in bytes. */
const QUIET_BYTES = 62 * BYTES_PER_MEGABYTE;
/**
 * The memory that has been discarded and not yet been collected, in bytes: buffers, and what the heap and
 * the allocator keep after a peak.
 */
const GARBAGE_BYTES = 48 * BYTES_PER_MEGABYTE;
/** The smallest room, in bytes, so that a host with a smaller limit still serves some requests. */
const MIN_ROOM_BYTES = 16 * BYTES_PER_MEGABYTE;
/** The shortest time between two searches for stalled holders, in milliseconds. */
const RECLAIM_INTERVAL_MS = 20;

/** Memory that is held for a sender or a receiver, and that others may have once that one stalls. */
export interface MemoryHolder {
  readonly use: MemoryUse;
  /** Whether the other side has sent or taken nothing for so long that others may have the memory. */
  readonly isStalled: () => boolean;
  /** Refuses the request or closes the connection, which releases the memory. */
  readonly giveUp: () => void;
}

/** A demand for memory that was refused. */
export interface MemoryRefusal {
  readonly use: MemoryUse;
  /** The length of what did not fit, in bytes. */
  readonly bytes: number;
  /** What the use holds, in bytes. */
  readonly useBytes: number;
  /** What all uses hold together, in bytes. */
  readonly heldBytes: number;
  /** What all uses may hold together, in bytes. */
  readonly roomBytes: number;
  /** The limit of the host, in bytes. */
  readonly limitBytes: number;
}

/** The parts that learn of demands. */
export interface MemoryObservers {
  /** Called for each demand that is refused. */
  readonly onRefused?: (refusal: MemoryRefusal) => void;
  /** Frees discarded buffers. */
  readonly collector?: Pick<BufferCollector, 'record'>;
}

/**
 * Shares the memory of a node out among its uses. Each use has a share for certain; what is left may go
 * to any of them. Where a demand does not fit, holders that stall are given up first, the one that has
 * held longest before the others, and only if they belong to the same use or to one that holds more
 * than its share.
 */
export class MemoryBudget {
  /** What all uses may hold together, in bytes. */
  readonly roomBytes: number;

  private readonly shares: Readonly<Record<MemoryUse, number>>;

  private readonly held: Record<MemoryUse, number>;

  /** What the uses hold together; each counts its whole share. */
  private committedBytes: number;

  private readonly holders = new Set<MemoryHolder>();

  private reclaimedAtMs = -Infinity;

  /**
   * @param clock - the clock by which searches for stalled holders are limited
   * @param limitBytes - the limit of the host, in bytes
   * @param observers - the parts that learn of demands
   */
  constructor(
    private readonly clock: Pick<Clock, 'monotonicMs'>,
    readonly limitBytes: number = SMALLEST_LIMIT_BYTES,
    private readonly observers: MemoryObservers = {},
  ) {
    this.roomBytes = Math.max(MIN_ROOM_BYTES, limitBytes - QUIET_BYTES - GARBAGE_BYTES);
    const entries = memoryUses.map((use) => [use, Math.floor(certainShares[use] * this.roomBytes)]);
    this.shares = Object.fromEntries(entries) as Record<MemoryUse, number>;
    this.held = Object.fromEntries(memoryUses.map((use) => [use, 0])) as Record<MemoryUse, number>;
    this.committedBytes = memoryUses.reduce((sum, use) => sum + this.shares[use], 0);
  }

  /** What all uses hold together, in bytes. */
  get heldBytes(): number {
    return memoryUses.reduce((sum, use) => sum + this.held[use], 0);
  }

  /**
   * @param use - the use
   * @returns what it holds, in bytes
   */
  bytesOf(use: MemoryUse): number {
    return this.held[use];
  }

  /**
   * @param use - the use
   * @returns what it has for certain, in bytes
   */
  shareOf(use: MemoryUse): number {
    return this.shares[use];
  }

  /**
   * Takes memory if there is room for it. Whoever is refused must not hold it.
   *
   * @param use - the use
   * @param bytes - the length of what is to be held, in bytes
   * @returns whether it may be held
   */
  tryTake(use: MemoryUse, bytes: number): boolean {
    if (!this.fits(use, bytes) && !this.reclaim(use, bytes)) {
      this.reportRefusal(use, bytes);
      return false;
    }
    this.take(use, bytes);
    return true;
  }

  /**
   * Takes memory that is held already, or that a connection costs which has been accepted.
   *
   * @param use - the use
   * @param bytes - the length, in bytes
   */
  take(use: MemoryUse, bytes: number): void {
    const before = Math.max(this.held[use], this.shares[use]);
    this.held[use] += bytes;
    this.committedBytes += Math.max(this.held[use], this.shares[use]) - before;
  }

  /**
   * Records data that was read into buffers, whether it is held or not, so that these are freed in time.
   *
   * @param bytes - its length, in bytes
   */
  recordRead(bytes: number): void {
    const heldBytes = this.held[MemoryUse.Bodies] + this.held[MemoryUse.Answers];
    this.observers.collector?.record(bytes, heldBytes);
  }

  /**
   * Takes memory if that takes nothing from others; refuses without giving anything up.
   *
   * @param use - the use
   * @param bytes - the length of what is to be held, in bytes
   * @returns whether it may be held
   */
  tryTakeFromShare(use: MemoryUse, bytes: number): boolean {
    if (this.held[use] + bytes > this.shares[use]) {
      return false;
    }
    this.take(use, bytes);
    return true;
  }

  /**
   * Releases memory.
   *
   * @param use - the use
   * @param bytes - the length of what is not held any more, in bytes
   */
  release(use: MemoryUse, bytes: number): void {
    this.take(use, -bytes);
  }

  /**
   * Adds a holder that is given up if it stalls while others need its memory.
   *
   * @param holder - the holder
   * @returns a function that removes it
   */
  addHolder(holder: MemoryHolder): () => void {
    this.holders.add(holder);
    return () => this.holders.delete(holder);
  }

  /**
   * Reports that something was refused for the sake of the memory.
   *
   * @param use - the use
   * @param bytes - the length of what was refused, in bytes
   */
  reportRefusal(use: MemoryUse, bytes: number): void {
    const { heldBytes, limitBytes, roomBytes } = this;
    this.observers.onRefused?.({
      use,
      bytes,
      useBytes: this.held[use],
      heldBytes,
      roomBytes,
      limitBytes,
    });
  }

  private fits(use: MemoryUse, bytes: number): boolean {
    const heldAfter = this.held[use] + bytes;
    if (heldAfter <= this.shares[use]) {
      return true;
    }
    const taken = heldAfter - Math.max(this.held[use], this.shares[use]);
    return this.committedBytes + taken <= this.roomBytes;
  }

  /** Gives stalled holders up until a demand fits. */
  private reclaim(use: MemoryUse, bytes: number): boolean {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.reclaimedAtMs < RECLAIM_INTERVAL_MS) {
      return false;
    }
    this.reclaimedAtMs = nowMs;
    // A copy, because holders that are given up remove themselves.
    [...this.holders].some((holder) => {
      const mayTake = holder.use === use || this.held[holder.use] > this.shares[holder.use];
      if (mayTake && holder.isStalled()) {
        this.holders.delete(holder);
        holder.giveUp();
      }
      return this.fits(use, bytes);
    });
    return this.fits(use, bytes);
  }
}
