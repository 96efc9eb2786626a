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

/**
 * The maximum age of the state of a connection on which a decision is based, in milliseconds. It counts
 * from the end of the poll that read it: a process that is busy reading would never decide otherwise.
 */
export const MAX_INPUT_AGE_MS = 20;

/**
 * The maximum time that a poll takes, in milliseconds, if decisions are based on it. What arrived while
 * a longer one was reading may be the end of a connection, so it is read first.
 */
const MAX_POLL_MS = 200;
/** The number of long polls in a row after which decisions go ahead, so that a busy process makes some. */
const MAX_LONG_POLLS = 2;

type Continuation = () => void;

/**
 * Reads pending input on behalf of all decisions that wait for it. One poll of the sockets serves the
 * decisions to send that can be made before its result is too old, in the order in which they came; the
 * others wait for another poll. What follows an arrival is not delayed any further, so that requests wait
 * where they can be refused.
 */
export class PendingInputTracker {
  /** The time up to which all input has been read, in milliseconds. */
  private readUpToMs = -Infinity;

  /** The time at which the last poll ended, in milliseconds. */
  private polledAtMs = -Infinity;

  private pollCount = 0;

  /** The number of polls in a row that took too long. */
  private longPolls = 0;

  private isPolling = false;

  /** The decisions that wait for a recent state. */
  private readonly sends: Continuation[] = [];

  /** The decisions that wait for a poll which began after they did. */
  private readonly arrivals: Continuation[] = [];

  /** The number of arrivals that the last poll covers. */
  private coveredArrivals = 0;

  /** @param clock - the clock by which the age of the state is measured */
  constructor(private readonly clock: Clock) {}

  /** The number of polls so far. */
  get polls(): number {
    return this.pollCount;
  }

  /** @returns how old the state of the connections is at most, in milliseconds */
  ageMs(): number {
    return this.clock.monotonicMs() - this.readUpToMs;
  }

  /** @returns whether the state of the connections is recent enough to decide on it */
  isCurrent(): boolean {
    const isConclusive = this.longPolls === 0 || this.longPolls >= MAX_LONG_POLLS;
    return isConclusive && this.clock.monotonicMs() - this.polledAtMs <= MAX_INPUT_AGE_MS;
  }

  /** Waits until all input that arrived before this call has been read. */
  waitUntilRead(): Promise<void> {
    return this.enqueue(this.arrivals);
  }

  /** Waits until the state is recent; returns at once if it is. */
  waitUntilCurrent(): Promise<void> {
    return this.isCurrent() ? Promise.resolve() : this.enqueue(this.sends);
  }

  private enqueue(queue: Continuation[]): Promise<void> {
    return new Promise((resolve) => {
      queue.push(resolve);
      if (!this.isPolling) {
        this.isPolling = true;
        setImmediate(() => this.poll());
      }
    });
  }

  /** Lets the event loop poll the sockets once. Called at the end of a turn. */
  private poll(): void {
    const startedMs = this.clock.monotonicMs();
    const count = this.sends.length + this.arrivals.length;
    const covered = this.arrivals.length;
    // These run after the poll, each with what it continues, before the event loop polls again.
    for (let index = 0; index < count; index += 1) {
      setImmediate(() => {
        if (index === 0) {
          this.recordPoll(startedMs, covered);
        }
        this.releaseNext();
        if (index === count - 1) {
          this.pollAgain();
        }
      });
    }
  }

  private recordPoll(startedMs: number, covered: number): void {
    this.pollCount += 1;
    this.readUpToMs = startedMs;
    this.polledAtMs = this.clock.monotonicMs();
    this.longPolls = this.polledAtMs - startedMs > MAX_POLL_MS ? this.longPolls + 1 : 0;
    this.coveredArrivals = covered;
  }

  /** Continues the next decision; one to send only if the state has not become too old for it. */
  private releaseNext(): void {
    const send = this.isCurrent() ? this.sends.shift() : undefined;
    if (send !== undefined) {
      send();
      return;
    }
    if (this.coveredArrivals > 0) {
      this.coveredArrivals -= 1;
      this.arrivals.shift()?.();
    }
  }

  private pollAgain(): void {
    this.isPolling = this.sends.length + this.arrivals.length > 0;
    if (this.isPolling) {
      this.poll();
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
