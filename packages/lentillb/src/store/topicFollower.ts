/** Follows one topic of the store until it is stopped, and retries failed reads. */
import type { Result } from 'ts-results-es';
import type { Clock } from '../kernel/clock.js';
import { Deadline } from '../kernel/deadline.js';
import type { Randomness } from '../kernel/randomness.js';
import { Backoff } from '../utils/backoff.js';
import type { KeyedBatch, KeyedRecord, KeyedStore, StoreFailure, Topic } from './keyedStore.js';
import { StoreFailureKind } from './keyedStore.js';

/** Wait of a long poll, in milliseconds; limits how long a silent connection goes undetected. */
const LONG_POLL_MS = 3_000;
/** Time beyond the wait, in milliseconds, after which a connection without an answer counts as silent. */
const ANSWER_TIMEOUT_MS = 1_500;
/** Interval at which a node that does not read checks whether it should, in milliseconds. */
const ROLE_CHECK_INTERVAL_MS = 250;
/** Shortest and longest delay after a failed call, in milliseconds. */
const MIN_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 1_000;

/** The callbacks of a follower. */
export interface TopicListener {
  /**
   * Called with the records of each read that returned any.
   *
   * @param records - the newest records, oldest first
   */
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /** Called once the topic has been read to its end for the first time. */
  readonly onCaughtUp: () => void;
  /** Called after every answer of the store. */
  readonly onAnswered: () => void;
  /**
   * Called when a call fails after the store was available.
   *
   * @param failure - why the call failed
   */
  readonly onUnavailable: (failure: StoreFailure) => void;
  /** Called at the first success after failed calls. */
  readonly onRecovered: () => void;
}

/** The settings of a follower. */
export interface FollowerOptions {
  readonly topic: Topic;
  /** The delay between two reads, in which records collect to one batch, in milliseconds. */
  readonly batchDelayMs: number;
  /** Returns whether to read now; called again after a pause if not. */
  readonly shouldRead: () => boolean;
  /**
   * Returns whether the newest records were unusable, so that all retained ones are read. Called
   * after each read of the newest records; by default, they are never unusable.
   */
  readonly needsHistory?: () => boolean;
}

/** Reads the newest records of a topic, then waits for new ones. */
export class TopicFollower {
  private nextOffset: number | undefined;

  private unavailable = false;

  private caughtUp = false;

  /** Whether the retained records before the newest ones are being read. */
  private readsHistory = false;

  private stopped = false;

  private restarts = 0;

  /** Resolves the wait for the current read. */
  private abandonRead: (() => void) | undefined;

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
      if (!this.options.shouldRead()) {
        await clock.sleep(ROLE_CHECK_INTERVAL_MS);
        continue;
      }
      const { restarts } = this;
      const read = await this.readUnlessRestarted();
      if (this.stopped) {
        return;
      }
      if (read === undefined || restarts !== this.restarts) {
        continue;
      }
      if (read.isErr()) {
        this.handleFailure(read.error);
        await clock.sleep(this.backoff.nextMs());
      } else {
        this.handleBatch(read.value);
        await clock.sleep(this.options.batchDelayMs);
      }
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
    this.readsHistory = false;
    this.restarts += 1;
    this.abandonRead?.();
  }

  private readUnlessRestarted(): Promise<Result<KeyedBatch, StoreFailure> | undefined> {
    const restarted = new Promise<undefined>((resolve) => {
      this.abandonRead = () => resolve(undefined);
    });
    return Promise.race([this.read(), restarted]);
  }

  private read(): Promise<Result<KeyedBatch, StoreFailure>> {
    const { clock, store } = this.services;
    const { topic } = this.options;
    if (this.nextOffset === undefined) {
      return store.readNewest(topic, Deadline.after(clock, ANSWER_TIMEOUT_MS));
    }
    // The first read after an outage does not wait, so that the recovery is detected at once.
    const waitMs = this.unavailable ? 0 : LONG_POLL_MS;
    return store.follow(
      topic,
      this.nextOffset,
      waitMs,
      Deadline.after(clock, waitMs + ANSWER_TIMEOUT_MS),
    );
  }

  private handleBatch(batch: KeyedBatch): void {
    this.backoff.reset();
    this.listener.onAnswered();
    if (this.unavailable) {
      this.unavailable = false;
      this.listener.onRecovered();
    }
    const isNewest = this.nextOffset === undefined;
    this.nextOffset = batch.nextOffset;
    if (batch.records.length > 0) {
      this.listener.onRecords(batch.records);
    }
    if (isNewest && !this.readsHistory && this.options.needsHistory?.() === true) {
      this.nextOffset = 0;
      this.readsHistory = true;
      return;
    }
    this.readsHistory = false;
    if (!this.caughtUp) {
      this.caughtUp = true;
      this.listener.onCaughtUp();
    }
  }

  private handleFailure(failure: StoreFailure): void {
    if (failure.kind === StoreFailureKind.NotRetained) {
      this.nextOffset = this.readsHistory ? failure.firstOffset : undefined;
      return;
    }
    if (!this.unavailable) {
      this.unavailable = true;
      this.listener.onUnavailable(failure);
    }
  }
}
