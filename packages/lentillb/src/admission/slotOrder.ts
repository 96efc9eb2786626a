/**
 * Decides in which order waiting requests get the slots of a backend server: by rank, which is the
 * standing, the priority of the customer, the priority of the route and then the target latency. While all requests of a higher rank stay on time, they yield
 * to one with a shorter target latency, such as a call inside a run: it can wait least, and the run
 * that needs its answer holds a slot meanwhile.
 */
import type { Clock } from '../kernel/clock.js';

/** The standing of a request, which goes before all priorities; the lowest number goes first. */
export const Standing = {
  /** The request belongs to those that are not served since calls take the slots. */
  Starving: 0,
  /** The request is a call inside a run, where requests of customers arrive too. */
  Call: 1,
  /** The request belongs to a customer or a kind that is underserved. */
  Underserved: 2,
  Ordinary: 3,
} as const;
export type Standing = (typeof Standing)[keyof typeof Standing];

/** A request that waits for a slot; times are in milliseconds of the monotonic clock. */
export interface RankedRequest {
  /** The key that groups requests with similar service times. */
  readonly serviceTimeKey: string;
  readonly standing: Standing;
  /** The priority of the customer; 0 is the most urgent, and that of requests without one. */
  readonly customerPriority: number;
  /** The priority of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Whether an earlier attempt of its caller was refused. */
  readonly wasRefused: boolean;
  /** The target latency of the route, in milliseconds; it is shortest for calls inside runs. */
  readonly targetLatencyMs: number;
  readonly targetAtMs: number;
}

/** What the grants of slots depend on. */
export interface SlotSupply {
  /** The number of requests that the backend server runs concurrently. */
  readonly slots: number;
  /**
   * Returns how long a request waits for a permit.
   *
   * @param ahead - the number of requests that get a permit earlier
   * @returns the wait, in milliseconds
   */
  readonly permitWaitMs: (ahead: number) => number;
}

/**
 * The factor on the expected service time of a request that yields. Service times vary widely, and
 * more urgent requests may still arrive.
 */
const YIELD_MARGIN_FACTOR = 2;

/**
 * Compares standing, priority of the customer, priority of the route, then target latency.
 *
 * @param left - a request
 * @param right - another request
 * @returns a negative number if `left` ranks first, 0 if both rank alike
 */
export function compareRank(left: RankedRequest, right: RankedRequest): number {
  return (
    left.standing - right.standing ||
    left.customerPriority - right.customerPriority ||
    left.priority - right.priority ||
    left.targetLatencyMs - right.targetLatencyMs
  );
}

/**
 * Checks whether a request goes before another one in the queue.
 *
 * @param request - a request
 * @param other - another request
 * @returns whether it ranks first, or ranks alike and was refused before or is due sooner
 */
export function precedes(request: RankedRequest, other: RankedRequest): boolean {
  const order =
    compareRank(request, other) ||
    Number(other.wasRefused) - Number(request.wasRefused) ||
    request.targetAtMs - other.targetAtMs;
  return order < 0;
}

/** The order of the requests that wait for the slots of one backend server. */
export class SlotOrder {
  /**
   * @param clock - the clock for targets
   * @param expectedServiceMs - returns the service time to expect for a key, in milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly expectedServiceMs: (serviceTimeKey: string) => number,
  ) {}

  /**
   * Chooses the request that gets the next slot.
   *
   * @param waiting - the waiting requests, in the order of `precedes`
   * @param supply - what the grants depend on
   * @returns the request; undefined if none waits
   */
  next<Request extends RankedRequest>(
    waiting: readonly Request[],
    supply: SlotSupply,
  ): Request | undefined {
    const [first] = waiting;
    if (first === undefined) {
      return undefined;
    }
    const highest =
      waiting.find((request) => compareRank(request, first) === 0 && this.canBeOnTime(request)) ??
      first;
    const pressing = this.mostPressing(waiting, highest);
    const ahead = waiting.filter((other) => compareRank(other, pressing) < 0);
    return this.canAllYield(ahead, pressing, supply) ? pressing : highest;
  }

  /**
   * Selects the waiting requests that get a slot before a request that is to be on time.
   *
   * @param waiting - the waiting requests, in the order of `precedes`
   * @param request - the request, which does not wait yet
   * @param supply - what the grants depend on
   * @returns those that precede it and do not yield
   */
  aheadOf<Request extends RankedRequest>(
    waiting: readonly Request[],
    request: Request,
    supply: SlotSupply,
  ): readonly Request[] {
    const ahead = waiting.filter((other) => !precedes(request, other));
    const unyielding = ahead.filter((other) => !this.isMorePressing(request, other));
    const yields = unyielding.length < ahead.length && this.canAllYield(ahead, request, supply);
    return yields ? unyielding : ahead;
  }

  /** Returns the most pressing request of a lower rank than a given one, else the given one. */
  private mostPressing<Request extends RankedRequest>(
    waiting: readonly Request[],
    highest: Request,
  ): Request {
    return waiting.reduce(
      (pressing, request) =>
        this.isMorePressing(request, highest) &&
        this.latestStartAtMs(request) < this.latestStartAtMs(pressing)
          ? request
          : pressing,
      highest,
    );
  }

  /** Whether a request is on time only if it starts sooner than one with a longer target latency. */
  private isMorePressing(request: RankedRequest, other: RankedRequest): boolean {
    return (
      request.targetLatencyMs < other.targetLatencyMs &&
      this.latestStartAtMs(request) < this.latestStartAtMs(other) &&
      this.canBeOnTime(request)
    );
  }

  private canBeOnTime(request: RankedRequest): boolean {
    return this.clock.monotonicMs() <= this.latestStartAtMs(request);
  }

  /** Returns when a request must get a slot at the latest to be on time. */
  private latestStartAtMs(request: RankedRequest): number {
    return request.targetAtMs - this.serviceMs(request);
  }

  /** Whether requests are still on time if one of a lower rank gets a slot before them. */
  private canAllYield(
    ahead: readonly RankedRequest[],
    request: RankedRequest,
    { permitWaitMs, slots }: SlotSupply,
  ): boolean {
    const nowMs = this.clock.monotonicMs();
    let beforeMs = this.serviceMs(request);
    return ahead.every((other, index) => {
      const serviceMs = this.serviceMs(other);
      const waitMs = Math.max(beforeMs / slots, permitWaitMs(index + 1));
      beforeMs += serviceMs;
      return nowMs + waitMs + serviceMs * YIELD_MARGIN_FACTOR <= other.targetAtMs;
    });
  }

  private serviceMs({ serviceTimeKey }: RankedRequest): number {
    return this.expectedServiceMs(serviceTimeKey);
  }
}
