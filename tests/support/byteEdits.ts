/** Spoils messages byte by byte, as a faulty sender or link does. */
import * as fc from 'fast-check';

/** A single fault in a message. */
export interface ByteEdit {
  readonly kind: keyof typeof editors;
  /** The place, in steps of a fixed share of the length of the message. */
  readonly place: number;
  readonly byte: number;
}

const editors = {
  replaced: (bytes: Buffer, at: number, byte: number): Buffer =>
    Buffer.concat([bytes.subarray(0, at), Buffer.of(byte), bytes.subarray(at + 1)]),
  cut: (bytes: Buffer, at: number): Buffer => bytes.subarray(0, at),
  doubled: (bytes: Buffer, at: number): Buffer =>
    Buffer.concat([bytes.subarray(0, at + 1), bytes.subarray(at)]),
  inserted: (bytes: Buffer, at: number, byte: number): Buffer =>
    Buffer.concat([bytes.subarray(0, at), Buffer.of(byte), bytes.subarray(at)]),
} as const;

const BYTE_VALUES = 256;
const PLACES = 10_000;
/** The bytes that separate the parts of messages, which do harm more often than others. */
const SEPARATORS = [...Buffer.from('\0\t\n\f\r "%,:;/{}\u00ff', 'latin1')];

/** Arbitrary faults. */
export const byteEdit: fc.Arbitrary<ByteEdit> = fc.record({
  kind: fc.constantFrom(...(Object.keys(editors) as ByteEdit['kind'][])),
  place: fc.noBias(fc.nat(PLACES - 1)),
  byte: fc.oneof(fc.constantFrom(...SEPARATORS), fc.nat(BYTE_VALUES - 1)),
});

/**
 * @param bytes - a message
 * @param edit - the fault
 * @returns the message with the fault
 */
export function applyEdit(bytes: Buffer, { byte, kind, place }: ByteEdit): Buffer {
  return editors[kind](bytes, Math.floor((place / PLACES) * bytes.length), byte);
}
