/** What the configuration stream of the log holds: published versions and snapshots. */
import { gunzipSync, gzipSync } from 'node:zlib';
import { createHash } from 'node:crypto';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';

/** The format this program writes, and the newest it understands. */
export const RECORD_FORMAT = 1;

/** The kinds of record. */
export const RecordKind = { Publish: 'publish', Snapshot: 'snapshot' } as const;
export type RecordKind = (typeof RecordKind)[keyof typeof RecordKind];

/** What became of a published record. */
export const Verdict = {
  /** It is the new version. */
  Accepted: 'accepted',
  /** It was edited from a version that is no longer the newest. */
  Conflict: 'conflict',
  /** Its rules are faulty, or its content does not match its digest. */
  Invalid: 'invalid',
  /** Its publish id was judged before; the first verdict counts. */
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

/** A version offered by an operator, as a difference from the version it was edited from. */
export type PublishRecord = Readonly<z.infer<typeof publishSchema>>;
/** The whole state after a certain offset, for readers that begin later. */
export type SnapshotRecord = Readonly<z.infer<typeof snapshotSchema>>;
/** A record of the configuration stream. */
export type ConfigurationRecord = PublishRecord | SnapshotRecord;
/** The verdict on one published record. */
export type Judgement = Readonly<z.infer<typeof judgementSchema>>;
/** A configuration state as it travels. */
export type PlainState = Readonly<z.infer<typeof stateSchema>>;

/** Why a record could not be read. */
export const RecordFault = {
  /** A later format: this node cannot judge this record nor any after it. */
  UnknownFormat: 'unknown-format',
  /** No record of any known format; it counts for nothing. */
  Malformed: 'malformed',
} as const;
export type RecordFault = (typeof RecordFault)[keyof typeof RecordFault];

/**
 * @param text - the text of a rule file
 * @returns its digest, in hexadecimal
 */
export function digestOf(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/**
 * @param record - a record
 * @returns the bytes the log keeps
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
 * @param data - the bytes of a record
 * @returns the record, or why it could not be read
 */
export function decodeRecord(data: Uint8Array): Result<ConfigurationRecord, RecordFault> {
  const plain = parseJson(data);
  const format = z.object({ format: z.number().int() }).safeParse(plain);
  if (format.success && format.data.format > RECORD_FORMAT) {
    return Err(RecordFault.UnknownFormat);
  }
  const record = recordSchema.safeParse(plain);
  return record.success ? Ok(record.data) : Err(RecordFault.Malformed);
}

/**
 * @param state - a configuration state
 * @returns its compressed bytes
 */
export function encodeState(state: PlainState): Uint8Array {
  // eslint-disable-next-line n/no-sync -- a state is made rarely, and the caller must not be interrupted
  return gzipSync(JSON.stringify(state));
}

/**
 * @param data - compressed bytes of a state
 * @returns the state, or that it could not be read
 */
export function decodeState(data: Uint8Array): Result<PlainState, RecordFault> {
  try {
    // eslint-disable-next-line n/no-sync -- a state is read rarely, and the caller must not be interrupted
    const state = stateSchema.safeParse(JSON.parse(gunzipSync(data).toString('utf8')));
    return state.success ? Ok(state.data) : Err(RecordFault.Malformed);
  } catch {
    return Err(RecordFault.Malformed);
  }
}
