/** Follows one topic of the store until it is stopped, and retries failed reads. */
import type { Clock } from '../kernel/clock.js';
import { Deadline } from '../kernel/deadline.js';
import type { Randomness } from '../kernel/randomness.js';
import { Backoff } from '../utils/backoff.js';
import { TransferProgress } from '../utils/transferProgress.js';
import type { KeyedBatch, KeyedRecord, KeyedStore, StoreFailure, Topic } from './keyedStore.js';
import { StoreFailureKind } from './keyedStore.js';

/** Time beyond the wait, in milliseconds, after which a connection without an answer counts as silent. */
const ANSWER_TIMEOUT_MS = 1_500;
/** Shortest wait for the time of a read, in milliseconds. */
const MIN_SLEEP_MS = 1;
/** Longest interval at which a node that does not read checks whether it should, in milliseconds. */
const ROLE_CHECK_INTERVAL_MS = 250;
/**
 * The time without a byte after which another read of a view that is too old is sent beside the first
 * one, in milliseconds. Doubles with each further one, because the store may be slow.
 */
const MIN_PATIENCE_MS = 250;
const MAX_PATIENCE_MS = 1_000;
/** The time after which another read is sent although bytes of the first one arrive, in milliseconds. */
const MAX_ARRIVAL_MS = 10_000;
/** Maximum number of reads under way; the oldest one is cancelled when another one is sent. */
const MAX_READS_UNDER_WAY = 2;
/** Shortest time between two reads, in milliseconds, against a store that does not wait for records. */
const MIN_READ_INTERVAL_MS = 100;
/** Shortest and longest delay after a failed call, in milliseconds. */
const MIN_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 1_000;

/** The callbacks of a follower. */
export interface TopicListener {
  /**
   * Called with the records of each read that returned any.
   *
   * @param records - the newest records, oldest first
   * @param progress - the answer that held them
   */
  readonly onRecords: (records: readonly KeyedRecord[], progress: TransferProgress) => void;
  /** Called once the topic has been read to its end for the first time. */
  readonly onCaughtUp: () => void;
  /**
   * Called after every answer of the store, once its records have been passed on.
   *
   * @param currentAtMs - a time at which the store had no later records, in milliseconds of the
   *   monotonic clock; -Infinity if it has
   * @param recordCount - the number of records in the answer
   */
  readonly onAnswered: (currentAtMs: number, recordCount: number) => void;
  /**
   * Called when a call fails.
   *
   * @param failure - why the call failed
   * @param isFirst - whether the store was available before
   */
  readonly onFailed: (failure: StoreFailure, isFirst: boolean) => void;
  /**
   * Called when a read is left waiting and another one is sent, because the known content is too old
   * and no byte arrives.
   *
   * @param progress - the answer that the read waits for
   * @param overdueReads - the number of reads in a row that were left waiting
   */
  readonly onOverdue: (progress: TransferProgress, overdueReads: number) => void;
  /**
   * Called when a read is cancelled because another node has read the topic meanwhile.
   *
   * @param progress - the answer, of which a part has arrived
   */
  readonly onSuperseded: (progress: TransferProgress) => void;
  /** Called at the first success after failed calls. */
  readonly onRecovered: () => void;
}

/** The ways in which the wait for a read can end before its answer. */
const WaitEnd = { Overdue: 'overdue', Superseded: 'superseded' } as const;
type WaitEnd = (typeof WaitEnd)[keyof typeof WaitEnd];

/** Decides when a node reads a topic. All times are in milliseconds. */
export interface ReadSchedule {
  /** Returns the time until the next read; not above 0 to read now. */
  readonly untilReadMs: () => number;
  /** Returns the time until the known content of the topic is too old; not above 0 if it is. */
  readonly untilOutdatedMs: () => number;
  /** Returns how long a read waits for a first record. */
  readonly pollMs: () => number;
  /** Returns the age of the known content of the topic. */
  readonly ageMs: () => number;
  /** Returns whether another node has read the topic recently, so that this one need not. */
  readonly isReadElsewhere: () => boolean;
}

/** The settings of a follower. */
export interface FollowerOptions {
  readonly topic: Topic;
  /** Longest delay after a read with records, in which more of them collect, in milliseconds. */
  readonly batchDelayMs: number;
  /**
   * The age of the known content up to which a follower continues from it, in milliseconds. After that
   * it reads the newest records only. By default, it always continues.
   */
  readonly maxResumeMs?: number;
  /**
   * Whether only the newest record of each key is needed. A follower that is behind then skips the
   * records between. By default, all are read.
   */
  readonly newestOnly?: boolean;
  readonly schedule: ReadSchedule;
  /**
   * Returns whether the newest records were unusable, so that those before them are read that have not
   * been read yet. Called after each read of the newest records; by default, they are never unusable.
   */
  readonly needsHistory?: () => boolean;
}

/** Reads the newest records of a topic, then waits for new ones. */
export class TopicFollower {
  private nextOffset: number | undefined;

  /** The offset before which all records have been read or were not needed. */
  private handledOffset = 0;

  private unavailable = false;

  private caughtUp = false;

  private readonly readsUnderWay = new Set<TransferProgress>();

  private receivedBytes = 0;

  /** Whether the retained records before the newest ones are being read. */
  private readsHistory = false;

  private stopped = false;

  private restarts = 0;

  /** Resolves the wait for the current read. */
  private abandonRead: (() => void) | undefined;

  /** The number of reads in a row that were left waiting because the known content was too old. */
  private overdueReads = 0;

  /** The time at which the last read that was answered had been sent. */
  private answeredReadSentAtMs = -Infinity;

  private readonly backoff: Backoff;

  /**
   * @param services - the clock, the source of randomness and the store
   * @param options - the settings of the follower
   * @param listener - the callbacks of the follower
   */
  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly randomness: Randomness;
      readonly store: KeyedStore;
    },
    private readonly options: FollowerOptions,
    private readonly listener: TopicListener,
  ) {
    this.backoff = new Backoff(services.randomness, MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
  }

  /** Follows the topic until `stop` is called. */
  async run(): Promise<void> {
    const { clock } = this.services;
    while (!this.stopped) {
      const untilReadMs = this.options.schedule.untilReadMs();
      await (untilReadMs > 0
        ? clock.sleep(Math.min(ROLE_CHECK_INTERVAL_MS, Math.max(MIN_SLEEP_MS, untilReadMs)))
        : this.readOnce());
    }
  }

  /** The number of reads under way, with those that were left waiting. */
  get underWay(): number {
    return this.readsUnderWay.size;
  }

  /** The bytes of all answers to reads that have ended. */
  get totalBytes(): number {
    return this.receivedBytes;
  }

  /** The offset before which all records have been read or were not needed. */
  get position(): number {
    return this.handledOffset;
  }

  /**
   * Skips records that need not be read, because another node has read them and this one has what they say.
   *
   * @param offset - the offset of the first record that may be needed
   */
  skipTo(offset: number): void {
    if (offset > this.handledOffset) {
      this.handledOffset = offset;
      this.nextOffset = Math.max(this.nextOffset ?? 0, offset);
    }
  }

  /** Ends the loop after the current call. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Reads the topic from its newest records on. Offsets known so far are void, and the answer to a
   * read in flight is ignored.
   */
  restart(): void {
    this.nextOffset = undefined;
    this.handledOffset = 0;
    this.readsHistory = false;
    this.restarts += 1;
    this.abandonRead?.();
  }

  /**
   * Reads once and waits before the next read. If the known content becomes too old meanwhile and no
   * byte arrives, returns early, so that another read is sent on another connection; the answer still
   * counts if it comes. A long answer is cancelled once another node has read the topic.
   */
  private async readOnce(): Promise<void> {
    const { clock } = this.services;
    const progress = new TransferProgress(clock);
    this.cancelOldest();
    const restarted = new Promise<undefined>((resolve) => {
      this.abandonRead = () => resolve(undefined);
    });
    const ended = new AbortController();
    const waitEnd = this.waitForEnd(progress, ended.signal);
    const outcome = await Promise.race([this.read(progress), restarted, waitEnd]);
    ended.abort();
    if (outcome === undefined || this.stopped) {
      return;
    }
    if (typeof outcome === 'string') {
      this.waitEndHandlers[outcome](progress);
      return;
    }
    await clock.sleep(Math.max(outcome.delayMs, MIN_READ_INTERVAL_MS - progress.durationMs));
  }

  private readonly waitEndHandlers: Readonly<
    Record<WaitEnd, (progress: TransferProgress) => void>
  > = {
    [WaitEnd.Overdue]: (progress) => {
      this.overdueReads += 1;
      this.listener.onOverdue(progress, this.overdueReads);
    },
    [WaitEnd.Superseded]: (progress) => {
      progress.cancel();
      this.listener.onSuperseded(progress);
    },
  };

  /**
   * Resolves once the known content is too old and a read has been silent for some time, or once
   * another node has read the topic while a long answer arrives.
   */
  private async waitForEnd(progress: TransferProgress, ended: AbortSignal): Promise<WaitEnd> {
    const { clock } = this.services;
    const { schedule } = this.options;
    const patienceMs = Math.min(MAX_PATIENCE_MS, MIN_PATIENCE_MS * 2 ** this.overdueReads);
    while (!ended.aborted) {
      if (progress.bytes > 0 && schedule.isReadElsewhere()) {
        return WaitEnd.Superseded;
      }
      const untilLateMs = Math.min(
        patienceMs - progress.silentMs,
        MAX_ARRIVAL_MS - progress.durationMs,
      );
      const untilOverdueMs = Math.max(untilLateMs, schedule.untilOutdatedMs());
      if (untilOverdueMs <= 0) {
        break;
      }
      const sleepMs = Math.min(ROLE_CHECK_INTERVAL_MS, untilOverdueMs);
      await clock.sleep(Math.max(MIN_SLEEP_MS, sleepMs), ended);
    }
    return WaitEnd.Overdue;
  }

  /** Cancels the oldest read if a further one would exceed their maximum number. */
  private cancelOldest(): void {
    const [oldest] = this.readsUnderWay;
    if (oldest !== undefined && this.readsUnderWay.size >= MAX_READS_UNDER_WAY) {
      oldest.cancel();
      this.readsUnderWay.delete(oldest);
    }
  }

  /** Reads and handles the answer. Returns the delay before the next read; undefined if it is void. */
  private async read(
    progress: TransferProgress,
  ): Promise<{ readonly delayMs: number } | undefined> {
    const { clock, store } = this.services;
    const { schedule, topic } = this.options;
    const sentAtMs = clock.monotonicMs();
    if (schedule.ageMs() > (this.options.maxResumeMs ?? Infinity)) {
      this.nextOffset = undefined;
    }
    const { nextOffset: from, restarts } = this;
    // The first read after an outage does not wait, so that the recovery is detected at once.
    const waitMs = this.unavailable || from === undefined ? 0 : schedule.pollMs();
    const deadline = Deadline.after(clock, waitMs + ANSWER_TIMEOUT_MS);
    this.readsUnderWay.add(progress);
    const read = await (from === undefined
      ? store.readNewest(topic, deadline, progress)
      : store.follow(topic, from, waitMs, deadline, progress));
    this.readsUnderWay.delete(progress);
    this.receivedBytes += progress.bytes;
    if (this.stopped || progress.isCancelled || restarts !== this.restarts) {
      return undefined;
    }
    if (read.isErr()) {
      // A read that was left waiting says nothing if a later one has been answered.
      if (sentAtMs >= this.answeredReadSentAtMs) {
        this.handleFailure(read.error);
      }
      return { delayMs: this.backoff.nextMs() };
    }
    const isNewest = from === undefined;
    const isEmpty = read.value.records.length === 0;
    this.overdueReads = 0;
    this.answeredReadSentAtMs = sentAtMs;
    // An empty answer that comes before the wait has passed proves no more than one with records.
    const hasWaited = isEmpty && clock.monotonicMs() >= sentAtMs + waitMs;
    this.handleBatch(read.value, {
      isNewest,
      currentAtMs: sentAtMs + (hasWaited ? waitMs : 0),
      progress,
    });
    // While a fleet starts, the read after the first one returns the records of many hosts at once.
    const collects = (isNewest || !isEmpty) && !read.value.hasMore;
    return { delayMs: collects ? Math.min(this.options.batchDelayMs, schedule.pollMs()) : 0 };
  }

  private handleBatch(
    batch: KeyedBatch,
    {
      currentAtMs,
      isNewest,
      progress,
    }: {
      readonly isNewest: boolean;
      readonly currentAtMs: number;
      readonly progress: TransferProgress;
    },
  ): void {
    this.backoff.reset();
    if (this.unavailable) {
      this.unavailable = false;
      this.listener.onRecovered();
    }
    // Another read may have been answered meanwhile.
    this.nextOffset = Math.max(this.nextOffset ?? 0, batch.nextOffset);
    if (batch.hasMore && this.options.newestOnly === true && !this.readsHistory) {
      this.nextOffset = undefined;
    }
    if (batch.records.length > 0) {
      this.listener.onRecords(batch.records, progress);
    }
    this.listener.onAnswered(batch.hasMore ? -Infinity : currentAtMs, batch.records.length);
    const isUnread = this.handledOffset < batch.nextOffset;
    if (isNewest && isUnread && !this.readsHistory && this.options.needsHistory?.() === true) {
      this.nextOffset = this.handledOffset;
      this.readsHistory = true;
      return;
    }
    this.handledOffset = Math.max(this.handledOffset, batch.nextOffset);
    this.readsHistory &&= batch.hasMore;
    if (!this.caughtUp && !batch.hasMore) {
      this.caughtUp = true;
      this.listener.onCaughtUp();
    }
  }

  private handleFailure(failure: StoreFailure): void {
    if (failure.kind === StoreFailureKind.NotRetained) {
      this.nextOffset = this.readsHistory ? failure.firstOffset : undefined;
      return;
    }
    this.listener.onFailed(failure, !this.unavailable);
    this.unavailable = true;
  }
}
