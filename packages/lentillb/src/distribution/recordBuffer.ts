/** Buffers the latest encoded records of the configuration stream for sending to peers. */
import type { LogRecord } from '../log/log.js';

/** Limits how many records a node buffers. */
export const MAX_RECORDS = 512;
/** Limits the total size of the buffered records. */
export const MAX_BYTES = 8 * 1024 * 1024;

/** A buffer of consecutive records that drops the oldest ones when a limit is exceeded. */
export class RecordBuffer {
  private records: LogRecord[] = [];

  private bytes = 0;

  /** @param record - the record that follows the last buffered one */
  push(record: LogRecord): void {
    this.records.push(record);
    this.bytes += record.data.length;
    while (this.records.length > MAX_RECORDS || this.bytes > MAX_BYTES) {
      this.bytes -= this.records.shift()?.data.length ?? 0;
    }
  }

  /** Removes all records, so that the next one need not follow the last one. */
  clear(): void {
    this.records = [];
    this.bytes = 0;
  }

  /**
   * @param offset - the last offset that the reader has
   * @returns all later records, or undefined if some of them are no longer buffered
   */
  recordsAfter(offset: number): readonly LogRecord[] | undefined {
    const [first] = this.records;
    if (first === undefined || first.offset > offset + 1) {
      return undefined;
    }
    return this.records.slice(offset + 1 - first.offset);
  }
}
