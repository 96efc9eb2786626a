/** Keeps the announcement of this host in the store up to date. */
import { runInBackground } from '../utils/background.js';
import type {
  AnnouncedBackendServer,
  AnnouncedInterruptedRun,
  Announcement,
} from '../directory/announcement.js';
import { encodeAnnouncement } from '../directory/announcement.js';
import type { Directory } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import { Deadline } from '../kernel/deadline.js';
import type { Randomness } from '../kernel/randomness.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { KeyedStore } from '../store/keyedStore.js';
import { Topic } from '../store/keyedStore.js';
import type { StoreEraTracker } from '../store/storeEraTracker.js';
import { Backoff } from '../utils/backoff.js';

/** Delay before a write, in which several changes collect to one record, in milliseconds. */
const BATCH_DELAY_MS = 20;
/**
 * The time over which the nodes spread their writes after the store went back to an older copy, in
 * milliseconds.
 */
const RESTORE_SPREAD_MS = 300;
/** Timeout of one write, in milliseconds. */
const WRITE_TIMEOUT_MS = 1_200;
/** Shortest and longest delay after a failed write, in milliseconds. */
const MIN_RETRY_DELAY_MS = 150;
const MAX_RETRY_DELAY_MS = 1_200;

/** The addresses and properties of this host. */
export interface HostIdentity {
  readonly host: string;
  readonly zone: string;
  readonly gateAddress: string;
  readonly peerAddress: string;
  /** The bandwidth of the host's link in megabits per second, if known. */
  readonly linkMegabits?: number;
}

/** The services that an announcer depends on. */
export interface AnnouncerServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly store: KeyedStore;
  readonly directory: Directory;
  readonly log: DecisionLog;
  readonly era: StoreEraTracker;
}

/** What a node announces of its host, beside its identity. */
export interface HostState {
  readonly backendServer: AnnouncedBackendServer;
  readonly interruptedRuns: readonly AnnouncedInterruptedRun[];
}

function isSameState(known: Announcement, { backendServer, interruptedRuns }: HostState): boolean {
  return (
    JSON.stringify(known.backendServer) === JSON.stringify(backendServer) &&
    JSON.stringify(known.interruptedRuns ?? []) === JSON.stringify(interruptedRuns)
  );
}

/** Announces the host of this node in the directory and in the store. */
export class StoreAnnouncer {
  private currentAnnouncement: Announcement | undefined;

  private writing = false;

  private writtenAnnouncement: Announcement | undefined;

  private started = false;

  private readonly writeListeners: (() => void)[] = [];

  /**
   * @param services - the services that the announcer depends on
   * @param identity - the addresses and properties of this host
   * @param hostState - returns the state to announce; undefined before the first heartbeat
   * @param isStored - returns whether an announcement of an earlier run has been read from the store;
   *   another node may know a newer one than the store
   */
  constructor(
    private readonly services: AnnouncerServices,
    private readonly identity: HostIdentity,
    private readonly hostState: () => HostState | undefined,
    private readonly isStored: (announcement: Announcement) => boolean,
  ) {
    services.era.subscribe((era) => this.writeAgain(era));
  }

  /** Starts announcing. By then, the records of earlier runs have been read if the store was available. */
  start(): void {
    this.started = true;
    this.update();
  }

  /** Announces the state of the host if it changed. */
  update(): void {
    const state = this.hostState();
    const { directory } = this.services;
    const known = directory.announcementOf(this.identity.host);
    if (!this.started) {
      return;
    }
    if (state === undefined) {
      this.keepEarlierAnnouncement(known);
      return;
    }
    if (known !== undefined && known === this.currentAnnouncement && isSameState(known, state)) {
      return;
    }
    if (
      known !== undefined &&
      this.currentAnnouncement === undefined &&
      this.isAlreadyAnnounced(known, state)
    ) {
      this.keepEarlierAnnouncement(known);
      return;
    }
    this.currentAnnouncement = this.nextAnnouncement(known, state);
    directory.merge(this.currentAnnouncement);
    this.startWriting(BATCH_DELAY_MS);
  }

  /** Writes the announcement again, because the store may have lost it. */
  private writeAgain(era: number): void {
    if (this.currentAnnouncement === undefined) {
      return;
    }
    const { log, randomness } = this.services;
    log.record(Importance.Notable, 'announcement-written-again', { era });
    this.writtenAnnouncement = undefined;
    this.startWriting(RESTORE_SPREAD_MS * randomness.fraction());
  }

  /**
   * Waits until the newest announcement has been written to the store.
   *
   * @param timeoutMs - the maximum wait, in milliseconds
   */
  async untilWritten(timeoutMs: number): Promise<void> {
    if (this.writtenAnnouncement === this.currentAnnouncement) {
      return;
    }
    await new Promise<void>((resolve) => {
      const cancelTimeout = this.services.clock.after(timeoutMs, resolve);
      this.writeListeners.push(() => {
        cancelTimeout();
        resolve();
      });
    });
  }

  /** Keeps what an earlier run of this node announced, and writes it if the store does not have it. */
  private keepEarlierAnnouncement(known: Announcement | undefined): void {
    if (known === undefined || this.currentAnnouncement !== undefined) {
      return;
    }
    this.currentAnnouncement = known;
    if (this.isStored(known)) {
      this.writtenAnnouncement = known;
    } else {
      this.startWriting(BATCH_DELAY_MS);
    }
  }

  private isAlreadyAnnounced(known: Announcement, state: HostState): boolean {
    const { gateAddress, peerAddress, zone } = this.identity;
    return (
      known.gateAddress === gateAddress &&
      known.peerAddress === peerAddress &&
      known.zone === zone &&
      isSameState(known, state)
    );
  }

  private nextAnnouncement(
    known: Announcement | undefined,
    { backendServer, interruptedRuns }: HostState,
  ): Announcement {
    const incarnation =
      known !== undefined && known === this.currentAnnouncement
        ? known.incarnation
        : Math.max((known?.incarnation ?? 0) + 1, this.services.clock.now().getTime());
    const sequence =
      known !== undefined && known === this.currentAnnouncement ? known.sequence + 1 : 1;
    return {
      ...this.identity,
      incarnation,
      sequence,
      backendServer,
      ...(interruptedRuns.length > 0 ? { interruptedRuns: [...interruptedRuns] } : {}),
    };
  }

  private startWriting(delayMs: number): void {
    if (!this.writing) {
      this.writing = true;
      runInBackground(this.writeUntilDone(delayMs));
    }
  }

  private async writeUntilDone(delayMs: number): Promise<void> {
    const { clock, era, randomness, store, log } = this.services;
    const backoff = new Backoff(randomness, MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
    await clock.sleep(delayMs);
    while (
      this.writtenAnnouncement !== this.currentAnnouncement &&
      this.currentAnnouncement !== undefined
    ) {
      const announcement = this.currentAnnouncement;
      const value = Buffer.from(encodeAnnouncement(announcement));
      const deadline = Deadline.after(clock, WRITE_TIMEOUT_MS);
      const result = await store.write(Topic.Hosts, announcement.host, value, deadline);
      if (result.isOk()) {
        const isCurrentEra = (result.value.era ?? era.current) === era.current;
        this.writtenAnnouncement = isCurrentEra ? announcement : undefined;
      } else {
        log.record(Importance.Notable, 'announcement-not-written', {
          reason: result.error.message,
        });
        await clock.sleep(backoff.nextMs());
      }
    }
    this.writing = false;
    this.writeListeners.splice(0).forEach((notify) => notify());
  }
}
