/** Defines the interface to the platform's store of keyed records. */
import type { Result } from 'ts-results-es';
import type { Deadline } from '../kernel/deadline.js';
import type { TransferProgress } from '../utils/transferProgress.js';

/** The topics that nodes read or write. */
export const Topic = {
  /** The records that operators write; nodes only read them. */
  Operator: 'operator',
  /** The announcements, one record for each host, written by its node. */
  Hosts: 'hosts',
} as const;
export type Topic = (typeof Topic)[keyof typeof Topic];

/** A record with its key. The value is undefined if the key was deleted. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | undefined;
  readonly offset: number;
}

/**
 * The era of the store in an answer; it rises each time the store continues from an older copy of
 * its records. Undefined if the answer does not name it.
 */
export type StoreEra = number | undefined;

/** The records of one read, and the offset at which the next read continues. */
export interface KeyedBatch {
  readonly records: readonly KeyedRecord[];
  readonly nextOffset: number;
  /** Whether the topic had records from `nextOffset` on when it was read. */
  readonly hasMore: boolean;
  readonly era: StoreEra;
}

/** The result of a write. */
export interface WrittenRecord {
  readonly offset: number;
  readonly era: StoreEra;
}

/** The kinds of failed calls to the store. */
export const StoreFailureKind = {
  /** The store did not execute the call. */
  NotExecuted: 'not-done',
  /** No answer arrived: the store may have executed the call, or may still execute it. */
  Unknown: 'unknown',
  /** The store does not have the requested records, or no longer retains them. */
  NotRetained: 'not-retained',
  /** The condition of a write did not hold, so that the store did not execute it. */
  Moved: 'moved',
  /** The answer is from before the store continued from an older copy, so it is no longer true. */
  EarlierEra: 'earlier-era',
} as const;
export type StoreFailureKind = (typeof StoreFailureKind)[keyof typeof StoreFailureKind];

/** A failed call to the store. */
export interface StoreFailure {
  readonly kind: StoreFailureKind;
  /** Names the call and what went wrong. */
  readonly message: string;
  readonly era?: StoreEra;
  /** The offset of the first retained record, if the store names it when a record is not retained. */
  readonly firstOffset?: number;
}

/** The platform's store of keyed records. */
export interface KeyedStore {
  /**
   * Reads the newest record of every key.
   *
   * @param topic - the topic to read
   * @param deadline - the deadline of the call
   * @param progress - tracks the answer, by default not at all
   * @returns the records, or why they could not be read
   */
  readNewest(
    topic: Topic,
    deadline: Deadline,
    progress?: TransferProgress,
  ): Promise<Result<KeyedBatch, StoreFailure>>;

  /**
   * Reads records from an offset on, and waits for the first one if there is none yet.
   *
   * @param topic - the topic to read
   * @param from - the offset of the first record to read
   * @param waitMs - how long to wait for a first record, in milliseconds
   * @param deadline - the deadline of the call
   * @param progress - tracks the answer, by default not at all
   * @returns the records, none if the wait passed, or why they could not be read
   */
  follow(
    topic: Topic,
    from: number,
    waitMs: number,
    deadline: Deadline,
    progress?: TransferProgress,
  ): Promise<Result<KeyedBatch, StoreFailure>>;

  /**
   * Writes the record of a key.
   *
   * @param topic - the topic to write to
   * @param key - the key, at most 255 bytes
   * @param value - the content of the record
   * @param deadline - the deadline of the call
   * @returns the offset of the record and the era, or why they are not known
   */
  write(
    topic: Topic,
    key: string,
    value: Uint8Array,
    deadline: Deadline,
  ): Promise<Result<WrittenRecord, StoreFailure>>;
}

/** The topic with the records by which nodes report to the operator. */
export interface StatusStore {
  /**
   * Reads the newest record of every key.
   *
   * @param deadline - the deadline of the call
   * @returns the records and the end of the topic, or why they could not be read
   */
  readStatus(deadline: Deadline): Promise<Result<KeyedBatch, StoreFailure>>;

  /**
   * Writes the record of a key, on condition that no other record has been written since the topic was read.
   *
   * @param key - the key, at most 255 bytes
   * @param value - the content of the record
   * @param at - the end of the topic when it was read
   * @param deadline - the deadline of the call
   * @returns the offset of the record and the era, or why they are not known; `Moved` if the end has moved
   */
  writeStatus(
    key: string,
    value: Uint8Array,
    at: number,
    deadline: Deadline,
  ): Promise<Result<WrittenRecord, StoreFailure>>;
}
