/** Creates configuration records for tests. */
import type { LogRecord } from 'lentillb';
import { publishRecordOf } from 'lentillb';
import { digestOf, encodeRecord } from 'lentillb/distribution/configurationRecord.js';
import type { PublishRecord } from 'lentillb/distribution/configurationRecord.js';

/** The rules that an operator publishes, and the version that they replace. */
export interface Publication {
  readonly base: number;
  readonly before: string;
  readonly after: string;
  readonly publishId?: string;
  readonly author?: string;
}

/**
 * @param publication - the published rules and their base version
 * @returns the record of the publication
 */
export function createPublishRecord(publication: Publication): PublishRecord {
  const publishId = `${publication.base}-${digestOf(publication.after).slice(0, 8)}`;
  return publishRecordOf({ publishId, author: 'salma', ...publication });
}

/**
 * @param offset - the offset in the log
 * @param record - a record of the configuration stream, or raw bytes
 * @returns the record as the log stores it
 */
export function createLogRecord(offset: number, record: PublishRecord | Uint8Array): LogRecord {
  return {
    offset,
    appendedAt: new Date(1_767_600_000_000 + offset),
    data: record instanceof Uint8Array ? record : encodeRecord(record),
  };
}
