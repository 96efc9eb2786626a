/**
 * Abstracts the source of time. Every component uses an injected clock instead of the system clock,
 * so that tests control when time passes.
 */

/** A source of wall-clock time, monotonic time and delays. */
export interface Clock {
  /** @returns the wall-clock time */
  now(): Date;
  /** @returns milliseconds since an arbitrary fixed point; never decreases */
  monotonicMs(): number;
  /**
   * Waits for a delay.
   *
   * @param delayMs - the delay, in milliseconds
   * @param signal - ends the wait early; the promise is then resolved, not rejected
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
  /**
   * Schedules an action.
   *
   * @param delayMs - the delay, in milliseconds
   * @param action - the function to call after the delay
   * @returns a function that cancels the action
   */
  after(delayMs: number, action: () => void): () => void;
}

/** Implements the clock by the time and timers of the system. */
export class SystemClock implements Clock {
  // eslint-disable-next-line class-methods-use-this -- implements the interface
  now(): Date {
    return new Date();
  }

  // eslint-disable-next-line class-methods-use-this -- implements the interface
  monotonicMs(): number {
    return performance.now();
  }

  // eslint-disable-next-line class-methods-use-this -- implements the interface
  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const finish = (): void => {
        // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the timer and its handler refer to each other
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, delayMs);
      signal?.addEventListener('abort', finish, { once: true });
    });
  }

  // eslint-disable-next-line class-methods-use-this -- implements the interface
  after(delayMs: number, action: () => void): () => void {
    const timer = setTimeout(action, delayMs);
    return () => clearTimeout(timer);
  }
}
