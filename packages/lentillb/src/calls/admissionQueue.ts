/** A fixed number of places, and a short bounded queue for them. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Clock } from '../kernel/clock.js';
import type { Deadline } from '../kernel/deadline.js';
import type { Cancellation } from './cancellation.js';
import { Priority } from '../rules/ruleForms.js';

/** Gives a place back; calling it again does nothing. */
export type Release = () => void;

/** Why no place was given. */
export const AdmissionRefusal = {
  Full: 'full',
  DeadlinePassed: 'deadline-passed',
  Cancelled: 'cancelled',
} as const;
export type AdmissionRefusal = (typeof AdmissionRefusal)[keyof typeof AdmissionRefusal];

/** How many calls may hold a place, and how many may wait for one. */
export interface AdmissionBounds {
  readonly places: number;
  readonly queue: number;
}

/** One call that wants a place. */
export interface AdmissionRequest {
  readonly priority: Priority;
  readonly deadline: Deadline;
  readonly cancellation: Cancellation;
}

interface Waiter {
  readonly priority: Priority;
  readonly settle: (result: Result<Release, AdmissionRefusal>) => void;
}

const ranks: Record<Priority, number> = {
  [Priority.High]: 0,
  [Priority.Normal]: 1,
  [Priority.Low]: 2,
};

/** Admits calls up to a bound; waiting calls are admitted by priority, then in order. */
export class AdmissionQueue {
  private held = 0;

  private readonly waiters: Waiter[] = [];

  /**
   * @param clock - the clock that deadlines go by
   * @param bounds - asked for at every decision, since a new configuration may change them
   */
  constructor(
    private readonly clock: Clock,
    private readonly bounds: () => AdmissionBounds,
  ) {}

  /** How many calls hold a place. */
  get inFlight(): number {
    return this.held;
  }

  /** How many calls wait for a place. */
  get waiting(): number {
    return this.waiters.length;
  }

  /**
   * Takes a place, or waits for one until the deadline.
   *
   * @param request - the call that wants a place
   * @returns what gives the place back, or why there was none
   */
  async admit(request: AdmissionRequest): Promise<Result<Release, AdmissionRefusal>> {
    const { places, queue } = this.bounds();
    if (request.deadline.expired()) {
      return Err(AdmissionRefusal.DeadlinePassed);
    }
    if (this.held < places) {
      return Ok(this.hold());
    }
    if (this.waiters.length >= queue && !this.displace(request.priority)) {
      return Err(AdmissionRefusal.Full);
    }
    return this.wait(request);
  }

  /** Refuses everybody who waits. */
  refuseWaiting(): void {
    this.waiters.splice(0).forEach(({ settle }) => settle(Err(AdmissionRefusal.Full)));
  }

  private hold(): Release {
    this.held += 1;
    let released = false;
    return () => {
      if (!released) {
        released = true;
        this.held -= 1;
        this.admitNext();
      }
    };
  }

  private admitNext(): void {
    while (this.waiters.length > 0 && this.held < this.bounds().places) {
      this.waiters.shift()?.settle(Ok(this.hold()));
    }
  }

  /** Makes room for a more important call by refusing the least important one that waits. */
  private displace(priority: Priority): boolean {
    const last = this.waiters.at(-1);
    if (last === undefined || ranks[last.priority] <= ranks[priority]) {
      return false;
    }
    this.waiters.pop();
    last.settle(Err(AdmissionRefusal.Full));
    return true;
  }

  private wait(request: AdmissionRequest): Promise<Result<Release, AdmissionRefusal>> {
    const { priority, deadline, cancellation } = request;
    return new Promise((resolve) => {
      const endings: (() => void)[] = [];
      const waiter: Waiter = {
        priority,
        settle: (result) => {
          endings.forEach((end) => end());
          resolve(result);
        },
      };
      const giveUp = (refusal: AdmissionRefusal): void => {
        this.waiters.splice(this.waiters.indexOf(waiter), 1);
        waiter.settle(Err(refusal));
      };
      this.enqueue(waiter);
      endings.push(
        this.clock.after(deadline.remainingMs(), () => giveUp(AdmissionRefusal.DeadlinePassed)),
        cancellation.onCancel(() => giveUp(AdmissionRefusal.Cancelled)),
      );
    });
  }

  private enqueue(waiter: Waiter): void {
    const rank = ranks[waiter.priority];
    const index = this.waiters.findIndex((other) => ranks[other.priority] > rank);
    this.waiters.splice(index < 0 ? this.waiters.length : index, 0, waiter);
  }
}
