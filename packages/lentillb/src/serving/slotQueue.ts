/**
 * Decides which requests get the slots of one backend server, in which order, and which are
 * refused. Answers a load that exceeds the slots for seconds at a time, of requests whose value
 * falls sharply once their target latency has passed: a request is refused on arrival if it can't be
 * answered in time, so that its caller can go elsewhere while there is time, and the slots
 * serve requests that still count. Calls that a run waits for have short target latencies and so
 * go
 * before new requests of their priority: refusing one wastes the slot that its run holds.
 */
import type { Clock } from '../kernel/clock.js';
import { SmoothedMean } from './smoothedMean.js';

/** How long a request may be kept waiting for a slot. */
export const Patience = {
  /** Only if it can be answered within its target latency. */
  OnTime: 'on-time',
  /** If it can be answered before its deadline. */
  UntilDeadline: 'until-deadline',
} as const;
export type Patience = (typeof Patience)[keyof typeof Patience];

/** One request for a slot; times are in milliseconds of the clock. */
export interface SlotRequest {
  /** Requests with the same key take about as long. */
  readonly workKey: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** How soon its route wants an answer, in milliseconds; calls inside runs want theirs soonest. */
  readonly targetLatencyMs: number;
  readonly targetAtMs: number;
  readonly deadlineAtMs: number;
  readonly patience: Patience;
  /** Called once, with a slot. */
  readonly onGranted: (slot: Slot) => void;
  /** Called once, where the request is given up after it was queued. */
  readonly onDropped: () => void;
}

/** A slot that a request holds. */
export interface Slot {
  /** Gives the slot back. @param served - whether the backend server ran the request to its end */
  readonly release: (served: boolean) => void;
}

/** What becomes of a request that arrives. */
export const Admission = {
  Granted: 'granted',
  Queued: 'queued',
  Refused: 'refused',
} as const;
export type Admission = (typeof Admission)[keyof typeof Admission];

/** The decision on an arrival and what it is based on. */
export interface AdmissionDecision {
  readonly admission: Admission;
  /** How long a request like it would wait for a slot, in milliseconds. */
  readonly waitMs: number;
  /** Takes a queued request back. */
  readonly cancel: () => void;
}

/** How busy a backend server is. */
export interface SlotLoad {
  readonly slots: number;
  readonly running: number;
  readonly queued: number;
}

/** How long a request is taken to run before the first measurement, in milliseconds. */
const DEFAULT_SERVICE_MS = 50;
/** Work done during warm-up takes about twice as long: the platform's figure for its backend servers. */
const WARM_UP_FACTOR = 2;
/** Requests that wait are never more than this many times the slots, to bound memory. */
const MAX_QUEUED_PER_SLOT = 8;

/** How much longer a wait may become by more urgent requests that arrive later. */
const WAIT_MARGIN_FACTOR = 1.2;
/** The share of the time left within which a late answer must be expected for a request to wait. */
const MAX_LATE_FINISH_SHARE = 0.5;

const noop = (): void => undefined;

/** Below 0 where the first kind of request goes before the second, 0 where neither does. */
function compareRank(left: SlotRequest, right: SlotRequest): number {
  return left.priority - right.priority || left.targetLatencyMs - right.targetLatencyMs;
}

function precedes(request: SlotRequest, other: SlotRequest): boolean {
  return (compareRank(request, other) || request.targetAtMs - other.targetAtMs) < 0;
}

/** The slots of one backend server and the requests that wait for them. */
export class SlotQueue {
  private slots = 0;

  private running = 0;

  private readonly waiting: SlotRequest[] = [];

  private readonly serviceMs = new Map<string, SmoothedMean>();

  private readonly overallMs = new SmoothedMean();

  /**
   * @param clock - the clock that deadlines go by
   * @param isWarmingUp - whether the backend server is still warming up
   */
  constructor(
    private readonly clock: Clock,
    private readonly isWarmingUp: () => boolean,
  ) {}

  /** How busy it is. */
  get load(): SlotLoad {
    return { slots: this.slots, running: this.running, queued: this.waiting.length };
  }

  /** @param slots - how many requests the backend server runs at a time */
  resize(slots: number): void {
    this.slots = slots;
    this.grantNext();
  }

  /**
   * Decides on a request.
   *
   * @param request - the request
   * @returns the decision; `onGranted` has been called where a slot was free
   */
  admit(request: SlotRequest): AdmissionDecision {
    if (this.running < this.slots && this.waiting.length === 0) {
      request.onGranted(this.occupySlot(request));
      return { admission: Admission.Granted, waitMs: 0, cancel: noop };
    }
    const waitMs = this.expectedWaitMs(this.requestsAhead(request));
    if (!this.mayWait(request, waitMs)) {
      return { admission: Admission.Refused, waitMs, cancel: noop };
    }
    this.enqueue(request);
    const cancel = (): void => {
      this.remove(request);
    };
    return { admission: Admission.Queued, waitMs, cancel };
  }

  /** Gives up all requests that wait. */
  dropAll(): void {
    this.waiting.splice(0).forEach(({ onDropped }) => onDropped());
  }

  private mayWait(request: SlotRequest, waitMs: number): boolean {
    if (this.slots === 0 || this.waiting.length >= this.slots * MAX_QUEUED_PER_SLOT) {
      return false;
    }
    const nowMs = this.clock.monotonicMs();
    const finishMs = waitMs * WAIT_MARGIN_FACTOR + this.expectedServiceMs(request.workKey);
    return request.patience === Patience.OnTime
      ? nowMs + finishMs <= Math.min(request.targetAtMs, request.deadlineAtMs)
      : finishMs <= (request.deadlineAtMs - nowMs) * MAX_LATE_FINISH_SHARE;
  }

  private expectedServiceMs(workKey: string): number {
    const measured =
      this.serviceMs.get(workKey)?.value ?? this.overallMs.value ?? DEFAULT_SERVICE_MS;
    return this.isWarmingUp() ? measured * WARM_UP_FACTOR : measured;
  }

  /** How long until a slot is free for a request with others ahead of it. */
  private expectedWaitMs(ahead: readonly SlotRequest[]): number {
    if (this.slots === 0) {
      return Infinity;
    }
    if (this.running < this.slots) {
      return 0;
    }
    const aheadMs = ahead.reduce((sum, { workKey }) => sum + this.expectedServiceMs(workKey), 0);
    return (aheadMs + this.expectedServiceMs('')) / this.slots;
  }

  /** The requests that get a slot earlier; one that may be late goes behind all of its kind. */
  private requestsAhead(request: SlotRequest): readonly SlotRequest[] {
    return request.patience === Patience.OnTime
      ? this.waiting.filter((other) => !precedes(request, other))
      : this.waiting.filter((other) => compareRank(other, request) <= 0);
  }

  private enqueue(request: SlotRequest): void {
    const index = this.waiting.findIndex((other) => precedes(request, other));
    this.waiting.splice(index < 0 ? this.waiting.length : index, 0, request);
  }

  private remove(request: SlotRequest): void {
    const index = this.waiting.indexOf(request);
    if (index >= 0) {
      this.waiting.splice(index, 1);
    }
  }

  private occupySlot({ workKey }: SlotRequest): Slot {
    this.running += 1;
    const startedMs = this.clock.monotonicMs();
    let isHeld = true;
    return {
      release: (served) => {
        if (!isHeld) {
          return;
        }
        isHeld = false;
        this.running -= 1;
        if (served) {
          this.recordServiceTime(workKey, this.clock.monotonicMs() - startedMs);
        }
        this.grantNext();
      },
    };
  }

  private recordServiceTime(workKey: string, durationMs: number): void {
    const warmMs = this.isWarmingUp() ? durationMs / WARM_UP_FACTOR : durationMs;
    const mean = this.serviceMs.get(workKey) ?? new SmoothedMean();
    this.serviceMs.set(workKey, mean);
    mean.add(warmMs);
    this.overallMs.add(warmMs);
  }

  private grantNext(): void {
    while (this.running < this.slots && this.waiting.length > 0) {
      this.dropTooLate();
      const next = this.dequeue();
      if (next === undefined) {
        return;
      }
      next.onGranted(this.occupySlot(next));
    }
  }

  /** Gives up requests that would not be answered before their deadline any more. */
  private dropTooLate(): void {
    const nowMs = this.clock.monotonicMs();
    const tooLate = this.waiting.filter(
      ({ deadlineAtMs, workKey }) => nowMs + this.expectedServiceMs(workKey) / 2 > deadlineAtMs,
    );
    tooLate.forEach((request) => {
      this.remove(request);
      request.onDropped();
    });
  }

  /** Of the most urgent kind the first request that can still be on time, else the first. */
  private dequeue(): SlotRequest | undefined {
    const nowMs = this.clock.monotonicMs();
    const [first] = this.waiting;
    if (first === undefined) {
      return undefined;
    }
    const onTime = this.waiting.find(
      (request) =>
        compareRank(request, first) === 0 &&
        nowMs + this.expectedServiceMs(request.workKey) <= request.targetAtMs,
    );
    const next = onTime ?? first;
    this.remove(next);
    return next;
  }
}
