/** Keeps the record of this host in the store true. */
import { runInBackground } from '../utils/background.js';
import type { Announcement, AnnouncedBackendServer } from '../directory/announcement.js';
import { encodeAnnouncement } from '../directory/announcement.js';
import type { Directory } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import { Deadline } from '../kernel/deadline.js';
import type { Randomness } from '../kernel/randomness.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Weight } from '../observability/decisionLog.js';
import type { KeyedStore } from '../store/keyedStore.js';
import { Topic } from '../store/keyedStore.js';
import { Backoff } from '../utils/backoff.js';

/** How long changes collect before they are written, in milliseconds. */
const COLLECT_MS = 20;
/** How long one write may take, in milliseconds. */
const WRITE_MS = 1_200;
/** Delays between failed writes, in milliseconds. */
const RETRY_LEAST_MS = 150;
const RETRY_MOST_MS = 1_200;

/** Where this host is, and what it has of its own. */
export interface HostIdentity {
  readonly host: string;
  readonly zone: string;
  readonly gateAddress: string;
  readonly peerAddress: string;
  /** What its link carries, in megabits a second, where that is known. */
  readonly linkMegabits?: number;
}

/** What an announcer works with. */
export interface AnnouncerServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly store: KeyedStore;
  readonly directory: Directory;
  readonly log: DecisionLog;
}

function isSameBackendServer(
  left: AnnouncedBackendServer | undefined,
  right: AnnouncedBackendServer | undefined,
): boolean {
  return JSON.stringify(left) === JSON.stringify(right);
}

/** Announces the host of this node. */
export class Announcer {
  private own: Announcement | undefined;

  private writing = false;

  private written: Announcement | undefined;

  private started = false;

  private readonly waiters: (() => void)[] = [];

  /**
   * @param services - what it works with
   * @param identity - where this host is
   * @param backendServer - gives the state to announce
   */
  constructor(
    private readonly services: AnnouncerServices,
    private readonly identity: HostIdentity,
    private readonly backendServer: () => AnnouncedBackendServer | undefined,
  ) {}

  /** Starts announcing; earlier runs' records have been read where the store was there. */
  start(): void {
    this.started = true;
    this.update();
  }

  /** Announces what changed. */
  update(): void {
    const backendServer = this.backendServer();
    const { directory } = this.services;
    const held = directory.of(this.identity.host);
    if (!this.started || backendServer === undefined) {
      return;
    }
    if (
      held !== undefined &&
      held === this.own &&
      isSameBackendServer(held.backendServer, backendServer)
    ) {
      return;
    }
    if (
      held !== undefined &&
      this.own === undefined &&
      this.isAlreadyAnnounced(held, backendServer)
    ) {
      this.own = held;
      this.written = held;
      return;
    }
    this.own = this.next(held, backendServer);
    directory.merge(this.own);
    this.write();
  }

  /**
   * Waits until the newest announcement is in the store.
   *
   * @param timeoutMs - how long to wait at most, in milliseconds
   */
  async untilWritten(timeoutMs: number): Promise<void> {
    if (this.written === this.own) {
      return;
    }
    await new Promise<void>((resolve) => {
      const stop = this.services.clock.after(timeoutMs, resolve);
      this.waiters.push(() => {
        stop();
        resolve();
      });
    });
  }

  private isAlreadyAnnounced(held: Announcement, backendServer: AnnouncedBackendServer): boolean {
    const { gateAddress, peerAddress, zone } = this.identity;
    return (
      held.gateAddress === gateAddress &&
      held.peerAddress === peerAddress &&
      held.zone === zone &&
      isSameBackendServer(held.backendServer, backendServer)
    );
  }

  private next(
    held: Announcement | undefined,
    backendServer: AnnouncedBackendServer,
  ): Announcement {
    const incarnation =
      held !== undefined && held === this.own
        ? held.incarnation
        : Math.max((held?.incarnation ?? 0) + 1, this.services.clock.now().getTime());
    const sequence = held !== undefined && held === this.own ? held.sequence + 1 : 1;
    return { ...this.identity, incarnation, sequence, backendServer };
  }

  private write(): void {
    if (!this.writing) {
      this.writing = true;
      runInBackground(this.writeUntilDone());
    }
  }

  private async writeUntilDone(): Promise<void> {
    const { clock, randomness, store, log } = this.services;
    const backoff = new Backoff(randomness, RETRY_LEAST_MS, RETRY_MOST_MS);
    await clock.sleep(COLLECT_MS);
    while (this.written !== this.own && this.own !== undefined) {
      const announcement = this.own;
      const value = Buffer.from(encodeAnnouncement(announcement));
      const deadline = Deadline.after(clock, WRITE_MS);
      const result = await store.write(Topic.Hosts, announcement.host, value, deadline);
      if (result.isOk()) {
        this.written = announcement;
      } else {
        log.record(Weight.Notable, 'announcement-not-written', { reason: result.error.message });
        await clock.sleep(backoff.nextMs());
      }
    }
    this.writing = false;
    this.waiters.splice(0).forEach((wake) => wake());
  }
}
