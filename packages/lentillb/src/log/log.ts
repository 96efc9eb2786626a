/** Defines the interface to the platform's append-only log. */
import type { Result } from 'ts-results-es';
import type { Deadline } from '../kernel/deadline.js';

/** The streams that lentillb keeps in the log. */
export const LogStream = { Configuration: 'configuration', Presence: 'presence' } as const;
export type LogStream = (typeof LogStream)[keyof typeof LogStream];

/** The offset of the first record ever appended to a stream. */
export const FIRST_OFFSET = 1;

/** A record of a stream. Consecutive records have consecutive offsets. */
export interface LogRecord {
  readonly offset: number;
  /** The time at which the platform accepted the record, by its own clock. */
  readonly appendedAt: Date;
  readonly data: Uint8Array;
}

/** The range of offsets that a stream still holds. */
export interface LogRange {
  /** The offset of the oldest record that is still readable. */
  readonly earliest: number;
  /** The offset that the next record will get. */
  readonly next: number;
  /** The time for which the platform keeps a record, in milliseconds. */
  readonly retentionMs: number;
}

/** Records from one read, with the range of the stream at that time. */
export interface LogBatch {
  readonly records: readonly LogRecord[];
  readonly range: LogRange;
}

/** The reasons why an operation on the log can fail. */
export const LogFailureKind = {
  /** The operation had no effect and may be retried. */
  Unavailable: 'unavailable',
  /** The request was sent without a valid response: an append may have taken effect or still will. */
  UnknownEffect: 'unknown-effect',
  /** The requested offset is older than the earliest one that the log still holds. */
  NotRetained: 'not-retained',
  /** The log refused the request; a retry would be refused too. */
  Refused: 'refused',
} as const;
export type LogFailureKind = (typeof LogFailureKind)[keyof typeof LogFailureKind];

/** A failed operation on the log. */
export interface LogFailure {
  readonly kind: LogFailureKind;
  /** Which operation failed, on which stream, and what to do next. */
  readonly message: string;
  /** The range that can still be read; set if the requested offset is not retained. */
  readonly range?: LogRange;
}

/** Selects the records to read. */
export interface ReadRequest {
  readonly stream: LogStream;
  /** The offset to read from. */
  readonly from: number;
  /** The maximum number of records to return. */
  readonly limit: number;
  /** The time that the log may wait for a first record, in milliseconds. */
  readonly waitMs: number;
}

/** The platform's append-only log. */
export interface Log {
  /**
   * Appends a record.
   *
   * @param stream - the stream to append to
   * @param data - the content of the record
   * @param deadline - when to give up
   * @returns the offset of the record, or why the append failed or its effect is unknown
   */
  append(
    stream: LogStream,
    data: Uint8Array,
    deadline: Deadline,
  ): Promise<Result<number, LogFailure>>;

  /**
   * Reads records in order, and waits for one if there is none yet.
   *
   * @param request - the records to read
   * @param deadline - when to give up
   * @param signal - aborts the read
   * @returns the records, or why they could not be read; no records if the wait passed without one
   */
  read(
    request: ReadRequest,
    deadline: Deadline,
    signal?: AbortSignal,
  ): Promise<Result<LogBatch, LogFailure>>;

  /**
   * @param stream - the stream to query
   * @param deadline - when to give up
   * @returns the range of offsets that the stream still holds
   */
  range(stream: LogStream, deadline: Deadline): Promise<Result<LogRange, LogFailure>>;

  /** Closes the connections to the log. */
  close(): Promise<void>;
}
