/** A clock that stands still until a test moves it. */
import type { Clock } from 'lentillb';

interface Sleeper {
  readonly wakeAtMs: number;
  readonly wake: () => void;
}

const START = Date.parse('2026-01-05T08:00:00Z');

/** Lets all work that is ready run, input and output over loopback included. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) {
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Time that passes only when told to. */
export class ManualClock implements Clock {
  private elapsedMs = 0;

  private readonly sleepers = new Set<Sleeper>();

  now(): Date {
    return new Date(START + this.elapsedMs);
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
      const sleeper: Sleeper = {
        wakeAtMs: this.elapsedMs + delayMs,
        wake: () => {
          this.sleepers.delete(sleeper);
          signal?.removeEventListener('abort', sleeper.wake);
          resolve();
        },
      };
      this.sleepers.add(sleeper);
      signal?.addEventListener('abort', sleeper.wake, { once: true });
    });
  }

  after(delayMs: number, action: () => void): () => void {
    const sleeper: Sleeper = {
      wakeAtMs: this.elapsedMs + delayMs,
      wake: () => {
        this.sleepers.delete(sleeper);
        action();
      },
    };
    this.sleepers.add(sleeper);
    return () => this.sleepers.delete(sleeper);
  }

  /**
   * Lets time pass, waking everybody who sleeps in the order of their times.
   *
   * @param durationMs - how much, in milliseconds
   */
  async advance(durationMs: number): Promise<void> {
    const endMs = this.elapsedMs + durationMs;
    await settle();
    for (;;) {
      const next = this.earliest(endMs);
      if (next === undefined) {
        break;
      }
      this.elapsedMs = Math.max(this.elapsedMs, next.wakeAtMs);
      next.wake();
      await settle();
    }
    this.elapsedMs = endMs;
    await settle();
  }

  private earliest(endMs: number): Sleeper | undefined {
    let first: Sleeper | undefined;
    this.sleepers.forEach((sleeper) => {
      if (sleeper.wakeAtMs <= endMs && (first === undefined || sleeper.wakeAtMs < first.wakeAtMs)) {
        first = sleeper;
      }
    });
    return first;
  }
}
