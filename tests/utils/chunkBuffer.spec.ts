import fc from 'fast-check';
import { ChunkBuffer } from 'lentillb/utils/chunkBuffer.js';
import { describe, expect, it } from 'vitest';

const SEED = 50;
const TINY_CHUNKS = 1_000_000;
const MAX_UNUSED_BYTES = 64 * 1024;

const lengths = fc.oneof(
  fc.integer({ min: 0, max: 8 }),
  fc.integer({ min: 0, max: 5_000 }),
  fc.constantFrom(4_095, 4_096, 4_097, 70_000),
);

function filled(length: number, from: number): Buffer {
  return Buffer.from(Uint8Array.from({ length }, (_, index) => (from + index) % 251));
}

describe('ChunkBuffer', () => {
  it('should keep order and content of chunks of any length', () => {
    fc.assert(
      fc.property(fc.array(lengths, { maxLength: 60 }), (chunkLengths) => {
        const buffer = new ChunkBuffer();
        const chunks: Buffer[] = [];
        let bytes = 0;
        chunkLengths.forEach((length) => {
          const chunk = filled(length, bytes);
          const heldAfter = buffer.heldBytes + buffer.growthFor(length);
          buffer.append(chunk);
          chunks.push(chunk);
          bytes += length;
          expect(buffer.heldBytes).toBe(heldAfter);
          expect(buffer.heldBytes).toBeGreaterThanOrEqual(bytes);
        });
        expect(buffer.bytes).toBe(bytes);
        expect(buffer.concat().equals(Buffer.concat(chunks))).toBe(true);
        expect(buffer.heldBytes).toBe(bytes);
        buffer.append(filled(3, bytes));
        expect(buffer.concat().equals(Buffer.concat([...chunks, filled(3, bytes)]))).toBe(true);
      }),
      { seed: SEED },
    );
  });

  it('should hold hardly more than the data of chunks of one byte', () => {
    const buffer = new ChunkBuffer();
    for (let index = 0; index < TINY_CHUNKS; index += 1) {
      buffer.append(Buffer.from([index % 251]));
    }
    expect(buffer.heldBytes).toBeLessThanOrEqual(TINY_CHUNKS + MAX_UNUSED_BYTES);
    expect(buffer.concat().equals(filled(TINY_CHUNKS, 0))).toBe(true);
  });

  it('should return a single chunk without a copy', () => {
    const buffer = new ChunkBuffer();
    const chunk = Buffer.from('short');
    buffer.append(chunk);
    expect(buffer.heldBytes).toBe(chunk.length);
    expect(buffer.concat()).toBe(chunk);
  });

  it('should hold nothing once it is cleared', () => {
    const buffer = new ChunkBuffer();
    buffer.append(filled(5, 0));
    buffer.append(filled(5, 0));
    buffer.clear();
    expect([buffer.bytes, buffer.heldBytes, buffer.concat().length]).toEqual([0, 0, 0]);
  });
});
