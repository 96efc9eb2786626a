/** Input that has arrived at this process and has not been read yet. */
import type { Clock } from '../kernel/clock.js';
import { runInBackground } from './background.js';

/**
 * Waits until the event loop has read what its sockets held when this was called. A loop that was
 * held runs its timers first, then reads a request, and only in its next turn the end of the
 * connection that the request came on.
 */
export function untilPendingInputIsRead(): Promise<void> {
  return new Promise((resolve) => {
    // The first ends this turn, the second one that polled all sockets.
    setImmediate(() => setImmediate(resolve));
  });
}

/** How old the knowledge of a connection may be when a decision rests on it, in milliseconds. */
const MAX_AGE_MS = 20;

/** Knows up to when the input of this process has been read. */
export class InputWatch {
  private readUpToMs = -Infinity;

  /** @param clock - the clock that the age of knowledge goes by */
  constructor(private readonly clock: Clock) {}

  /** Waits until all input that arrived before this call has been read. */
  async untilRead(): Promise<void> {
    const calledAtMs = this.clock.monotonicMs();
    await untilPendingInputIsRead();
    this.readUpToMs = Math.max(this.readUpToMs, calledAtMs);
  }

  /** Waits likewise, unless all input was read up to a moment ago. */
  async untilRecent(): Promise<void> {
    if (this.clock.monotonicMs() - this.readUpToMs > MAX_AGE_MS) {
      await this.untilRead();
    }
  }
}

/**
 * Does something once a time is up, unless input that has arrived by then takes it back: after the
 * event loop was held, timers fire before that input is read.
 *
 * @param clock - the clock that the time goes by
 * @param delayMs - how much later, in milliseconds
 * @param action - what to do
 * @returns takes the action back
 */
export function afterPendingInput(clock: Clock, delayMs: number, action: () => void): () => void {
  let isDue = true;
  const stopTimer = clock.after(delayMs, () => {
    runInBackground(
      untilPendingInputIsRead().then(() => {
        if (isDue) {
          action();
        }
      }),
    );
  });
  return () => {
    isDue = false;
    stopTimer();
  };
}
