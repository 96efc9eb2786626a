/** A bounded queue between a producer that must not wait and a single reader. */

/** Queues messages for a single reader, which iterates over the queue. */
export class MessageQueue<Message> implements AsyncIterable<Message> {
  private messages: Message[] = [];

  private closed = false;

  private wake: (() => void) | undefined;

  /** @param capacity - the maximum number of queued messages */
  constructor(private readonly capacity: number) {}

  /**
   * Adds a message.
   *
   * @param message - the message to add
   * @returns false if the queue is full or closed, in which case the message is dropped
   */
  push(message: Message): boolean {
    if (this.closed || this.messages.length >= this.capacity) {
      return false;
    }
    this.messages.push(message);
    this.wake?.();
    return true;
  }

  /** Closes the queue. The iteration ends once the queued messages have been read. */
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
