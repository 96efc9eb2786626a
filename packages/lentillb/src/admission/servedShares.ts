/**
 * Finds customers and kinds of requests that get far fewer of their requests served than others. Under
 * a lasting overload, an order by priority alone would serve those of the lowest rank never.
 */
import type { Clock } from '../kernel/clock.js';
import { DecayingCount } from './decayingCount.js';

interface GroupCounts {
  readonly arrived: DecayingCount;
  readonly served: DecayingCount;
}

/** The mean age of the requests that shares are computed from, in milliseconds. */
const SHARE_AGE_MS = 10_000;
/**
 * The share of the overall served share below which a group is underserved. It is to get a quarter;
 * the rest allows for the delay until a slot becomes free.
 */
const MIN_RELATIVE_SHARE = 0.35;
/**
 * The weight of the overall share in that of a group, in requests. A group with a handful of requests
 * must be found underserved before its caller gives up.
 */
const PRIOR_REQUESTS = 0.5;
/** The number of groups beyond which those without recent requests are forgotten. */
const MAX_GROUPS = 1_000;
const MIN_RECENT_REQUESTS = 0.01;

function createCounts(): GroupCounts {
  return { arrived: new DecayingCount(SHARE_AGE_MS), served: new DecayingCount(SHARE_AGE_MS) };
}

/** The shares of requests that were served lately, by group and over all. */
export class ServedShares {
  private readonly all = createCounts();

  private readonly byGroup = new Map<string, GroupCounts>();

  /** @param clock - the clock for the age of requests */
  constructor(private readonly clock: Clock) {}

  /**
   * Records the arrival of a request.
   *
   * @param groups - the groups that it belongs to
   */
  recordArrival(groups: readonly string[]): void {
    const nowMs = this.clock.monotonicMs();
    this.all.arrived.add(nowMs);
    groups.forEach((group) => this.countsOf(group).arrived.add(nowMs));
  }

  /**
   * Records that a request got a slot.
   *
   * @param groups - the groups that it belongs to
   */
  recordServed(groups: readonly string[]): void {
    const nowMs = this.clock.monotonicMs();
    this.all.served.add(nowMs);
    groups.forEach((group) => this.countsOf(group).served.add(nowMs));
  }

  /**
   * Checks whether a group gets a far smaller share of its requests served than all groups together.
   *
   * @param group - the group
   * @returns whether it is underserved
   */
  isUnderserved(group: string): boolean {
    const counts = this.byGroup.get(group);
    if (counts === undefined) {
      return false;
    }
    const nowMs = this.clock.monotonicMs();
    const overall =
      this.all.served.valueAt(nowMs) /
      Math.max(MIN_RECENT_REQUESTS, this.all.arrived.valueAt(nowMs));
    const served = counts.served.valueAt(nowMs) + PRIOR_REQUESTS * overall;
    const arrived = counts.arrived.valueAt(nowMs) + PRIOR_REQUESTS;
    return served / arrived < MIN_RELATIVE_SHARE * overall;
  }

  private countsOf(group: string): GroupCounts {
    const known = this.byGroup.get(group);
    if (known !== undefined) {
      return known;
    }
    if (this.byGroup.size >= MAX_GROUPS) {
      this.forgetIdle();
    }
    const counts = createCounts();
    this.byGroup.set(group, counts);
    return counts;
  }

  private forgetIdle(): void {
    const nowMs = this.clock.monotonicMs();
    this.byGroup.forEach(({ arrived }, group) => {
      if (arrived.valueAt(nowMs) < MIN_RECENT_REQUESTS) {
        this.byGroup.delete(group);
      }
    });
  }
}
