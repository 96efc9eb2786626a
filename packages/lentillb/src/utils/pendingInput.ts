/** Waits for socket input that has arrived at this process but has not been read yet. */
import type { Clock } from '../kernel/clock.js';
import { runInBackground } from './background.js';

/**
 * Waits until the event loop has read the input that its sockets held at the time of the call.
 * After it was blocked, the event loop runs its timers first, then reads a request, and only in its
 * next turn reads the end of the connection on which the request arrived.
 */
export function waitForPendingInput(): Promise<void> {
  return new Promise((resolve) => {
    // The first callback ends the current turn, the second a turn that polled all sockets.
    setImmediate(() => setImmediate(resolve));
  });
}

/** The maximum age of the state of a connection on which a decision is based, in milliseconds. */
export const MAX_INPUT_AGE_MS = 20;

/** Tracks the time up to which the input of this process has been read. */
export class PendingInputTracker {
  private readUpToMs = -Infinity;

  /** @param clock - the clock by which the age of the last read is measured */
  constructor(private readonly clock: Clock) {}

  /** @returns how old the state of the connections is at most, in milliseconds */
  ageMs(): number {
    return this.clock.monotonicMs() - this.readUpToMs;
  }

  /** Waits until all input that arrived before this call has been read. */
  async waitUntilRead(): Promise<void> {
    const calledAtMs = this.clock.monotonicMs();
    await waitForPendingInput();
    this.readUpToMs = Math.max(this.readUpToMs, calledAtMs);
  }

  /**
   * Waits in the same way, unless all input up to `MAX_INPUT_AGE_MS` ago has already been read.
   */
  async waitUntilRecentlyRead(): Promise<void> {
    if (this.ageMs() > MAX_INPUT_AGE_MS) {
      await this.waitUntilRead();
    }
  }
}

/**
 * Schedules an action that runs only after the input that arrived before its time has been read, so
 * that this input can cancel it. After the event loop was blocked, timers fire before that input is
 * read.
 *
 * @param clock - the clock by which the delay is measured
 * @param delayMs - the delay, in milliseconds
 * @param action - the function to call after the delay
 * @returns a function that cancels the action
 */
export function afterPendingInput(clock: Clock, delayMs: number, action: () => void): () => void {
  let isDue = true;
  const cancelTimer = clock.after(delayMs, () => {
    runInBackground(
      waitForPendingInput().then(() => {
        if (isDue) {
          action();
        }
      }),
    );
  });
  return () => {
    isDue = false;
    cancelTimer();
  };
}
