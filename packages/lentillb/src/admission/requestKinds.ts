/**
 * Learns which kinds of requests arrive at a gate, and which of them are calls that backend servers
 * make inside runs. Nothing in a request states that it is a call. Calls carry no customer, and their
 * target latency is short, since it is a part of the target latency of the run that waits for them.
 */
import type { Clock } from '../kernel/clock.js';
import { DecayingCount } from './decayingCount.js';

/** What identifies the kind of a request and describes it. */
export interface KindProperties {
  /** The route, by which service times are grouped. */
  readonly serviceTimeKey: string;
  /** The priority of the route; 0 is the most urgent. */
  readonly priority: number;
  /** The target latency of the route, in milliseconds. */
  readonly targetLatencyMs: number;
  /** The name of the customer; undefined for requests without one. */
  readonly customer?: string | undefined;
}

/** The recent arrivals of one kind of request. */
export interface KindArrivals {
  readonly serviceTimeKey: string;
  readonly priority: number;
  readonly targetLatencyMs: number;
  /** Whether requests of this kind are calls. */
  readonly isCall: boolean;
  readonly perMs: number;
}

interface Kind {
  readonly serviceTimeKey: string;
  readonly arrivals: DecayingCount;
  priority: number;
  targetLatencyMs: number;
  hasCustomer: boolean;
  arrivedAtMs: number;
}

interface Summary {
  readonly validUntilMs: number;
  /** The longest target latencies of the kinds that calls compete with, the longest first. */
  readonly longest: readonly Kind[];
  readonly hasCustomers: boolean;
  readonly arrivals: readonly KindArrivals[];
}

/** The mean age of the arrivals that a rate is computed from, in milliseconds. */
const RATE_AGE_MS = 2_000;
/** How long a kind is remembered after its last arrival, in milliseconds. */
const KIND_MEMORY_MS = 10_000;
/** How long a summary is used, in milliseconds, to keep its cost off each request. */
const SUMMARY_MS = 20;
/**
 * The largest target latency of calls, as a share of the longest target latency at the same gate. A
 * run that makes calls one after the other, and works itself, gives each of them less than half.
 */
const MAX_CALL_TARGET_SHARE = 0.5;

/** The kinds of requests that arrived at one gate lately. */
export class RequestKinds {
  private readonly kinds = new Map<string, Kind>();

  private summary: Summary | undefined;

  /** @param clock - the clock for rates */
  constructor(private readonly clock: Clock) {}

  /** Whether requests of customers arrived lately. */
  get hasCustomers(): boolean {
    return this.summarize().hasCustomers;
  }

  /** The recent arrivals by kind. */
  get recentArrivals(): readonly KindArrivals[] {
    return this.summarize().arrivals;
  }

  /**
   * Records the arrival of a request.
   *
   * @param request - the request
   */
  record({ customer, priority, serviceTimeKey, targetLatencyMs }: KindProperties): void {
    const nowMs = this.clock.monotonicMs();
    const hasCustomer = customer !== undefined;
    const known = this.kinds.get(serviceTimeKey);
    if (known === undefined || known.hasCustomer !== hasCustomer) {
      this.summary = undefined;
    }
    const kind = known ?? {
      serviceTimeKey,
      arrivals: new DecayingCount(RATE_AGE_MS),
      priority,
      targetLatencyMs,
      hasCustomer,
      arrivedAtMs: nowMs,
    };
    this.kinds.set(serviceTimeKey, kind);
    kind.arrivals.add(nowMs);
    kind.priority = priority;
    kind.targetLatencyMs = targetLatencyMs;
    kind.hasCustomer = hasCustomer;
    kind.arrivedAtMs = nowMs;
  }

  /**
   * Checks whether a request is a call: it has no customer, others have one or there are none, and its
   * target latency is short beside that of another route.
   *
   * @param request - a request whose arrival has been recorded
   * @returns whether it is a call
   */
  isCall({ customer, serviceTimeKey, targetLatencyMs }: KindProperties): boolean {
    if (customer !== undefined) {
      return false;
    }
    const other = this.summarize().longest.find((kind) => kind.serviceTimeKey !== serviceTimeKey);
    return other !== undefined && targetLatencyMs <= other.targetLatencyMs * MAX_CALL_TARGET_SHARE;
  }

  private summarize(): Summary {
    const nowMs = this.clock.monotonicMs();
    if (this.summary !== undefined && nowMs < this.summary.validUntilMs) {
      return this.summary;
    }
    this.kinds.forEach(({ arrivedAtMs, serviceTimeKey }) => {
      if (nowMs - arrivedAtMs > KIND_MEMORY_MS) {
        this.kinds.delete(serviceTimeKey);
      }
    });
    const all = [...this.kinds.values()];
    const hasCustomers = all.some(({ hasCustomer }) => hasCustomer);
    const longest = all
      .filter(({ hasCustomer }) => hasCustomer || !hasCustomers)
      .sort((left, right) => right.targetLatencyMs - left.targetLatencyMs)
      .slice(0, 2);
    this.summary = { validUntilMs: nowMs + SUMMARY_MS, longest, hasCustomers, arrivals: [] };
    const arrivals = all.map((kind) => ({
      serviceTimeKey: kind.serviceTimeKey,
      priority: kind.priority,
      targetLatencyMs: kind.targetLatencyMs,
      isCall: !kind.hasCustomer && this.isCall(kind),
      perMs: kind.arrivals.ratePerMs(nowMs),
    }));
    this.summary = { ...this.summary, arrivals };
    return this.summary;
  }
}
