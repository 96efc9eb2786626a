import fc from 'fast-check';
import type { GrantedCustomer } from 'lentillb/allotments/allotmentMessage.js';
import { CustomerTable } from 'lentillb/allotments/customerTable.js';
import { DEFAULT_QUOTA_TERMS, deriveQuota } from 'lentillb/allotments/quotaTerms.js';
import { describe, expect, it } from 'vitest';
import { createCustomer } from './quotaFleet.js';

const SEED = 37;
const RATE = 44;
const HOSTS = 4;
/** The inaccuracy of rates in datagrams. */
const EPSILON = 1e-4;
const quota = deriveQuota(createCustomer('c', RATE), 1, DEFAULT_QUOTA_TERMS);

/** A host that reports to a table and applies replies when they arrive. */
class Holder {
  sequence = 0;

  applied = 0;

  rate = 0;

  reserve = 0;

  private readonly replies: (GrantedCustomer & { readonly sequence: number })[] = [];

  constructor(
    private readonly table: CustomerTable,
    private readonly host: string,
  ) {}

  report(nowMs: number, demand: number, waiting = 0): GrantedCustomer {
    this.sequence += 1;
    const { applied, host, rate, reserve, sequence } = this;
    const reporter = { host, processId: 1, sequence, applied };
    const report = { customerHash: 1, demand, rate, reserve, waiting };
    const granted = this.table.grant(nowMs, reporter, report);
    this.replies.push({ ...granted, sequence });
    return granted;
  }

  /** Applies the latest reply; those before are lost. */
  applyLatest(): void {
    const reply = this.replies.at(-1);
    if (reply !== undefined) {
      this.applied = reply.sequence;
      this.rate = reply.rate;
      this.reserve = reply.reserve;
    }
  }
}

function createHolders(table: CustomerTable): readonly Holder[] {
  return Array.from({ length: HOSTS }, (_, index) => new Holder(table, `h${index}`));
}

describe('leases of a customer', () => {
  // Without counting grants that hosts have not acknowledged, two hosts are granted the same share.
  it('should never add up to more than the rate, whichever replies arrive', () => {
    const action = fc.record({
      host: fc.integer({ min: 0, max: HOSTS - 1 }),
      demand: fc.constantFrom(0, 5, 30, 200),
      isReport: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(action, { maxLength: 60 }), (actions) => {
        const table = new CustomerTable(quota, 0);
        const holders = createHolders(table);
        actions.forEach(({ demand, host, isReport }, index) => {
          const holder = holders[host] as Holder;
          if (isReport) {
            holder.report(index, demand);
          } else {
            holder.applyLatest();
          }
          const sum = holders.reduce((total, { reserve }) => total + reserve, 0);
          expect(sum).toBeLessThanOrEqual(RATE + EPSILON);
          holders.forEach(({ rate, reserve }) => expect(rate).toBeLessThanOrEqual(reserve));
        });
      }),
      { seed: SEED },
    );
  });

  // A host that is cut off uses its reserve, so its tokens must not be handed out to others.
  it('should take the reserve of a silent host from the pool', () => {
    const table = new CustomerTable(quota, 0);
    const [silent, other] = createHolders(table) as [Holder, Holder];
    silent.report(0, 20);
    silent.applyLatest();
    silent.report(1_000, 20);
    let tokens = 0;
    for (let nowMs = 2_500; nowMs <= 7_500; nowMs += 500) {
      table.sweep(nowMs);
      tokens += other.report(nowMs, 0, 1_000).tokens;
    }
    const free = RATE - silent.reserve + quota.overcommitPerSecond;
    expect(silent.reserve).toBeCloseTo(26);
    expect(tokens).toBeLessThanOrEqual(free * (5 + quota.burstSeconds) + quota.roundingTokens);
  });

  it('should grant nothing that hosts may hold which have not reported', () => {
    const table = new CustomerTable(quota, RATE + quota.overcommitPerSecond);
    const [first, second] = createHolders(table) as [Holder, Holder];
    expect(first.report(0, 25)).toMatchObject({ rate: 0, reserve: 0, tokens: 0 });
    second.reserve = 10;
    second.rate = 10;
    expect(second.report(1, 25).reserve).toBeLessThanOrEqual(10);
    table.endRecovery();
    expect(first.report(2, 25).reserve).toBeGreaterThan(20);
  });

  it('should be free again once they have expired', () => {
    const table = new CustomerTable(quota, 0);
    const [silent, other] = createHolders(table) as [Holder, Holder];
    const { reserve } = silent.report(0, 30);
    table.sweep(10_900);
    const rest = RATE - reserve + quota.overcommitPerSecond;
    expect(other.report(10_900, 30).reserve).toBeLessThanOrEqual(rest + EPSILON);
    table.sweep(11_100);
    expect(other.report(11_100, 30).reserve).toBeCloseTo(reserve);
  });

  // Otherwise, one host that stays down after a restart of all would hold back the whole rate.
  it('should leave a third of the rate to others than a single missing host', () => {
    const full = new CustomerTable(quota, 0);
    const [holder] = createHolders(full) as [Holder];
    expect(holder.report(0, 500).reserve).toBeLessThanOrEqual((RATE * 2) / 3 + EPSILON);
    const restarted = new CustomerTable(quota, RATE, () => 1);
    const [other] = createHolders(restarted) as [Holder];
    expect(other.report(0, 500).reserve).toBeGreaterThan(RATE / 3 - EPSILON);
  });
});
