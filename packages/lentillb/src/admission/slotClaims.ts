/**
 * Decides which requests have a claim on the slots of a backend server before others. Calls inside
 * runs come first where requests of customers arrive: refusing a call wastes the slot that its run
 * holds elsewhere. Customers and kinds of requests that are underserved come next. Slots that calls
 * need to be on time are not given to less urgent requests.
 */
import type { Clock } from '../kernel/clock.js';
import { DecayingCount } from './decayingCount.js';
import type { KindArrivals, KindProperties } from './requestKinds.js';
import { RequestKinds } from './requestKinds.js';
import { ServedShares } from './servedShares.js';
import { slotsToReserve } from './slotReserve.js';
import { Standing } from './slotOrder.js';

/** A request that claims a slot; times are in milliseconds. */
export interface ClaimingRequest extends KindProperties {
  /** The monotonic time until which an answer has its full value. */
  readonly targetAtMs: number;
}

/** The claims of requests on the slots of one backend server. */
export interface Claims {
  /**
   * Whether requests are ordered by more than their routes. Without customers, the order and the waits
   * stay as the routes define them.
   */
  readonly isInEffect: boolean;
  /**
   * Records the arrival of a request, and decides how it ranks.
   *
   * @param request - the request
   * @param slots - the number of slots
   * @returns its standing, and whether it was refused before
   */
  rank(request: ClaimingRequest, slots: number): RequestClaim;
  /**
   * Returns the number of slots that a request must leave to calls.
   *
   * @param request - the request
   * @param slots - the number of slots
   * @returns the number of slots
   */
  reservedAgainst(request: KindProperties, slots: number): number;
  /**
   * Records that a request got a slot.
   *
   * @param request - the request
   */
  recordServed(request: KindProperties): void;
}

/** How a request ranks before the priorities of its customer and its route are compared. */
export interface RequestClaim {
  readonly standing: Standing;
  readonly isCall: boolean;
  /** Whether an earlier attempt of its caller was refused. */
  readonly wasRefused: boolean;
}

interface Reserve {
  readonly validUntilMs: number;
  readonly slots: number;
  /** The number of reserved slots by the priority of the requests that must leave them. */
  readonly byPriority: Map<number, number>;
}

/** How long a computed reserve is used, in milliseconds. */
const RESERVE_MS = 50;
/**
 * The time since the first attempt of a caller from which a request counts as a later one, in
 * milliseconds. Asking two gates before this one takes less.
 */
const MIN_RETURN_AGE_MS = 20;
/** The mean age of the slot time of calls that their share is computed from, in milliseconds. */
const CALL_SLOT_AGE_MS = 5_000;
/**
 * The share of the slots that calls must hold on average before underserved requests go before them.
 * Calls alone would otherwise keep all others from being served. In single moments of a burst, calls
 * may hold as many while others are served enough.
 */
const MAX_CALL_SLOT_SHARE = 0.75;

/** Returns the groups of a request whose served shares are compared. */
function groupsOf({ customer, serviceTimeKey }: KindProperties): readonly string[] {
  const kind = `kind ${serviceTimeKey}`;
  return customer === undefined ? [kind] : [kind, `customer ${customer}`];
}

/** Returns the mean of a property of kinds, weighted by their arrivals. */
function meanOf(kinds: readonly KindArrivals[], property: (kind: KindArrivals) => number): number {
  const total = kinds.reduce((sum, { perMs }) => sum + perMs, 0);
  return kinds.reduce((sum, kind) => sum + kind.perMs * property(kind), 0) / total;
}

/** The claims that follow from what arrived and was served lately. */
export class SlotClaims implements Claims {
  private readonly kinds: RequestKinds;

  private readonly shares: ServedShares;

  /** The slot time that calls were given lately, in milliseconds. */
  private readonly callSlotTime = new DecayingCount(CALL_SLOT_AGE_MS);

  private reserve: Reserve | undefined;

  /**
   * @param clock - the clock for rates
   * @param expectedServiceMs - returns the service time to expect for a key, in milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly expectedServiceMs: (serviceTimeKey: string) => number,
  ) {
    this.kinds = new RequestKinds(clock);
    this.shares = new ServedShares(clock);
  }

  get isInEffect(): boolean {
    return this.kinds.hasCustomers;
  }

  rank(request: ClaimingRequest, slots: number): RequestClaim {
    this.kinds.record(request);
    const isCall = this.kinds.isCall(request);
    if (!this.isInEffect) {
      return { standing: Standing.Ordinary, isCall, wasRefused: false };
    }
    const groups = groupsOf(request);
    const isUnderserved = groups.some((group) => this.shares.isUnderserved(group));
    this.shares.recordArrival(groups);
    const triedMs = this.clock.monotonicMs() + request.targetLatencyMs - request.targetAtMs;
    const wasRefused = triedMs >= MIN_RETURN_AGE_MS;
    if (isCall) {
      return { standing: Standing.Call, isCall, wasRefused };
    }
    if (!isUnderserved) {
      return { standing: Standing.Ordinary, isCall, wasRefused };
    }
    const slotsOfCalls = this.callSlotTime.ratePerMs(this.clock.monotonicMs());
    const doCallsTakeAll = slotsOfCalls >= slots * MAX_CALL_SLOT_SHARE;
    const standing = doCallsTakeAll ? Standing.Starving : Standing.Underserved;
    return { standing, isCall, wasRefused };
  }

  reservedAgainst({ priority }: KindProperties, slots: number): number {
    const nowMs = this.clock.monotonicMs();
    if (
      this.reserve === undefined ||
      nowMs >= this.reserve.validUntilMs ||
      slots !== this.reserve.slots
    ) {
      this.reserve = { validUntilMs: nowMs + RESERVE_MS, slots, byPriority: new Map() };
    }
    const { byPriority } = this.reserve;
    const reserved = byPriority.get(priority) ?? this.computeReserve(priority, slots);
    byPriority.set(priority, reserved);
    return reserved;
  }

  recordServed(request: KindProperties): void {
    if (!this.isInEffect) {
      return;
    }
    this.shares.recordServed(groupsOf(request));
    if (this.kinds.isCall(request)) {
      const serviceMs = this.expectedServiceMs(request.serviceTimeKey);
      this.callSlotTime.add(this.clock.monotonicMs(), serviceMs);
    }
  }

  /**
   * Without customers, only calls of a higher priority have a claim, as in the order of requests. With
   * customers, calls have one before requests of equal priority, too.
   */
  private computeReserve(priority: number, slots: number): number {
    const { hasCustomers, recentArrivals } = this.kinds;
    const calls = recentArrivals.filter(
      (kind) =>
        kind.isCall && (hasCustomers ? kind.priority <= priority : kind.priority < priority),
    );
    const others = recentArrivals.filter(({ isCall }) => !isCall);
    if (calls.length === 0 || others.length === 0) {
      return 0;
    }
    return slotsToReserve({
      slots,
      callsPerMs: calls.reduce((sum, { perMs }) => sum + perMs, 0),
      callMs: meanOf(calls, ({ serviceTimeKey }) => this.expectedServiceMs(serviceTimeKey)),
      callTargetMs: meanOf(calls, ({ targetLatencyMs }) => targetLatencyMs),
      otherMs: meanOf(others, ({ serviceTimeKey }) => this.expectedServiceMs(serviceTimeKey)),
    });
  }
}
