/** The interface to the platform's store of keyed records. */
import type { Result } from 'ts-results-es';
import type { Deadline } from '../kernel/deadline.js';

/** The topics of keyed records that the system reads or writes. */
export const Topic = {
  /** What operators wrote; read only. */
  Operator: 'operator',
  /** One record for each host, written by its node. */
  Hosts: 'hosts',
} as const;
export type Topic = (typeof Topic)[keyof typeof Topic];

/** A record with its key; without a value, the key was dropped. */
export interface KeyedRecord {
  readonly key: string;
  readonly value: Uint8Array | undefined;
  readonly offset: number;
}

/** Records read at once, and the offset at which reading goes on. */
export interface KeyedBatch {
  readonly records: readonly KeyedRecord[];
  readonly nextOffset: number;
}

/** Why a call to the store failed. */
export const StoreFailureKind = {
  /** Nothing was done. */
  NotExecuted: 'not-done',
  /** No answer came: the call may have been done, or may still be. */
  Unknown: 'unknown',
  /** The records asked for are no longer kept. */
  NotRetained: 'not-retained',
} as const;
export type StoreFailureKind = (typeof StoreFailureKind)[keyof typeof StoreFailureKind];

/** A call to the store that failed. */
export interface StoreFailure {
  readonly kind: StoreFailureKind;
  /** What was being done, and what went wrong. */
  readonly message: string;
}

/** The platform's store of keyed records. */
export interface KeyedStore {
  /**
   * Reads the newest record of every key.
   *
   * @param topic - the topic to read
   * @param deadline - when to give up
   * @returns the records, or why there are none
   */
  readNewest(topic: Topic, deadline: Deadline): Promise<Result<KeyedBatch, StoreFailure>>;

  /**
   * Waits for records from an offset on.
   *
   * @param topic - the topic to read
   * @param from - the first offset wanted
   * @param waitMs - how long to wait for a first record, in milliseconds
   * @param deadline - when to give up
   * @returns the records, none where the wait passed, or why they could not be read
   */
  follow(
    topic: Topic,
    from: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<KeyedBatch, StoreFailure>>;

  /**
   * Writes the record of a key.
   *
   * @param topic - the topic to write to
   * @param key - the key, at most 255 bytes
   * @param value - the content
   * @param deadline - when to give up
   * @returns the offset of the record, or why that is not known
   */
  write(
    topic: Topic,
    key: string,
    value: Uint8Array,
    deadline: Deadline,
  ): Promise<Result<number, StoreFailure>>;
}
