/** Configuration records for tests. */
import type { LogRecord } from 'lentillb';
import {
  digestOf,
  encodeRecord,
  RECORD_FORMAT,
  RecordKind,
} from 'lentillb/distribution/configurationRecord.js';
import type { PublishRecord } from 'lentillb/distribution/configurationRecord.js';
import { editsBetween } from 'lentillb/rules/lineEdits.js';
import { splitLines } from 'lentillb/rules/ruleFile.js';

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
export function publishRecord({
  base,
  before,
  after,
  publishId = `${base}-${digestOf(after).slice(0, 8)}`,
  author = 'salma',
}: Edit): PublishRecord {
  const edits = editsBetween(splitLines(before), splitLines(after));
  return {
    format: RECORD_FORMAT,
    kind: RecordKind.Publish,
    publishId,
    base,
    author,
    edits: edits.map((item) => ({ ...item, insert: [...item.insert] })),
    digest: digestOf(after),
  };
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
