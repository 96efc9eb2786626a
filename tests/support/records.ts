/** Configuration records for tests. */
import type { LogRecord } from 'lentillb';
import { publishRecordOf } from 'lentillb';
import { digestOf, encodeRecord } from 'lentillb/distribution/configurationRecord.js';
import type { PublishRecord } from 'lentillb/distribution/configurationRecord.js';

/** What an operator publishes. */
export interface Edit {
  readonly base: number;
  readonly before: string;
  readonly after: string;
  readonly publishId?: string;
  readonly author?: string;
}

/**
 * @param edit - what an operator publishes
 * @returns the record for it
 */
export function publishRecord(edit: Edit): PublishRecord {
  const publishId = `${edit.base}-${digestOf(edit.after).slice(0, 8)}`;
  return publishRecordOf({ publishId, author: 'salma', ...edit });
}

/**
 * @param offset - its offset
 * @param record - a record of the configuration stream, or raw bytes
 * @returns the record as the log keeps it
 */
export function logRecord(offset: number, record: PublishRecord | Uint8Array): LogRecord {
  return {
    offset,
    appendedAt: new Date(1_767_600_000_000 + offset),
    data: record instanceof Uint8Array ? record : encodeRecord(record),
  };
}
