/* eslint-disable max-classes-per-file -- a waiter is part of a lease */
/**
 * Admits the requests of one customer at one entry, by the tokens of the lease that the entry holds.
 * Times are monotonic and in milliseconds; rates are per second.
 */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import type { GrantedCustomer, ReportedCustomer } from './allotmentMessage.js';
import type { LeaseRates } from './holding.js';
import { QuotaBucket } from './quotaBucket.js';
import type { Quota } from './quotaTerms.js';

const MS_PER_SECOND = 1_000;
/** How long a request waits for the reply of the allocator, which a busy processor may delay. */
const REPLY_WAIT_MS = 250;
/** The time after which a waiting request is reported again: datagrams are lost where a link is full. */
const REPEAT_MS = 60;
/** The time after a reply that grants too little for which requests without a token are refused at once. */
const LIMITED_MS = 100;
/** The most requests of a customer that wait; more are refused at once. */
const MAX_WAITING = 500;
/** The time constant of the measured demand. */
const DEMAND_TIME_MS = 1_500;
/** A lease that shrinks to less than this share is reported at once. */
const REDUCED_SHARE = 0.6;
/** The demand below which a customer counts as idle, per second. */
const MIN_DEMAND = 0.05;
/** The shortest time until a retry; a round trip and a new connection take about this long. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 1_000;
/** The range of the jitter of that time, so that retries don't form the next peak. */
const JITTER_SHARE = 0.5;

/** A token that an admitted request has taken. */
export interface Permit {
  /** Returns the token. Call it if the request is refused later and has not run. */
  giveBack(): void;
}

/** A refusal because the customer exceeds its quota, or because the quota can't be divided now. */
export interface Refusal {
  /** The time after which the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/** The decision on a request. */
export type Admission = Result<Permit, Refusal>;

/** A request that waits for the reply of the allocator. */
class Waiter {
  /** The sequence number of the report that included the request; `Infinity` before. */
  sequence = Infinity;

  /** @param settle - decides on the request */
  constructor(readonly settle: (admission: Admission) => void) {}

  markReported(sequence: number): void {
    this.sequence = sequence;
  }

  /** Includes the request in the next report, too. */
  markUnreported(): void {
    this.sequence = Infinity;
  }
}

/** What a lease depends on. */
export interface CustomerLeaseServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  /** Reports to the allocator soon, because requests wait. */
  readonly ask: () => void;
  /** Whether the allocator knows by now that this host may be cut off, so that it may use its reserves. */
  readonly isCutOff: () => boolean;
  /** Whether reports have gone unanswered for so long that this host may soon use its reserves. */
  readonly isUnanswered: () => boolean;
}

/** The lease of one customer and its token bucket. */
export class CustomerLease {
  private readonly bucket = new QuotaBucket();

  private expiresAtMs = -Infinity;

  private rates: LeaseRates = { rate: 0, reserve: 0 };

  private limitedUntilMs = -Infinity;

  private demandLevel = 0;

  private demandAtMs = 0;

  private waiters: Waiter[] = [];

  /** The number of tokens that each report asked for, by its sequence number. */
  private readonly askedBySequence = new Map<number, number>();

  /**
   * @param services - what the lease depends on
   * @param quota - the limits of the customer
   */
  constructor(
    private readonly services: CustomerLeaseServices,
    private quota: Quota,
  ) {}

  /** The lease that is held now. */
  get held(): LeaseRates {
    this.refresh();
    return this.rates;
  }

  /** Whether the allocator must hear of this customer. */
  get isActive(): boolean {
    return this.held.reserve > 0 || this.demand > MIN_DEMAND || this.waiters.length > 0;
  }

  /** What is reported to the allocator. */
  get report(): ReportedCustomer {
    const { customerHash } = this.quota;
    const waiting = this.waiters.filter(({ sequence }) => sequence === Infinity).length;
    const { rate, reserve } = this.held;
    const usableRate = this.services.isUnanswered() ? reserve : rate;
    return { customerHash, demand: this.demand, rate: usableRate, reserve, waiting };
  }

  /**
   * Decides on a request.
   *
   * @returns the decision, at once where a token is held or the customer is known to be at its limit
   */
  admit(): Admission | Promise<Admission> {
    this.refresh();
    const nowMs = this.services.clock.monotonicMs();
    this.demandLevel = this.demand + MS_PER_SECOND / DEMAND_TIME_MS;
    this.demandAtMs = nowMs;
    if (this.waiters.length === 0 && this.bucket.take(nowMs, 1) === 1) {
      return Ok(this.createPermit());
    }
    if (nowMs < this.limitedUntilMs || this.waiters.length >= MAX_WAITING) {
      return Err(this.createRefusal());
    }
    return this.wait();
  }

  /**
   * Notes that a report that is being sent includes all waiting requests.
   *
   * @param sequence - the sequence number of the report
   */
  markReported(sequence: number): void {
    const unreported = this.waiters.filter((waiter) => waiter.sequence === Infinity);
    if (unreported.length > 0) {
      this.askedBySequence.set(sequence, unreported.length);
      unreported.forEach((waiter) => waiter.markReported(sequence));
    }
  }

  /**
   * Applies what the allocator granted.
   *
   * @param grant - the grant
   * @param expiresAtMs - the end of the lease
   * @param replied - the sequence number of the report that was replied to
   */
  apply({ rate, reserve, tokens }: GrantedCustomer, expiresAtMs: number, replied: number): void {
    const nowMs = this.services.clock.monotonicMs();
    this.expiresAtMs = expiresAtMs;
    const isReduced = rate < REDUCED_SHARE * this.bucket.ratePerSecond;
    this.rates = { rate, reserve };
    this.resize(rate);
    const waiting = this.waiters;
    const available = tokens + this.bucket.take(nowMs, Math.max(0, waiting.length - tokens));
    const admitted = waiting.slice(0, available);
    const rest = waiting.slice(available);
    // An earlier report that was lost leaves requests without a token though the customer has some.
    const isExhausted = tokens < this.forgetAsked(replied);
    const refused = isExhausted ? rest.filter(({ sequence }) => sequence <= replied) : [];
    this.waiters = rest.filter((waiter) => !refused.includes(waiter));
    this.waiters
      .filter(({ sequence }) => sequence <= replied)
      .forEach((waiter) => waiter.markUnreported());
    this.bucket.add(nowMs, available - admitted.length);
    if (refused.length > 0) {
      this.limitedUntilMs = nowMs + LIMITED_MS;
    }
    admitted.forEach(({ settle }) => settle(Ok(this.createPermit())));
    refused.forEach(({ settle }) => settle(Err(this.createRefusal())));
    // The allocator counts the former rate until the next report.
    if (isReduced || this.waiters.some(({ sequence }) => sequence === Infinity)) {
      this.services.ask();
    }
  }

  /**
   * Applies another version of the limits.
   *
   * @param quota - the limits
   */
  update(quota: Quota): void {
    this.quota = quota;
    const { rate, reserve } = this.held;
    const { ratePerSecond } = quota;
    this.rates = { rate: Math.min(rate, ratePerSecond), reserve: Math.min(reserve, ratePerSecond) };
    this.refresh();
  }

  /** Returns how many tokens a report asked for, and forgets it and earlier ones. */
  private forgetAsked(replied: number): number {
    const asked = this.askedBySequence.get(replied) ?? 0;
    [...this.askedBySequence.keys()]
      .filter((sequence) => sequence <= replied)
      .forEach((sequence) => this.askedBySequence.delete(sequence));
    return asked;
  }

  private get demand(): number {
    const elapsedMs = this.services.clock.monotonicMs() - this.demandAtMs;
    return this.demandLevel * Math.exp(-elapsedMs / DEMAND_TIME_MS);
  }

  /** Ends the lease if it has expired, and uses the reserve while no allocator can be reached. */
  private refresh(): void {
    if (this.services.clock.monotonicMs() >= this.expiresAtMs) {
      this.rates = { rate: 0, reserve: 0 };
    }
    const rate = this.services.isCutOff() ? this.rates.reserve : this.rates.rate;
    if (rate !== this.bucket.ratePerSecond) {
      this.resize(rate);
    }
  }

  private resize(rate: number): void {
    const capacity = rate > 0 ? Math.max(1, rate * this.quota.burstSeconds) : 0;
    this.bucket.resize(this.services.clock.monotonicMs(), rate, capacity);
  }

  private wait(): Promise<Admission> {
    const { ask, clock } = this.services;
    ask();
    return new Promise((resolve) => {
      const timers: (() => void)[] = [];
      const waiter = new Waiter((admission) => {
        timers.forEach((cancel) => cancel());
        resolve(admission);
      });
      for (let delayMs = REPEAT_MS; delayMs < REPLY_WAIT_MS; delayMs += REPEAT_MS) {
        const repeat = clock.after(delayMs, () => {
          waiter.markUnreported();
          ask();
        });
        timers.push(repeat);
      }
      const giveUp = clock.after(REPLY_WAIT_MS, () => {
        this.waiters = this.waiters.filter((other) => other !== waiter);
        const hasToken = this.bucket.take(clock.monotonicMs(), 1) === 1;
        waiter.settle(hasToken ? Ok(this.createPermit()) : Err(this.createRefusal()));
      });
      timers.push(giveUp);
      this.waiters.push(waiter);
    });
  }

  private createPermit(): Permit {
    let isHeld = true;
    return {
      giveBack: () => {
        if (isHeld) {
          isHeld = false;
          this.bucket.add(this.services.clock.monotonicMs(), 1);
        }
      },
    };
  }

  private createRefusal(): Refusal {
    const waitMs = MS_PER_SECOND / Math.max(this.quota.ratePerSecond, 1);
    const boundedMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
    return { retryAfterMs: boundedMs * (1 + JITTER_SHARE * this.services.randomness.fraction()) };
  }
}
