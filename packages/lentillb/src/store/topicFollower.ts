/** Follows one topic of the store for as long as the process runs. */
import type { Clock } from '../kernel/clock.js';
import { Deadline } from '../kernel/deadline.js';
import type { Randomness } from '../kernel/randomness.js';
import { Backoff } from '../utils/backoff.js';
import type { KeyedBatch, KeyedRecord, KeyedStore, StoreFailure, Topic } from './keyedStore.js';
import { StoreFailureKind } from './keyedStore.js';

/** How long the store holds a read without a record, in milliseconds; bounds how long a silent connection goes unnoticed. */
const LONG_POLL_MS = 3_000;
/** How long an answer may take beyond the wait, in milliseconds, before the connection counts as silent. */
const ANSWER_TIMEOUT_MS = 1_500;
/** How long a node that need not read waits before it looks again, in milliseconds. */
const ROLE_CHECK_INTERVAL_MS = 250;
/** Delays between failed calls, in milliseconds. */
const MIN_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 1_500;

/** What a follower tells its owner. */
export interface TopicListener {
  /** @param records - the newest records, oldest first */
  readonly onRecords: (records: readonly KeyedRecord[]) => void;
  /** Called when the topic was read to its end for the first time. */
  readonly onCaughtUp: () => void;
  /** Called whenever the store answered. */
  readonly onAnswered: () => void;
  /** @param failure - why a call failed */
  readonly onUnavailable: (failure: StoreFailure) => void;
  /** Called at the first success after a failure. */
  readonly onRecovered: () => void;
}

/** How a topic is followed. */
export interface FollowerOptions {
  readonly topic: Topic;
  /** How long to let records collect between two reads, in milliseconds. */
  readonly batchDelayMs: number;
  /** Whether to read now; asked again after a pause while it is not so. */
  readonly shouldRead: () => boolean;
}

/** Reads the newest records of a topic, then waits for further ones. */
export class TopicFollower {
  private nextOffset: number | undefined;

  private unavailable = false;

  private caughtUp = false;

  private stopped = false;

  private readonly backoff: Backoff;

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

  /** Follows the topic until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.services;
    while (!this.stopped) {
      if (!this.options.shouldRead()) {
        await clock.sleep(ROLE_CHECK_INTERVAL_MS);
        continue;
      }
      const read = await this.read();
      if (this.stopped) {
        return;
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

  /** Ends the loop after the call under way. */
  stop(): void {
    this.stopped = true;
  }

  private read(): ReturnType<KeyedStore['follow']> {
    const { clock, store } = this.services;
    const { topic } = this.options;
    if (this.nextOffset === undefined) {
      return store.readNewest(topic, Deadline.after(clock, ANSWER_TIMEOUT_MS));
    }
    // After an outage the first read does not wait, so that the recovery is seen at once.
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
    this.nextOffset = batch.nextOffset;
    if (batch.records.length > 0) {
      this.listener.onRecords(batch.records);
    }
    if (!this.caughtUp) {
      this.caughtUp = true;
      this.listener.onCaughtUp();
    }
  }

  private handleFailure(failure: StoreFailure): void {
    if (failure.kind === StoreFailureKind.NotRetained) {
      this.nextOffset = undefined;
      return;
    }
    if (!this.unavailable) {
      this.unavailable = true;
      this.listener.onUnavailable(failure);
    }
  }
}
