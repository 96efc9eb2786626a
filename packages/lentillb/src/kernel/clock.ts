/**
 * Time as the library sees it. Every component takes a clock instead of reading the
 * system's, so that tests decide when time passes.
 */

/** A source of wall-clock time, monotonic time and delays. */
export interface Clock {
  /** @returns the wall-clock time */
  now(): Date;
  /** @returns milliseconds since an arbitrary fixed point; never goes back */
  monotonicMs(): number;
  /**
   * Waits for a delay to pass.
   *
   * @param delayMs - how long to wait, in milliseconds
   * @param signal - ends the wait early; the promise then resolves all the same
   */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
  /**
   * Does something later.
   *
   * @param delayMs - how much later, in milliseconds
   * @param action - what to do
   * @returns takes the action back
   */
  after(delayMs: number, action: () => void): () => void;
}

/** The clock of the machine. */
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
