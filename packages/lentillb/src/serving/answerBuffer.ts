/** Buffers answers that are received completely before they are forwarded. */
import type { MemoryBudget } from '../memory/memoryBudget.js';
import { MemoryUse } from '../memory/memoryUse.js';
import { ChunkBuffer } from '../utils/chunkBuffer.js';

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
  private readonly chunks = new ChunkBuffer();

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
    const bytes = this.chunks.bytes + chunk.length;
    if (bytes > MAX_ANSWER_BYTES) {
      return false;
    }
    const growthBytes = this.chunks.growthFor(chunk.length);
    if (bytes <= ALWAYS_ACCEPTED_BYTES) {
      this.memory.take(MemoryUse.Answers, growthBytes);
    } else if (growthBytes > 0 && !this.memory.tryTake(MemoryUse.Answers, growthBytes)) {
      return false;
    }
    this.chunks.append(chunk);
    return true;
  }

  /** @returns the complete answer */
  concat(): Buffer {
    const { heldBytes } = this.chunks;
    const answer = this.chunks.concat();
    this.memory.release(MemoryUse.Answers, heldBytes - this.chunks.heldBytes);
    return answer;
  }

  /** Discards the bytes and subtracts them from the shared limit. */
  release(): void {
    if (!this.released) {
      this.released = true;
      this.memory.release(MemoryUse.Answers, this.chunks.heldBytes);
      this.chunks.clear();
    }
  }
}
