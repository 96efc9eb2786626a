/**
 * Divides the rate of one customer among the hosts that ask for it. The sum of the leases that hosts
 * may hold never exceeds the rate, apart from a bounded excess while some hosts can't be heard.
 * Times are monotonic and in milliseconds; rates are per second.
 */
import type { GrantedCustomer, ReportedCustomer } from './allotmentMessage.js';
import type { LeaseRates } from './holding.js';
import { Holding } from './holding.js';
import { QuotaBucket } from './quotaBucket.js';
import type { Quota } from './quotaTerms.js';

/** The validity of a lease from the time the entry asked. */
export const LEASE_MS = 10_000;
/** The time for which a lease counts after the last reply; longer than any host may hold it. */
export const COUNTED_MS = 11_000;
/**
 * The time without a report after which a host may be cut off and use its reserve. It does so later than
 * this time, the interval of the checks and the delay of a report; see `CUT_OFF_MS`.
 */
const SILENT_MS = 1_400;
/** The reserve of a host as a multiple of its demand. */
const RESERVE_FACTOR = 1.3;
/**
 * The demand below which a host leases nothing and asks for single tokens. A host measures two thirds of a
 * request a second after a single request, and where callers of a customer are on all hosts, leases for
 * such demand would hold most of its rate at hosts that do not use it.
 */
const MIN_LEASED_DEMAND = 2;
/** Up to this demand, a host leases less than its demand and asks for single tokens beyond. */
const LOW_DEMAND = 8;
/** From this demand on, a host leases more than its demand; Poisson arrivals vary by a third here. */
const HIGH_DEMAND = 40;
/** The share of the demand that is leased where tokens saved in many buckets would be missing in others. */
const LOW_FACTOR = 0.6;
const HIGH_FACTOR = 1.2;
/** A lease that is wanted to at least this share is kept as it is. */
const KEPT_SHARE = 0.7;
/**
 * The largest share of the rate that one host may hold. While one host can't be heard after a restart of
 * the others, the rest can be granted.
 */
const MAX_SHARE = 2 / 3;
/** Lower rates are not leased, because a bucket saves a whole token however low its rate is. */
const MIN_RATE = 0.05;

function chooseLease(demand: number): number {
  if (demand < MIN_LEASED_DEMAND) {
    return 0;
  }
  const position = (demand - LOW_DEMAND) / (HIGH_DEMAND - LOW_DEMAND);
  const share = Math.min(1, Math.max(0, position));
  return demand * (LOW_FACTOR + share * (HIGH_FACTOR - LOW_FACTOR));
}

/** Avoids small reductions, because what a host gives up is free only after its next report. */
function keepSimilar(target: number, counted: number): number {
  return target < counted && target > KEPT_SHARE * counted ? counted : target;
}

/** The head of a report, and who sent it. */
export interface Reporter {
  readonly host: string;
  readonly processId: number;
  readonly sequence: number;
  readonly applied: number;
}

/** The leases of one customer. */
export class CustomerTable {
  private readonly holdings = new Map<string, Holding>();

  /** The rates that hosts may use now. */
  private sumRate = 0;

  /** The part of `sumRate` of hosts that have not reported lately. */
  private sumSilent = 0;

  /** The rates that hosts may use if none of them reaches an allocator. */
  private sumReserve = 0;

  private sumWanted = 0;

  private sumRounding = 0;

  /** What hosts held by their first reports. */
  private sumKnown = 0;

  /** Saves the tokens of the rate that is not leased. */
  private readonly pool = new QuotaBucket();

  /**
   * @param quota - the limits of the customer
   * @param unknownRate - the rate that hosts may hold in total which have not reported yet
   * @param missingHosts - returns the number of hosts that have not stated all their leases
   */
  constructor(
    private quota: Quota,
    private unknownRate: number,
    private readonly missingHosts: () => number = () => Infinity,
  ) {}

  /** The number of hosts that may hold leases. */
  get size(): number {
    return this.holdings.size;
  }

  /**
   * Applies another version of the limits.
   *
   * @param quota - the limits
   */
  update(quota: Quota): void {
    this.quota = quota;
  }

  /** Records that no host holds a lease that it has not reported. */
  endRecovery(): void {
    this.unknownRate = 0;
  }

  /**
   * Handles what a host reports.
   *
   * @param nowMs - the time
   * @param reporter - the host and the head of its report
   * @param report - what it reports of the customer
   * @returns what the host is granted
   */
  grant(nowMs: number, reporter: Reporter, report: ReportedCustomer): GrantedCustomer {
    const holding = this.acknowledge(nowMs, reporter, report);
    const rates = this.chooseRates(holding, report.demand);
    this.change(holding, () => holding.grant(reporter.sequence, rates));
    this.resizePool(nowMs);
    const { customerHash } = this.quota;
    return { customerHash, ...rates, tokens: this.pool.take(nowMs, report.waiting) };
  }

  /**
   * Records what a host reports without granting it anything.
   *
   * @param nowMs - the time
   * @param reporter - the host and the head of its report
   * @param report - what it reports of the customer
   * @returns the lease of the host
   */
  acknowledge(nowMs: number, reporter: Reporter, report: ReportedCustomer): Holding {
    const { host, processId } = reporter;
    const known = this.holdings.get(host);
    const holding = known ?? new Holding(processId);
    if (known === undefined) {
      this.holdings.set(host, holding);
      this.sumKnown += report.reserve;
    }
    this.change(holding, () => {
      holding.report(nowMs, { ...report, ...reporter }, report.demand * RESERVE_FACTOR);
    });
    return holding;
  }

  /**
   * Removes expired leases, and notes which hosts have not reported lately.
   *
   * @param nowMs - the time
   */
  sweep(nowMs: number): void {
    this.holdings.forEach((holding, host) => {
      const silentMs = nowMs - holding.heardAtMs;
      if (silentMs > SILENT_MS && !holding.isSilent) {
        this.change(holding, () => holding.markSilent());
      }
      if (silentMs > COUNTED_MS) {
        this.change(holding, () => holding.expire());
        this.holdings.delete(host);
      }
    });
    this.resizePool(nowMs);
  }

  /** The rate that hosts may hold which have not reported. */
  private get unknown(): number {
    const rest = Math.max(0, this.unknownRate - this.sumKnown);
    return rest === 0 ? 0 : Math.min(rest, this.missingHosts() * this.maxReserve);
  }

  /** The greatest reserve of a host. */
  private get maxReserve(): number {
    return MAX_SHARE * this.quota.ratePerSecond;
  }

  /**
   * Computes what may still be granted.
   *
   * @param granted - the rates that count
   * @returns the rate that neither they nor hosts that have not reported may use
   */
  private freeBeside(granted: number): number {
    const { overcommitPerSecond, ratePerSecond } = this.quota;
    return Math.min(
      ratePerSecond - (granted - this.sumSilent),
      ratePerSecond + overcommitPerSecond - granted - this.unknown,
    );
  }

  /** The rounding that buckets may still add; hosts that have not reported may use all of it. */
  private get freeRounding(): number {
    return this.unknown > 0 ? 0 : Math.max(0, this.quota.roundingTokens - this.sumRounding);
  }

  private roundingOf({ rate, reserve }: LeaseRates): number {
    const lowest = rate > 0 ? rate : reserve;
    return lowest > 0 ? Math.max(0, 1 - lowest * this.quota.burstSeconds) : 0;
  }

  private chooseRates(holding: Holding, demand: number): LeaseRates {
    const reserve = this.chooseReserve(holding);
    const share = reserve / Math.max(demand * RESERVE_FACTOR, MIN_RATE);
    const lease = chooseLease(demand) * Math.min(1, share);
    const room = this.freeBeside(this.sumRate) + holding.rate;
    const target = keepSimilar(lease, holding.rate);
    const rate = Math.fround(Math.max(0, Math.min(target, reserve, room)));
    const rates = { rate: rate < MIN_RATE ? 0 : rate, reserve: reserve < MIN_RATE ? 0 : reserve };
    const rounding = this.roundingOf(rates) - this.countedRounding(holding);
    return rounding > 0 && rounding > this.freeRounding ? { rate: 0, reserve: 0 } : rates;
  }

  private chooseReserve({ reserve: counted, wanted }: Holding): number {
    const { ratePerSecond } = this.quota;
    const share = wanted * Math.min(1, ratePerSecond / Math.max(this.sumWanted, MIN_RATE));
    const room = Math.min(this.maxReserve, this.freeBeside(this.sumReserve) + counted);
    return Math.fround(Math.max(0, Math.min(keepSimilar(share, counted), room)));
  }

  /** The tokens that the bucket of a host may save beyond its share of the burst. */
  private countedRounding(holding: Holding): number {
    return Math.max(...holding.leases.map((lease) => this.roundingOf(lease)));
  }

  /** Changes the lease of a host, and the sums with it. */
  private change(holding: Holding, apply: () => void): void {
    this.count(holding, -1);
    apply();
    this.count(holding, 1);
  }

  private count(holding: Holding, sign: number): void {
    const { isSilent, rate, reserve, wanted } = holding;
    this.sumRate += sign * rate;
    this.sumReserve += sign * reserve;
    this.sumSilent += isSilent ? sign * rate : 0;
    this.sumWanted += sign * wanted;
    this.sumRounding += sign * this.countedRounding(holding);
  }

  private resizePool(nowMs: number): void {
    const rate = Math.max(0, this.freeBeside(this.sumRate));
    this.pool.resize(nowMs, rate, rate * this.quota.burstSeconds + this.freeRounding);
  }
}
