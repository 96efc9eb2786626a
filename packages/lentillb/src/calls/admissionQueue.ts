/** Limits how many calls run at the same time, with a bounded queue of waiting calls. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Clock } from '../kernel/clock.js';
import type { Deadline } from '../kernel/deadline.js';
import type { Cancellation } from './cancellation.js';
import { Priority } from '../rules/ruleForms.js';

/** Returns a permit to the queue; a second call has no effect. */
export type Release = () => void;

/** The reason a call was not admitted. */
export const AdmissionRefusal = {
  Full: 'full',
  DeadlinePassed: 'deadline-passed',
  Cancelled: 'cancelled',
} as const;
export type AdmissionRefusal = (typeof AdmissionRefusal)[keyof typeof AdmissionRefusal];

/** The limits of an admission queue. */
export interface AdmissionBounds {
  /** The maximum number of calls that run at the same time. */
  readonly maxConcurrent: number;
  /** The maximum number of calls that wait for a permit. */
  readonly maxWaiting: number;
}

/** A call that requests a permit. */
export interface AdmissionRequest {
  readonly priority: Priority;
  readonly deadline: Deadline;
  readonly cancellation: Cancellation;
}

interface Waiter {
  readonly priority: Priority;
  readonly settle: (result: Result<Release, AdmissionRefusal>) => void;
}

const priorityRanks: Record<Priority, number> = {
  [Priority.High]: 0,
  [Priority.Normal]: 1,
  [Priority.Low]: 2,
};

/** Admits a limited number of calls; admits waiting calls by priority, then in order of arrival. */
export class AdmissionQueue {
  private activeCalls = 0;

  private readonly waiters: Waiter[] = [];

  /**
   * @param clock - measures deadlines
   * @param bounds - returns the limits; called for every decision because a new configuration can
   *   change them
   */
  constructor(
    private readonly clock: Clock,
    private readonly bounds: () => AdmissionBounds,
  ) {}

  /** The number of calls that hold a permit. */
  get inFlight(): number {
    return this.activeCalls;
  }

  /** The number of calls that wait for a permit. */
  get waiting(): number {
    return this.waiters.length;
  }

  /**
   * Acquires a permit, or waits for one until the deadline of the call.
   *
   * @param request - the call to admit
   * @returns a function that releases the permit, or the reason the call was not admitted
   */
  async admit(request: AdmissionRequest): Promise<Result<Release, AdmissionRefusal>> {
    const { maxConcurrent, maxWaiting } = this.bounds();
    if (request.deadline.expired()) {
      return Err(AdmissionRefusal.DeadlinePassed);
    }
    if (this.activeCalls < maxConcurrent) {
      return Ok(this.grantPermit());
    }
    if (this.waiters.length >= maxWaiting && !this.evictLowerPriority(request.priority)) {
      return Err(AdmissionRefusal.Full);
    }
    return this.waitForPermit(request);
  }

  /** Rejects all waiting calls as `Full`. */
  rejectWaiting(): void {
    this.waiters.splice(0).forEach(({ settle }) => settle(Err(AdmissionRefusal.Full)));
  }

  private grantPermit(): Release {
    this.activeCalls += 1;
    let released = false;
    return () => {
      if (!released) {
        released = true;
        this.activeCalls -= 1;
        this.admitNext();
      }
    };
  }

  private admitNext(): void {
    while (this.waiters.length > 0 && this.activeCalls < this.bounds().maxConcurrent) {
      this.waiters.shift()?.settle(Ok(this.grantPermit()));
    }
  }

  /**
   * Rejects the last waiting call if its priority is lower than the given one.
   *
   * @returns whether a call was rejected
   */
  private evictLowerPriority(priority: Priority): boolean {
    const last = this.waiters.at(-1);
    if (last === undefined || priorityRanks[last.priority] <= priorityRanks[priority]) {
      return false;
    }
    this.waiters.pop();
    last.settle(Err(AdmissionRefusal.Full));
    return true;
  }

  private waitForPermit(request: AdmissionRequest): Promise<Result<Release, AdmissionRefusal>> {
    const { priority, deadline, cancellation } = request;
    return new Promise((resolve) => {
      const cleanups: (() => void)[] = [];
      const waiter: Waiter = {
        priority,
        settle: (result) => {
          cleanups.forEach((cleanup) => cleanup());
          resolve(result);
        },
      };
      const abandon = (refusal: AdmissionRefusal): void => {
        this.waiters.splice(this.waiters.indexOf(waiter), 1);
        waiter.settle(Err(refusal));
      };
      this.enqueue(waiter);
      cleanups.push(
        this.clock.after(deadline.remainingMs(), () => abandon(AdmissionRefusal.DeadlinePassed)),
        cancellation.onCancel(() => abandon(AdmissionRefusal.Cancelled)),
      );
    });
  }

  private enqueue(waiter: Waiter): void {
    const rank = priorityRanks[waiter.priority];
    const index = this.waiters.findIndex((other) => priorityRanks[other.priority] > rank);
    this.waiters.splice(index < 0 ? this.waiters.length : index, 0, waiter);
  }
}
