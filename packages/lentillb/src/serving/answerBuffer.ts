/** Buffers answers that are received completely before they are forwarded. */
import { answerMemory } from './answerMemory.js';

/** The maximum length of one answer, in bytes, to bound memory. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** The length up to which an answer is accepted however much else is held. */
const ALWAYS_ACCEPTED_BYTES = 256 * 1024;

/**
 * Buffers one answer as it arrives. All answers of the process share a limit, so that backend
 * servers that send endless answers on every connection cannot exhaust its memory. Only long
 * answers are rejected by the shared limit.
 */
export class AnswerBuffer {
  private readonly chunks: Buffer[] = [];

  private bytes = 0;

  private released = false;

  /**
   * Appends a chunk.
   *
   * @param chunk - the bytes that have arrived
   * @returns false if the answer exceeds a limit and must be abandoned
   */
  add(chunk: Buffer): boolean {
    if (this.released) {
      return false;
    }
    this.chunks.push(chunk);
    this.bytes += chunk.length;
    answerMemory.add(chunk.length);
    return (
      this.bytes <= MAX_ANSWER_BYTES &&
      (this.bytes <= ALWAYS_ACCEPTED_BYTES || !answerMemory.isFull())
    );
  }

  /** @returns the complete answer */
  concat(): Buffer {
    return Buffer.concat(this.chunks, this.bytes);
  }

  /** Discards the bytes and subtracts them from the shared limit. */
  release(): void {
    if (!this.released) {
      this.released = true;
      answerMemory.add(-this.bytes);
      this.chunks.length = 0;
    }
  }
}
