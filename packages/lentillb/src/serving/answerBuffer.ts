/** Buffers answers that are received completely before they are forwarded. */
import type { MemoryBudget } from '../memory/memoryBudget.js';
import { MemoryUse } from '../memory/memoryUse.js';

/** The maximum length of one answer, in bytes, to bound memory. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
/** The length up to which an answer is accepted however much else is held. */
const ALWAYS_ACCEPTED_BYTES = 16 * 1024;

/**
 * Buffers one answer as it arrives. All answers of the process share a limit, so that backend
 * servers that send endless answers on every connection cannot exhaust its memory. Only long
 * answers are rejected by the shared limit.
 */
export class AnswerBuffer {
  private readonly chunks: Buffer[] = [];

  private bytes = 0;

  private released = false;

  /** @param memory - the memory that all answers of the process share with other uses */
  constructor(private readonly memory: MemoryBudget) {}

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
    this.memory.recordRead(chunk.length);
    const bytes = this.bytes + chunk.length;
    if (bytes > MAX_ANSWER_BYTES) {
      return false;
    }
    if (bytes <= ALWAYS_ACCEPTED_BYTES) {
      this.memory.take(MemoryUse.Answers, chunk.length);
    } else if (!this.memory.tryTake(MemoryUse.Answers, chunk.length)) {
      return false;
    }
    this.chunks.push(chunk);
    this.bytes = bytes;
    return true;
  }

  /** @returns the complete answer */
  concat(): Buffer {
    const [first] = this.chunks;
    return first !== undefined && this.chunks.length === 1
      ? first
      : Buffer.concat(this.chunks, this.bytes);
  }

  /** Discards the bytes and subtracts them from the shared limit. */
  release(): void {
    if (!this.released) {
      this.released = true;
      this.memory.release(MemoryUse.Answers, this.bytes);
      this.chunks.length = 0;
    }
  }
}
