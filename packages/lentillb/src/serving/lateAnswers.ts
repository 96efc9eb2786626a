/** Collects the answers that may still arrive from hosts that stopped responding. */
import type { BackendAnswer } from './messages.js';

/** The answers of one request that are awaited beside its other attempts. */
export class LateAnswers {
  /** Resolves with the first answer that arrives; never if none does. */
  readonly first: Promise<BackendAnswer>;

  private resolveFirst!: (answer: BackendAnswer) => void;

  private readonly awaited: Promise<void>[] = [];

  constructor() {
    this.first = new Promise((resolve) => {
      this.resolveFirst = resolve;
    });
  }

  /** @param answer - resolves with the answer, or with undefined once none can arrive any more */
  add(answer: Promise<BackendAnswer | undefined>): void {
    this.awaited.push(
      answer.then((received) => {
        if (received !== undefined) {
          this.resolveFirst(received);
        }
      }),
    );
  }

  /** Resolves once no further answer can arrive. */
  async untilEnded(): Promise<undefined> {
    await Promise.all(this.awaited);
    return undefined;
  }
}
