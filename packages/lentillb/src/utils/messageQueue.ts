/** A bounded queue between a producer that must not wait and one reader. */

/** Messages on their way to one reader. */
export class MessageQueue<Message> implements AsyncIterable<Message> {
  private messages: Message[] = [];

  private closed = false;

  private wake: (() => void) | undefined;

  /** @param capacity - how many messages may wait */
  constructor(private readonly capacity: number) {}

  /**
   * @param message - the message to add
   * @returns false where the queue is full or closed; the message is then dropped
   */
  push(message: Message): boolean {
    if (this.closed || this.messages.length >= this.capacity) {
      return false;
    }
    this.messages.push(message);
    this.wake?.();
    return true;
  }

  /** Ends the reading once the messages waiting are read. */
  close(): void {
    this.closed = true;
    this.wake?.();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Message> {
    for (;;) {
      const batch = this.messages;
      this.messages = [];
      yield* batch;
      if (this.messages.length === 0) {
        if (this.closed) {
          return;
        }
        await new Promise<void>((resolve) => {
          this.wake = resolve;
        });
        this.wake = undefined;
      }
    }
  }
}
