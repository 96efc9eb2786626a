/** Encodes and decodes the published versions and snapshots in the configuration stream. */
import { gunzipSync, gzipSync } from 'node:zlib';
import { createHash } from 'node:crypto';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';

/** The record format that this program writes, and the newest one it can read. */
export const RECORD_FORMAT = 1;

/** The kinds of record in the configuration stream. */
export const RecordKind = { Publish: 'publish', Snapshot: 'snapshot' } as const;
export type RecordKind = (typeof RecordKind)[keyof typeof RecordKind];

/** The result of judging a published record. */
export const Verdict = {
  /** The record is the new version. */
  Accepted: 'accepted',
  /** The record was edited from a version that is not the one in force. */
  Conflict: 'conflict',
  /** The rules have faults, the edits do not apply, or the content does not match the digest. */
  Invalid: 'invalid',
  /** The publish id was judged before; the first verdict counts. */
  Repeated: 'repeated',
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

const publishSchema = z.object({
  format: z.literal(RECORD_FORMAT),
  kind: z.literal(RecordKind.Publish),
  publishId: z.string().min(1).max(100),
  base: z.number().int().min(0),
  author: z.string().min(1).max(100),
  edits: z.array(
    z.object({
      line: z.number().int().min(1),
      remove: z.number().int().min(0),
      insert: z.array(z.string().regex(/^[^\n]*$/)),
    }),
  ),
  digest: z.string(),
});

const judgementSchema = z.object({
  offset: z.number().int(),
  publishId: z.string(),
  verdict: z.enum(Verdict),
  author: z.string(),
  base: z.number().int(),
  at: z.string(),
  note: z.string(),
});

const stateSchema = z.object({
  through: z.number().int().min(0),
  version: z.number().int().min(0),
  lines: z.array(z.object({ text: z.string(), version: z.number().int(), author: z.string() })),
  judgements: z.array(judgementSchema),
});

const snapshotSchema = z.object({
  format: z.literal(RECORD_FORMAT),
  kind: z.literal(RecordKind.Snapshot),
  through: z.number().int().min(0),
  version: z.number().int().min(0),
  state: z.base64(),
});

const recordSchema = z.discriminatedUnion('kind', [publishSchema, snapshotSchema]);

/** A version published by an operator, stored as line edits of its base version. */
export type PublishRecord = Readonly<z.infer<typeof publishSchema>>;
/** The whole state up to an offset, for readers that start after older records have expired. */
export type SnapshotRecord = Readonly<z.infer<typeof snapshotSchema>>;
/** A record of the configuration stream. */
export type ConfigurationRecord = PublishRecord | SnapshotRecord;
/** The verdict on one published record. */
export type Judgement = Readonly<z.infer<typeof judgementSchema>>;
/** A configuration state in the form that peers exchange and snapshots store. */
export type SerializableState = Readonly<z.infer<typeof stateSchema>>;

/** The reasons why a record could not be read. */
export const RecordFault = {
  /** The format is newer than this program: it can judge neither this record nor a later one. */
  UnknownFormat: 'unknown-format',
  /** The data is not a record of any known format; it is ignored. */
  Malformed: 'malformed',
} as const;
export type RecordFault = (typeof RecordFault)[keyof typeof RecordFault];

/**
 * @param text - the text of a rule file
 * @returns the SHA-256 digest of the text, in hexadecimal
 */
export function digestOf(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * @param record - the record to encode
 * @returns the bytes to append to the log
 */
export function encodeRecord(record: ConfigurationRecord): Uint8Array {
  return Buffer.from(JSON.stringify(record));
}

function parseJson(data: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(data).toString('utf8'));
  } catch {
    return undefined;
  }
}

/**
 * @param data - the bytes of a record, as read from the log
 * @returns the record, or why it could not be read
 */
export function decodeRecord(data: Uint8Array): Result<ConfigurationRecord, RecordFault> {
  const json = parseJson(data);
  const format = z.object({ format: z.number().int() }).safeParse(json);
  if (format.success && format.data.format > RECORD_FORMAT) {
    return Err(RecordFault.UnknownFormat);
  }
  const record = recordSchema.safeParse(json);
  return record.success ? Ok(record.data) : Err(RecordFault.Malformed);
}

/**
 * @param state - a configuration state
 * @returns the state as gzip-compressed JSON
 */
export function encodeState(state: SerializableState): Uint8Array {
  // eslint-disable-next-line n/no-sync -- states are encoded rarely, and the caller must run without interruption
  return gzipSync(JSON.stringify(state));
}

/**
 * @param data - a state as gzip-compressed JSON
 * @returns the state, or an error where the data is not a state
 */
export function decodeState(data: Uint8Array): Result<SerializableState, RecordFault> {
  try {
    // eslint-disable-next-line n/no-sync -- states are decoded rarely, and the caller must run without interruption
    const state = stateSchema.safeParse(JSON.parse(gunzipSync(data).toString('utf8')));
    return state.success ? Ok(state.data) : Err(RecordFault.Malformed);
  } catch {
    return Err(RecordFault.Malformed);
  }
}
