/** Creates the record that publishes an edited rule file. */
import { diffLines } from '../rules/lineEdits.js';
import { joinLines, splitLines } from '../rules/ruleFile.js';
import type { PublishRecord } from './configurationRecord.js';
import { digestOf, encodeRecord, RECORD_FORMAT, RecordKind } from './configurationRecord.js';

/** A new rule file with the version it was edited from. */
export interface RuleFileEdit {
  readonly publishId: string;
  /** The version that was edited. */
  readonly base: number;
  readonly author: string;
  /** The text of the base version. */
  readonly before: string;
  /** The new text. */
  readonly after: string;
}

/**
 * @param edited - the edited file
 * @returns the record to publish
 */
export function publishRecordOf(edited: RuleFileEdit): PublishRecord {
  const { publishId, base, author } = edited;
  const after = splitLines(edited.after);
  const edits = diffLines(splitLines(edited.before), after);
  return {
    format: RECORD_FORMAT,
    kind: RecordKind.Publish,
    publishId,
    base,
    author,
    edits: edits.map((edit) => ({ ...edit, insert: [...edit.insert] })),
    digest: digestOf(joinLines(after)),
  };
}

/**
 * @param edited - the edited file
 * @returns the bytes to append to the configuration stream
 */
export function encodePublication(edited: RuleFileEdit): Uint8Array {
  return encodeRecord(publishRecordOf(edited));
}
