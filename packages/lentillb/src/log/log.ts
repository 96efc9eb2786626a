/** The interface to the platform's append-only log. */
import type { Result } from 'ts-results-es';
import type { Deadline } from '../kernel/deadline.js';

/** The streams this system keeps in the log. */
export const LogStream = { Configuration: 'configuration', Presence: 'presence' } as const;
export type LogStream = (typeof LogStream)[keyof typeof LogStream];

/** The offset of the first record ever appended to a stream. */
export const FIRST_OFFSET = 1;

/** One record of a stream. Offsets of a stream rise by one from record to record. */
export interface LogRecord {
  readonly offset: number;
  /** When the platform took the record, by the platform's clock. */
  readonly appendedAt: Date;
  readonly data: Uint8Array;
}

/** What a stream still holds. */
export interface LogRange {
  /** The offset of the oldest record that is still readable. */
  readonly earliest: number;
  /** The offset the next record will get. */
  readonly next: number;
  /** How long the platform keeps a record, in milliseconds. */
  readonly retentionMs: number;
}

/** Records read at once, with the range of the stream at that time. */
export interface LogBatch {
  readonly records: readonly LogRecord[];
  readonly range: LogRange;
}

/** Why an operation on the log failed. */
export const LogFailureKind = {
  /** Nothing was done; it may be tried again. */
  Unavailable: 'unavailable',
  /** The request was sent and no answer came: an append may have taken effect, now or later. */
  UnknownEffect: 'unknown-effect',
  /** The offset asked for is older than what the log still holds. */
  NotRetained: 'not-retained',
  /** The log refused the request for good. */
  Refused: 'refused',
} as const;
export type LogFailureKind = (typeof LogFailureKind)[keyof typeof LogFailureKind];

/** A failed operation on the log. */
export interface LogFailure {
  readonly kind: LogFailureKind;
  /** What was being done, to what, and what to do next. */
  readonly message: string;
  /** Where reading can go on; set where the offset is not retained. */
  readonly range?: LogRange;
}

/** What to read. */
export interface ReadRequest {
  readonly stream: LogStream;
  /** The first offset wanted. */
  readonly from: number;
  /** The most records wanted. */
  readonly limit: number;
  /** How long the log may wait for a first record, in milliseconds. */
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
   * @returns the offset of the record, or why that is not known
   */
  append(
    stream: LogStream,
    data: Uint8Array,
    deadline: Deadline,
  ): Promise<Result<number, LogFailure>>;

  /**
   * Reads records in order; waits for one where none is there yet.
   *
   * @param request - what to read
   * @param deadline - when to give up
   * @param signal - ends the read early
   * @returns the records, none where the wait passed without one, or why they could not be read
   */
  read(
    request: ReadRequest,
    deadline: Deadline,
    signal?: AbortSignal,
  ): Promise<Result<LogBatch, LogFailure>>;

  /**
   * @param stream - the stream to ask about
   * @param deadline - when to give up
   * @returns what the stream still holds
   */
  range(stream: LogStream, deadline: Deadline): Promise<Result<LogRange, LogFailure>>;

  /** Closes the connections to the log. */
  close(): Promise<void>;
}
