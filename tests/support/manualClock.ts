/** Defines a clock that a test advances by hand. */
import type { Clock } from 'lentillb';

/** An action and the time at which it is due. */
interface Timer {
  readonly dueAtMs: number;
  readonly fire: () => void;
}

const START_TIME_MS = Date.parse('2026-01-05T08:00:00Z');

/** Runs all pending work, including input and output over loopback. */
async function flushPendingWork(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) {
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Advances only when `advance` is called. */
export class ManualClock implements Clock {
  private elapsedMs = 0;

  private readonly timers = new Set<Timer>();

  now(): Date {
    return new Date(START_TIME_MS + this.elapsedMs);
  }

  monotonicMs(): number {
    return this.elapsedMs;
  }

  sleep(delayMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const timer: Timer = {
        dueAtMs: this.elapsedMs + delayMs,
        fire: () => {
          this.timers.delete(timer);
          signal?.removeEventListener('abort', timer.fire);
          resolve();
        },
      };
      this.timers.add(timer);
      signal?.addEventListener('abort', timer.fire, { once: true });
    });
  }

  after(delayMs: number, action: () => void): () => void {
    const timer: Timer = {
      dueAtMs: this.elapsedMs + delayMs,
      fire: () => {
        this.timers.delete(timer);
        action();
      },
    };
    this.timers.add(timer);
    return () => this.timers.delete(timer);
  }

  /**
   * Advances the time and fires the timers that fall due, in the order of their due times.
   *
   * @param durationMs - the duration, in milliseconds
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.elapsedMs + durationMs;
    await flushPendingWork();
    for (;;) {
      const next = this.findNextTimer(endMs);
      if (next === undefined) {
        break;
      }
      this.elapsedMs = Math.max(this.elapsedMs, next.dueAtMs);
      next.fire();
      await flushPendingWork();
    }
    this.elapsedMs = endMs;
    await flushPendingWork();
  }

  private findNextTimer(endMs: number): Timer | undefined {
    let first: Timer | undefined;
    this.timers.forEach((timer) => {
      if (timer.dueAtMs <= endMs && (first === undefined || timer.dueAtMs < first.dueAtMs)) {
        first = timer;
      }
    });
    return first;
  }
}
