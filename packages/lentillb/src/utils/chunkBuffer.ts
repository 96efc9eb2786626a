/** Holds data that arrives in chunks, at a cost that does not depend on their number. */

/** The length from which a chunk is held without a copy, in bytes; far more than its object costs. */
const LONG_CHUNK_BYTES = 4 * 1024;
/** The length of the first block, in bytes; no shorter than a chunk that is copied. */
const FIRST_BLOCK_BYTES = LONG_CHUNK_BYTES;
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Collects chunks in order. Short chunks are copied into blocks, because the object of a chunk costs
 * some hundred bytes and may keep a longer buffer alive. The first chunk is never copied.
 */
export class ChunkBuffer {
  private segments: Buffer[] = [];

  private block: Buffer | undefined;

  /** The start of the part of the block that is not among the segments yet, in bytes. */
  private partStart = 0;

  /** The end of the used part of the block, in bytes. */
  private partEnd = 0;

  private length = 0;

  private capacity = 0;

  /** The length of the data, in bytes. */
  get bytes(): number {
    return this.length;
  }

  /** The memory that is held for the data, in bytes. */
  get heldBytes(): number {
    return this.capacity;
  }

  /**
   * @param chunkBytes - the length of a chunk, in bytes
   * @returns by how much the held memory grows if the chunk is appended, in bytes
   */
  growthFor(chunkBytes: number): number {
    if (this.isKeptWhole(chunkBytes)) {
      return chunkBytes;
    }
    return chunkBytes <= this.remainingBytes() ? 0 : this.nextBlockBytes();
  }

  /** @param chunk - the data that has arrived, which must not be changed any more */
  append(chunk: Buffer): void {
    const isKeptWhole = this.isKeptWhole(chunk.length);
    this.capacity += this.growthFor(chunk.length);
    this.length += chunk.length;
    if (isKeptWhole) {
      this.endPart();
      this.segments.push(chunk);
    } else {
      this.copy(chunk);
    }
  }

  /**
   * Joins the data; from then on, only the joined data is held.
   *
   * @returns the data
   */
  concat(): Buffer {
    this.endPart();
    const [first] = this.segments;
    const joined =
      first !== undefined && this.segments.length === 1 && this.block === undefined
        ? first
        : Buffer.concat(this.segments, this.length);
    this.clear();
    if (joined.length > 0) {
      this.segments.push(joined);
      this.length = joined.length;
      this.capacity = joined.length;
    }
    return joined;
  }

  /** Discards the data. */
  clear(): void {
    this.segments = [];
    this.block = undefined;
    this.partStart = 0;
    this.partEnd = 0;
    this.length = 0;
    this.capacity = 0;
  }

  private isKeptWhole(chunkBytes: number): boolean {
    return this.length === 0 || chunkBytes >= LONG_CHUNK_BYTES;
  }

  private remainingBytes(): number {
    return this.block === undefined ? 0 : this.block.length - this.partEnd;
  }

  private nextBlockBytes(): number {
    return this.block === undefined
      ? FIRST_BLOCK_BYTES
      : Math.min(MAX_BLOCK_BYTES, 2 * this.block.length);
  }

  private copy(chunk: Buffer): void {
    const copiedBytes = Math.min(chunk.length, this.remainingBytes());
    this.copyIntoBlock(chunk.subarray(0, copiedBytes));
    if (copiedBytes < chunk.length) {
      const nextBlock = Buffer.allocUnsafeSlow(this.nextBlockBytes());
      this.endPart();
      this.block = nextBlock;
      this.partStart = 0;
      this.partEnd = 0;
      this.copyIntoBlock(chunk.subarray(copiedBytes));
    }
  }

  private copyIntoBlock(data: Buffer): void {
    if (this.block !== undefined) {
      this.block.set(data, this.partEnd);
      this.partEnd += data.length;
    }
  }

  private endPart(): void {
    if (this.block !== undefined && this.partEnd > this.partStart) {
      this.segments.push(this.block.subarray(this.partStart, this.partEnd));
      this.partStart = this.partEnd;
    }
  }
}
