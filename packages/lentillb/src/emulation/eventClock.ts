/** Provides a clock whose time jumps from one scheduled action to the next. */
import type { Clock } from '../kernel/clock.js';

interface ScheduledAction {
  readonly dueAtMs: number;
  /** Keeps actions that are due at the same time in the order in which they were scheduled. */
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

const START_TIME_MS = Date.parse('2026-01-05T08:00:00Z');

function isBefore(left: ScheduledAction, right: ScheduledAction): boolean {
  return left.dueAtMs === right.dueAtMs ? left.order < right.order : left.dueAtMs < right.dueAtMs;
}

/** Runs scheduled actions in the order of their due times, as fast as they can be run. */
export class EventClock implements Clock {
  private elapsedMs = 0;

  private scheduledCount = 0;

  /** A binary heap; the first action is due first. */
  private readonly heap: ScheduledAction[] = [];

  now(): Date {
    return new Date(START_TIME_MS + this.elapsedMs);
  }

  monotonicMs(): number {
    return this.elapsedMs;
  }

  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(delayMs, resolve);
    });
  }

  after(delayMs: number, action: () => void): () => void {
    const scheduled: ScheduledAction = {
      dueAtMs: this.elapsedMs + Math.max(0, delayMs),
      order: this.scheduledCount,
      run: action,
      cancelled: false,
    };
    this.scheduledCount += 1;
    this.push(scheduled);
    return () => {
      scheduled.cancelled = true;
    };
  }

  /**
   * Runs all actions that are due up to a time, and those that they schedule.
   *
   * @param untilMs - the time to advance to, in milliseconds
   */
  async runUntil(untilMs: number): Promise<void> {
    for (;;) {
      const [next] = this.heap;
      if (next === undefined || next.dueAtMs > untilMs) {
        break;
      }
      this.removeFirst();
      if (!next.cancelled) {
        this.elapsedMs = next.dueAtMs;
        next.run();
        // Lets the promises that the action resolved run before the time advances.
        await new Promise<void>((resolve) => {
          setImmediate(resolve);
        });
      }
    }
    this.elapsedMs = untilMs;
  }

  private push(action: ScheduledAction): void {
    const { heap } = this;
    let index = heap.length;
    heap.push(action);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = heap[parentIndex] as ScheduledAction;
      if (!isBefore(action, parent)) {
        break;
      }
      heap[index] = parent;
      index = parentIndex;
    }
    heap[index] = action;
  }

  private removeFirst(): void {
    const { heap } = this;
    const last = heap.pop() as ScheduledAction;
    if (heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      const left = index * 2 + 1;
      const right = left + 1;
      if (left >= heap.length) {
        break;
      }
      const isRightFirst =
        right < heap.length &&
        isBefore(heap[right] as ScheduledAction, heap[left] as ScheduledAction);
      const childIndex = isRightFirst ? right : left;
      const child = heap[childIndex] as ScheduledAction;
      if (!isBefore(child, last)) {
        break;
      }
      heap[index] = child;
      index = childIndex;
    }
    heap[index] = last;
  }
}
