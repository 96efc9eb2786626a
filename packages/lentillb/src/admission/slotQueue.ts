/**
 * Decides which requests get the slots of one backend server, in which order, and which are
 * refused. The load may exceed the slots for seconds at a time, and an answer loses most of its value
 * once the target latency has passed. A request that cannot be answered in time is therefore refused
 * on arrival: its caller can still try another backend server, and the slots serve requests whose
 * answers count. If the backend server states a request limit, a slot also needs a permit. Calls made
 * inside a run have short target latencies, so they precede new requests of the same priority:
 * refusing such a call wastes the slot that its run holds.
 */
import type { Clock } from '../kernel/clock.js';
import type { RankedRequest, SlotSupply } from './slotOrder.js';
import { compareRank, precedes, SlotOrder } from './slotOrder.js';
import { SmoothedMean } from './smoothedMean.js';
import type { StatedLimit } from './statedLimit.js';

/** The limit up to which a request may wait for a slot. */
export const WaitLimit = {
  /** The request waits only if it can be answered within its target latency. */
  OnTime: 'on-time',
  /** The request waits if it can be answered well before its deadline. */
  UntilDeadline: 'until-deadline',
} as const;
export type WaitLimit = (typeof WaitLimit)[keyof typeof WaitLimit];

/** A request for a slot; times are in milliseconds of the monotonic clock. */
export interface SlotRequest extends RankedRequest {
  readonly deadlineAtMs: number;
  readonly waitLimit: WaitLimit;
  /** Called once, when the request gets a slot. */
  readonly onGranted: (slot: Slot) => void;
  /** Called once, when the request is dropped from the queue. */
  readonly onDropped: () => void;
}

/** What the time that a slot was occupied says about the service time. */
export const ServiceTimeSample = {
  /** The request ran to its end. */
  Exact: 'exact',
  /**
   * The request was cut off at its deadline, so its service time is longer. Without these samples a
   * backend server that became slow would be measured by the few requests that it still completes.
   */
  AtLeast: 'at-least',
  None: 'none',
} as const;
export type ServiceTimeSample = (typeof ServiceTimeSample)[keyof typeof ServiceTimeSample];

/** The slot that a running request occupies. */
export interface Slot {
  /**
   * Frees the slot.
   *
   * @param sample - what the time that the slot was occupied says about the service time
   */
  readonly release: (sample: ServiceTimeSample) => void;
}

/** The possible decisions on an arriving request. */
export const Admission = {
  Granted: 'granted',
  Queued: 'queued',
  Refused: 'refused',
} as const;
export type Admission = (typeof Admission)[keyof typeof Admission];

/** The decision on an arriving request. */
export interface AdmissionDecision {
  readonly admission: Admission;
  /** The expected wait for a slot, in milliseconds. */
  readonly waitMs: number;
  /** Removes the request from the queue. */
  readonly cancel: () => void;
}

/** The load of a backend server. */
export interface SlotLoad {
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
}

/** The service time assumed before the first sample, in milliseconds. */
const DEFAULT_SERVICE_MS = 50;
/**
 * The factor on service times while a backend server warms up; the platform specifies that work
 * then takes about twice as long.
 */
const WARM_UP_FACTOR = 2;
/** The maximum number of queued requests per slot, to bound memory. */
const MAX_QUEUED_PER_SLOT = 8;
/**
 * The factor on the expected wait that allows for more urgent requests that arrive later and
 * lengthen the wait.
 */
const WAIT_MARGIN_FACTOR = 1.2;
/** The share of the remaining time within which a late request must finish to be queued. */
const MAX_LATE_FINISH_SHARE = 0.5;

/** The share of the expected service time that must remain before the deadline to run a request. */
const MIN_RUN_SHARE = 0.5;

const noop = (): void => undefined;

/** Manages the slots of one backend server and the requests that wait for them. */
export class SlotQueue {
  private slots = 0;

  private running = 0;

  private readonly waiting: SlotRequest[] = [];

  private readonly meanServiceMsByKey = new Map<string, SmoothedMean>();

  /** When each key last got a sample, oldest first. */
  private readonly measuredAtMsByKey = new Map<string, number>();

  private readonly meanServiceMs = new SmoothedMean();

  private stopAwaitingPermit: () => void = noop;

  private readonly order: SlotOrder;

  /**
   * @param clock - the clock for deadlines and service times
   * @param isWarmingUp - returns whether the backend server is still warming up
   * @param statedLimit - the request limit of the backend server
   */
  constructor(
    private readonly clock: Clock,
    private readonly isWarmingUp: () => boolean,
    private readonly statedLimit: StatedLimit,
  ) {
    this.order = new SlotOrder(clock, (key) => this.expectedServiceMs(key));
  }

  get load(): SlotLoad {
    return { slots: this.slots, running: this.running, queued: this.waiting.length };
  }

  /**
   * Returns the service times to expect for the keys that were measured lately.
   *
   * @param maxAgeMs - the maximum age of the last sample, in milliseconds
   * @returns the mean service times in milliseconds by key, the one measured last first
   */
  recentServiceTimes(maxAgeMs: number): readonly (readonly [string, number])[] {
    const sinceMs = this.clock.monotonicMs() - maxAgeMs;
    return [...this.measuredAtMsByKey]
      .filter(([, measuredAtMs]) => measuredAtMs >= sinceMs)
      .reverse()
      .map(([key]) => [key, this.expectedServiceMs(key)] as const);
  }

  /**
   * @param serviceTimeKey - the key that groups requests with similar service times
   * @returns the service time to expect, in milliseconds
   */
  expectedServiceMs(serviceTimeKey: string): number {
    const measured =
      this.meanServiceMsByKey.get(serviceTimeKey)?.value ??
      this.meanServiceMs.value ??
      DEFAULT_SERVICE_MS;
    return this.isWarmingUp() ? measured * WARM_UP_FACTOR : measured;
  }

  /**
   * Sets the number of slots and grants free ones to waiting requests.
   *
   * @param slots - the number of requests that the backend server runs concurrently
   */
  resize(slots: number): void {
    this.slots = slots;
    this.grantNext();
  }

  /**
   * Grants a slot to a request, queues it, or refuses it.
   *
   * @param request - the arriving request
   * @returns the decision; if a slot was free, `onGranted` has already been called
   */
  admit(request: SlotRequest): AdmissionDecision {
    if (this.running < this.slots && this.waiting.length === 0 && this.statedLimit.tryTake()) {
      request.onGranted(this.occupySlot(request));
      return { admission: Admission.Granted, waitMs: 0, cancel: noop };
    }
    const waitMs = this.expectedWaitMs(this.requestsAhead(request));
    if (!this.mayWait(request, waitMs)) {
      return { admission: Admission.Refused, waitMs, cancel: noop };
    }
    this.enqueue(request);
    this.awaitPermit();
    const cancel = (): void => {
      this.remove(request);
    };
    return { admission: Admission.Queued, waitMs, cancel };
  }

  /** Drops queued requests that can no longer get a slot and a permit in time for their deadline. */
  dropUnservable(): void {
    this.dropUnservableFrom(0);
  }

  /** Drops all queued requests. */
  dropAll(): void {
    this.stopAwaitingPermit();
    this.waiting.splice(0).forEach(({ onDropped }) => onDropped());
  }

  private get supply(): SlotSupply {
    return {
      slots: this.slots,
      permitWaitMs: (ahead) => this.statedLimit.waitMs(ahead),
    };
  }

  private mayWait(request: SlotRequest, waitMs: number): boolean {
    if (this.slots === 0 || this.isFullFor(request)) {
      return false;
    }
    const nowMs = this.clock.monotonicMs();
    const finishMs = waitMs * WAIT_MARGIN_FACTOR + this.expectedServiceMs(request.serviceTimeKey);
    return request.waitLimit === WaitLimit.OnTime
      ? nowMs + finishMs <= Math.min(request.targetAtMs, request.deadlineAtMs)
      : finishMs <= (request.deadlineAtMs - nowMs) * MAX_LATE_FINISH_SHARE;
  }

  /** Whether the queue is full, and no request in it ranks below a new one. */
  private isFullFor(request: SlotRequest): boolean {
    const last = this.waiting.at(-1);
    return (
      this.waiting.length >= this.slots * MAX_QUEUED_PER_SLOT &&
      (last === undefined || compareRank(request, last) >= 0)
    );
  }

  /** Estimates the wait for a slot and a permit behind the given requests, in milliseconds. */
  private expectedWaitMs(ahead: readonly SlotRequest[]): number {
    const totalMs = ahead.reduce(
      (sum, { serviceTimeKey }) => sum + this.expectedServiceMs(serviceTimeKey),
      0,
    );
    return this.waitBehindMs(ahead.length, totalMs);
  }

  /** Estimates the wait behind a number of requests with the given sum of service times. */
  private waitBehindMs(count: number, totalMs: number): number {
    return Math.max(this.slotWaitBehindMs(totalMs), this.statedLimit.waitMs(count));
  }

  private slotWaitBehindMs(totalMs: number): number {
    if (this.slots === 0) {
      return Infinity;
    }
    return this.running < this.slots ? 0 : (totalMs + this.expectedServiceMs('')) / this.slots;
  }

  /** Drops requests from a place in the queue on that cannot be answered behind those before them. */
  private dropUnservableFrom(index: number): void {
    const nowMs = this.clock.monotonicMs();
    let count = 0;
    let totalMs = 0;
    const unservable = this.waiting.filter((request, place) => {
      const serviceMs = this.expectedServiceMs(request.serviceTimeKey);
      const endMs = nowMs + this.waitBehindMs(count, totalMs) + serviceMs * MIN_RUN_SHARE;
      if (place >= index && endMs > request.deadlineAtMs) {
        return true;
      }
      count += 1;
      totalMs += serviceMs;
      return false;
    });
    this.drop(unservable);
  }

  /**
   * Returns the requests that get a slot earlier; a late request is behind all others of its rank.
   */
  private requestsAhead(request: SlotRequest): readonly SlotRequest[] {
    return request.waitLimit === WaitLimit.OnTime
      ? this.order.aheadOf(this.waiting, request, this.supply)
      : this.waiting.filter((other) => compareRank(other, request) <= 0);
  }

  /** Adds a request to the queue, and drops those behind it that can no longer be answered. */
  private enqueue(request: SlotRequest): void {
    if (this.waiting.length >= this.slots * MAX_QUEUED_PER_SLOT) {
      this.drop(this.waiting.slice(-1));
    }
    const index = this.waiting.findIndex((other) => precedes(request, other));
    if (index < 0) {
      this.waiting.push(request);
      return;
    }
    this.waiting.splice(index, 0, request);
    this.dropUnservableFrom(index + 1);
  }

  private remove(request: SlotRequest): void {
    const index = this.waiting.indexOf(request);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
  }

  private occupySlot({ serviceTimeKey }: SlotRequest): Slot {
    this.running += 1;
    const startedMs = this.clock.monotonicMs();
    let isHeld = true;
    return {
      release: (sample) => {
        if (!isHeld) {
          return;
        }
        isHeld = false;
        this.running -= 1;
        const durationMs = this.clock.monotonicMs() - startedMs;
        if (this.isInformative(sample, serviceTimeKey, durationMs)) {
          this.recordServiceTime(serviceTimeKey, durationMs);
        }
        this.grantNext();
      },
    };
  }

  /** A lower bound below the expected service time says nothing. */
  private isInformative(sample: ServiceTimeSample, key: string, durationMs: number): boolean {
    return (
      sample === ServiceTimeSample.Exact ||
      (sample === ServiceTimeSample.AtLeast && durationMs > this.expectedServiceMs(key))
    );
  }

  private recordServiceTime(serviceTimeKey: string, durationMs: number): void {
    const warmMs = this.isWarmingUp() ? durationMs / WARM_UP_FACTOR : durationMs;
    const mean = this.meanServiceMsByKey.get(serviceTimeKey) ?? new SmoothedMean();
    this.meanServiceMsByKey.set(serviceTimeKey, mean);
    mean.add(warmMs);
    this.measuredAtMsByKey.delete(serviceTimeKey);
    this.measuredAtMsByKey.set(serviceTimeKey, this.clock.monotonicMs());
    this.meanServiceMs.add(warmMs);
  }

  private grantNext(): void {
    while (this.running < this.slots && this.waiting.length > 0) {
      this.dropTooLate();
      if (this.waiting.length === 0 || !this.statedLimit.tryTake()) {
        break;
      }
      const next = this.dequeue() as SlotRequest;
      next.onGranted(this.occupySlot(next));
    }
    this.awaitPermit();
  }

  /** Schedules the next grant if requests wait only for a permit. */
  private awaitPermit(): void {
    this.stopAwaitingPermit();
    if (this.waiting.length > 0 && this.running < this.slots) {
      const delayMs = Math.ceil(this.statedLimit.waitMs(0));
      this.stopAwaitingPermit = this.clock.after(delayMs, () => this.grantNext());
    }
  }

  /** Drops requests that can no longer be answered before their deadline. */
  private dropTooLate(): void {
    const nowMs = this.clock.monotonicMs();
    const tooLate = this.waiting.filter(
      ({ deadlineAtMs, serviceTimeKey }) =>
        nowMs + this.expectedServiceMs(serviceTimeKey) * MIN_RUN_SHARE > deadlineAtMs,
    );
    this.drop(tooLate);
  }

  private drop(requests: readonly SlotRequest[]): void {
    requests.forEach((request) => {
      this.remove(request);
      request.onDropped();
    });
  }

  /** Removes and returns the request that gets the next slot. */
  private dequeue(): SlotRequest | undefined {
    const next = this.order.next(this.waiting, this.supply);
    if (next !== undefined) {
      this.remove(next);
    }
    return next;
  }
}
