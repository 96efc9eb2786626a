/** Bounds the memory of the answers that arrive at a process, and of those that wait for their receivers. */

/** The maximum length of all held answers together: a sixth of the smallest host's memory. */
const MAX_HELD_BYTES = 32 * 1024 * 1024;

/** An answer that its receiver has not taken completely. */
export interface WaitingAnswer {
  readonly bytes: number;
  /** Whether the receiver has taken nothing for so long that others may have the memory. */
  readonly isStalled: () => boolean;
  /** Closes the connection of the receiver. */
  readonly giveUp: () => void;
}

/** Counts the bytes of held answers. */
export class AnswerMemory {
  private heldBytes = 0;

  private readonly waiting = new Set<WaitingAnswer>();

  /** The length of all held answers, in bytes. */
  get bytes(): number {
    return this.heldBytes;
  }

  /**
   * Checks whether there is room for more. Receivers that take nothing are given up first.
   *
   * @returns whether more is held than the limit
   */
  isFull(): boolean {
    if (this.heldBytes > MAX_HELD_BYTES) {
      this.waiting.forEach((answer) => {
        if (this.heldBytes > MAX_HELD_BYTES && answer.isStalled()) {
          this.release(answer);
          answer.giveUp();
        }
      });
    }
    return this.heldBytes > MAX_HELD_BYTES;
  }

  /**
   * Counts bytes.
   *
   * @param bytes - the number of bytes that are held from now on; negative if they are discarded
   */
  add(bytes: number): void {
    this.heldBytes += bytes;
  }

  /**
   * Counts an answer that waits for its receiver.
   *
   * @param answer - the answer
   * @returns a function that ends it, once the answer has been taken or its connection is closed
   */
  hold(answer: WaitingAnswer): () => void {
    this.waiting.add(answer);
    this.add(answer.bytes);
    return () => this.release(answer);
  }

  private release(answer: WaitingAnswer): void {
    if (this.waiting.delete(answer)) {
      this.add(-answer.bytes);
    }
  }
}

/** The memory that all connections of this process share. */
export const answerMemory = new AnswerMemory();
