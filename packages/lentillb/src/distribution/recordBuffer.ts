/** The latest raw records of the configuration stream, kept to pass on to peers. */
import type { LogRecord } from '../log/log.js';

/** How many records a node keeps. */
export const RECORDS_KEPT = 512;
/** How many bytes of records a node keeps. */
export const BYTES_KEPT = 8 * 1024 * 1024;

/** Consecutive records, the oldest dropped when there are too many. */
export class RecordBuffer {
  private records: LogRecord[] = [];

  private bytes = 0;

  /** @param record - the record after the last one kept */
  push(record: LogRecord): void {
    this.records.push(record);
    this.bytes += record.data.length;
    while (this.records.length > RECORDS_KEPT || this.bytes > BYTES_KEPT) {
      this.bytes -= this.records.shift()?.data.length ?? 0;
    }
  }

  /** Forgets everything: the next record need not follow the last one. */
  clear(): void {
    this.records = [];
    this.bytes = 0;
  }

  /**
   * @param offset - the last offset the reader has
   * @returns all later records, or undefined where some are no longer kept
   */
  after(offset: number): readonly LogRecord[] | undefined {
    const [first] = this.records;
    if (first === undefined || first.offset > offset + 1) {
      return undefined;
    }
    return this.records.slice(offset + 1 - first.offset);
  }
}
