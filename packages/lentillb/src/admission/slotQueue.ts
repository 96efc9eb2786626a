/**
 * Decides which requests get the slots of one backend server, in which order, and which are
 * refused. The load may exceed the slots for seconds at a time, and an answer loses most of its value
 * once the target latency has passed. A request that cannot be answered in time is therefore refused
 * on arrival: its caller can still try another backend server, and the slots serve requests whose
 * answers count. If the backend server states a request limit, a slot also needs a permit. Calls made
 * inside a run have short target latencies, so they precede new requests of the same priority:
 * refusing such a call wastes the slot that its run holds. Which requests have a claim on the slots
 * before others is decided by `slotClaims.ts`.
 */
import type { Clock } from '../kernel/clock.js';
import type { RankedRequest, SlotSupply } from './slotOrder.js';
import { spreadWaitMs } from './retryAfter.js';
import type { ClaimingRequest, Claims, RequestClaim } from './slotClaims.js';
import { SlotClaims } from './slotClaims.js';
import { compareRank, precedes, SlotOrder, Standing } from './slotOrder.js';
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
export interface SlotRequest extends ClaimingRequest {
  /** The priority of the customer; 0 is the most urgent, and that of requests without one. */
  readonly customerPriority: number;
  readonly deadlineAtMs: number;
  readonly waitLimit: WaitLimit;
  /** Called once, when the request gets a slot. */
  readonly onGranted: (slot: Slot) => void;
  /** Called once, when the request is dropped from the queue. */
  readonly onDropped: () => void;
}

/** A request with what its place in the queue depends on. */
interface RankedSlotRequest extends SlotRequest, RankedRequest, RequestClaim {}

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
  readonly standing: Standing;
  /** The number of slots that the request must leave to calls. */
  readonly reserved: number;
  /** The expected wait for a slot, or that to state to a refused caller, in milliseconds. */
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

/**
 * The share of the slots that is used at first where an earlier process of this node may have requests
 * in progress at the backend server.
 */
const INHERITED_SLOT_SHARE = 1 / 3;
/**
 * The time after which the requests of an earlier process count as ended, in milliseconds. Nearly all
 * runs are shorter, and the process took some time to start.
 */
const INHERITED_RUN_MS = 2_000;

/** How often the slots left to calls are computed again while requests wait for them, in milliseconds. */
const RESERVE_REVIEW_MS = 50;

const noop = (): void => undefined;

/** Manages the slots of one backend server and the requests that wait for them. */
export class SlotQueue {
  private slots = 0;

  private running = 0;

  /** The number of slots that calls occupy. */
  private runningCalls = 0;

  /** The number of slots that requests of an earlier process may still occupy. */
  private inheritedSlots = 0;

  private readonly waiting: RankedSlotRequest[] = [];

  private readonly meanServiceMsByKey = new Map<string, SmoothedMean>();

  /** When each key last got a sample, oldest first. */
  private readonly measuredAtMsByKey = new Map<string, number>();

  private readonly meanServiceMs = new SmoothedMean();

  private stopAwaitingPermit: () => void = noop;

  private readonly order: SlotOrder;

  private readonly claims: Claims;

  /**
   * @param clock - the clock for deadlines and service times
   * @param isWarmingUp - returns whether the backend server is still warming up
   * @param statedLimit - the request limit of the backend server
   * @param claims - the claims on the slots; by default, those that follow from recent requests
   */
  constructor(
    private readonly clock: Clock,
    private readonly isWarmingUp: () => boolean,
    private readonly statedLimit: StatedLimit,
    claims?: Claims,
  ) {
    const expectedServiceMs = (key: string): number => this.expectedServiceMs(key);
    this.order = new SlotOrder(clock, expectedServiceMs);
    this.claims = claims ?? new SlotClaims(clock, expectedServiceMs);
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
   * Sets the number of slots and grants free ones to waiting requests. Where an earlier process of this
   * node may have requests in progress, some slots are used only once answers show that the backend
   * server keeps up: it may never answer a request beyond its slots.
   *
   * @param slots - the number of requests that the backend server runs concurrently
   * @param isInherited - whether an earlier process of this node sent requests to the backend server
   */
  resize(slots: number, isInherited = false): void {
    if (isInherited && this.slots === 0) {
      this.inheritedSlots = slots - Math.ceil(slots * INHERITED_SLOT_SHARE);
      this.clock.after(INHERITED_RUN_MS, () => {
        this.inheritedSlots = 0;
        this.grantNext();
      });
    }
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
    const claim = this.claims.rank(request, this.slots);
    const ranked: RankedSlotRequest = { ...request, ...claim };
    const decision = { standing: claim.standing, reserved: this.reservedAgainst(ranked) };
    if (this.isNext(ranked) && this.hasSlotFor(ranked) && this.statedLimit.tryTake()) {
      request.onGranted(this.occupySlot(ranked));
      return { ...decision, admission: Admission.Granted, waitMs: 0, cancel: noop };
    }
    const waitMs = this.expectedWaitMs(ranked, this.requestsAhead(ranked));
    if (!this.mayWait(ranked, waitMs)) {
      const statedMs = this.statedWaitMs(ranked, waitMs);
      return { ...decision, admission: Admission.Refused, waitMs: statedMs, cancel: noop };
    }
    this.enqueue(ranked);
    this.awaitPermit();
    const cancel = (): void => {
      this.remove(ranked);
    };
    return { ...decision, admission: Admission.Queued, waitMs, cancel };
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

  /** Whether no request waits that goes before a new one and could get the same slot. */
  private isNext(request: RankedSlotRequest): boolean {
    return this.waiting.every((other) => precedes(request, other) && !this.hasSlotFor(other));
  }

  /** The number of slots that a request must leave to calls. */
  private reservedAgainst(request: RankedSlotRequest): number {
    return request.isCall || request.standing === Standing.Starving
      ? 0
      : this.claims.reservedAgainst(request, this.slots);
  }

  /** The number of slots that no request of an earlier process can occupy; at least 1, if any. */
  private get ownSlots(): number {
    return Math.max(Math.min(1, this.slots), this.slots - this.inheritedSlots);
  }

  /** Whether a slot is free that a request need not leave to calls. */
  private hasSlotFor(request: RankedSlotRequest): boolean {
    if (this.running >= this.ownSlots) {
      return false;
    }
    const reserved = this.reservedAgainst(request);
    return reserved === 0 || this.running - this.runningCalls < this.slots - reserved;
  }

  private mayWait(request: RankedSlotRequest, waitMs: number): boolean {
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
  private isFullFor(request: RankedSlotRequest): boolean {
    const last = this.waiting.at(-1);
    return (
      this.waiting.length >= this.slots * MAX_QUEUED_PER_SLOT &&
      (last === undefined || compareRank(request, last) >= 0)
    );
  }

  /**
   * Returns the wait to state to a refused caller. Without customers, it is the expected one: callers
   * that return earlier than they could are served less often where the overload lasts.
   */
  private statedWaitMs({ deadlineAtMs }: SlotRequest, waitMs: number): number {
    const remainingMs = Math.max(0, deadlineAtMs - this.clock.monotonicMs());
    return this.claims.isInEffect ? spreadWaitMs({ remainingMs, waitMs }) : waitMs;
  }

  /** Estimates the wait for a slot and a permit behind the given requests, in milliseconds. */
  private expectedWaitMs(request: RankedSlotRequest, ahead: readonly RankedSlotRequest[]): number {
    const totalMs = ahead.reduce(
      (sum, { serviceTimeKey }) => sum + this.expectedServiceMs(serviceTimeKey),
      0,
    );
    return this.waitBehindMs(request, ahead.length, totalMs);
  }

  /** Estimates the wait behind a number of requests with the given sum of service times. */
  private waitBehindMs(request: RankedSlotRequest, count: number, totalMs: number): number {
    return Math.max(this.slotWaitBehindMs(request, totalMs), this.statedLimit.waitMs(count));
  }

  private slotWaitBehindMs(request: RankedSlotRequest, totalMs: number): number {
    if (this.slots === 0) {
      return Infinity;
    }
    if (this.hasSlotFor(request)) {
      return 0;
    }
    const usableSlots = Math.min(this.ownSlots, this.slots - this.reservedAgainst(request));
    return (totalMs + this.expectedServiceMs('')) / usableSlots;
  }

  /** Drops requests from a place in the queue on that cannot be answered behind those before them. */
  private dropUnservableFrom(index: number): void {
    const nowMs = this.clock.monotonicMs();
    let count = 0;
    let totalMs = 0;
    const unservable = this.waiting.filter((request, place) => {
      const serviceMs = this.expectedServiceMs(request.serviceTimeKey);
      const endMs = nowMs + this.waitBehindMs(request, count, totalMs) + serviceMs * MIN_RUN_SHARE;
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
  private requestsAhead(request: RankedSlotRequest): readonly RankedSlotRequest[] {
    return request.waitLimit === WaitLimit.OnTime
      ? this.order.aheadOf(this.waiting, request, this.supply)
      : this.waiting.filter((other) => compareRank(other, request) <= 0);
  }

  /** Adds a request to the queue, and drops those behind it that can no longer be answered. */
  private enqueue(request: RankedSlotRequest): void {
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

  private remove(request: RankedSlotRequest): void {
    const index = this.waiting.indexOf(request);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
  }

  private occupySlot(request: RankedSlotRequest): Slot {
    const { isCall, serviceTimeKey } = request;
    this.running += 1;
    this.runningCalls += isCall ? 1 : 0;
    this.claims.recordServed(request);
    const startedMs = this.clock.monotonicMs();
    let isHeld = true;
    return {
      release: (sample) => {
        if (!isHeld) {
          return;
        }
        isHeld = false;
        this.running -= 1;
        this.runningCalls -= isCall ? 1 : 0;
        if (sample === ServiceTimeSample.Exact) {
          this.inheritedSlots = Math.max(0, this.inheritedSlots - 1);
        }
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
    while (this.running < this.ownSlots && this.waiting.length > 0) {
      this.dropTooLate();
      const next = this.nextRequest();
      if (next === undefined || !this.statedLimit.tryTake()) {
        break;
      }
      this.remove(next);
      next.onGranted(this.occupySlot(next));
    }
    this.awaitPermit();
  }

  /** Schedules the next grant if requests wait only for a permit, or for slots that calls may need. */
  private awaitPermit(): void {
    this.stopAwaitingPermit();
    if (this.waiting.length > 0 && this.running < this.ownSlots) {
      const permitMs = Math.ceil(this.statedLimit.waitMs(0));
      const isReserved = this.waiting.every((request) => !this.hasSlotFor(request));
      const delayMs = isReserved ? Math.max(RESERVE_REVIEW_MS, permitMs) : permitMs;
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

  private drop(requests: readonly RankedSlotRequest[]): void {
    requests.forEach((request) => {
      this.remove(request);
      request.onDropped();
    });
  }

  /** Chooses the request that gets the next slot; undefined if all free ones are left to calls. */
  private nextRequest(): RankedSlotRequest | undefined {
    const mayRun = this.waiting.filter((request) => this.hasSlotFor(request));
    return this.order.next(mayRun, this.supply);
  }
}
