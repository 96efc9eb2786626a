/** The bytes of answers that are taken in whole before they are passed on. */

/** Answers longer than this are given up, in bytes, to bound memory. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** How many bytes of answers are held at a time, to bound memory: a sixth of the smallest host's. */
const MAX_BUFFERED_BYTES = 32 * 1024 * 1024;
/** Up to this length an answer is taken in however many others are held, in bytes. */
const ALWAYS_ACCEPTED_BYTES = 256 * 1024;

let bufferedBytes = 0;

/**
 * One answer as it arrives. All answers of the process share a bound, so that backend servers which send
 * without end on every connection can't fill its memory; it falls on the long ones.
 */
export class AnswerBuffer {
  private readonly chunks: Buffer[] = [];

  private bytes = 0;

  private released = false;

  /**
   * @param chunk - what has arrived
   * @returns whether there is room for it; false where the answer is to be given up
   */
  add(chunk: Buffer): boolean {
    if (this.released) {
      return false;
    }
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    bufferedBytes += chunk.length;
    return (
      this.bytes <= MAX_ANSWER_BYTES &&
      (this.bytes <= ALWAYS_ACCEPTED_BYTES || bufferedBytes <= MAX_BUFFERED_BYTES)
    );
  }

  /** @returns the whole answer */
  concat(): Buffer {
    return Buffer.concat(this.chunks, this.bytes);
  }

  /** Gives its share of the bound back. */
  release(): void {
    if (!this.released) {
      this.released = true;
      bufferedBytes -= this.bytes;
      this.chunks.length = 0;
    }
  }
}
