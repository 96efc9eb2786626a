import { Deadline, RoutingTable, SeededRandomness } from 'lentillb';
import { Cancellation } from 'lentillb/calls/cancellation.js';
import { Limits } from 'lentillb/routing/limits.js';
import { RetryBudget } from 'lentillb/routing/retryBudget.js';
import { TokenBucket } from 'lentillb/routing/tokenBucket.js';
import { parseRuleFile } from 'lentillb/rules/ruleFile.js';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

function tableOf(version: number, limit: string): RoutingTable {
  const text = `service pages port any slots 10 connections 16 ramp 0s drain 5s # Test: reading
service next port any slots 10 connections 16 ramp 0s drain 5s # Test: trial
route GET /pages/** to pages within 2s repeat priority normal # Test: reading
group bots header x-group bots # Test: bots
split pages header x-trial yes to next # Test: volunteers
split pages weight 25% to next # Test: a quarter
${limit}
`;
  return new RoutingTable({ version, rules: parseRuleFile(text).unwrap().rules });
}

async function admitted(
  limits: Limits,
  table: RoutingTable,
  clock: ManualClock,
  calls: number,
  headers = {},
): Promise<readonly string[]> {
  const route = table.route('GET', '/pages/1');
  const rules = route === undefined ? [] : table.limits(route, table.group(headers));
  const results = await Promise.all(
    Array.from({ length: calls }, () =>
      limits.admit(rules, {
        priority: 'normal',
        deadline: Deadline.after(clock, 0.5),
        cancellation: new Cancellation(),
      }),
    ).map(async (pending) => {
      await clock.advance(0);
      return pending;
    }),
  );
  return results.map((result) => {
    if (result.isErr()) {
      return result.error.reason;
    }
    result.value();
    return 'admitted';
  });
}

describe('limits', () => {
  it('should admit calls up to the rate, refuse the rest, and admit again as tokens refill', async () => {
    const clock = new ManualClock();
    const limits = new Limits({ clock });
    const table = tableOf(1, 'limit route GET /pages/** rate 5 concurrency 99 queue 0 # Test: few');
    const first = await admitted(limits, table, clock, 7);
    expect(first.filter((outcome) => outcome === 'admitted')).toHaveLength(5);
    expect(first.filter((outcome) => outcome === 'rate-limited')).toHaveLength(2);
    await clock.advance(400);
    const later = await admitted(limits, table, clock, 3);
    expect(later.filter((outcome) => outcome === 'admitted')).toHaveLength(2);
  });

  it('should keep its state across a new version that does not change the rate', async () => {
    const clock = new ManualClock();
    const limits = new Limits({ clock });
    const limit = 'limit route GET /pages/** rate 5 concurrency 99 queue 0 # Test: few';
    await admitted(limits, tableOf(1, limit), clock, 5);
    const after = await admitted(limits, tableOf(2, limit), clock, 1);
    expect(after).toEqual(['rate-limited']);
    const raised = tableOf(3, limit.replace('rate 5', 'rate 6'));
    expect(await admitted(limits, raised, clock, 1)).toEqual(['admitted']);
  });

  it('should limit a caller group without limiting other callers', async () => {
    const clock = new ManualClock();
    const limits = new Limits({ clock });
    const table = tableOf(1, 'limit group bots rate 1 concurrency 99 queue 0 # Test: bots');
    const bots = await admitted(limits, table, clock, 3, { 'x-group': 'bots' });
    expect(bots.filter((outcome) => outcome === 'admitted')).toHaveLength(1);
    expect(new Set(await admitted(limits, table, clock, 9))).toEqual(new Set(['admitted']));
  });
});

describe('token bucket', () => {
  it('should never give more tokens than its rate and capacity allow', async () => {
    const clock = new ManualClock();
    const bucket = new TokenBucket(clock, 10, 10);
    let taken = 0;
    for (let step = 0; step < 200; step += 1) {
      taken += bucket.tryTake() ? 1 : 0;
      await clock.advance(25);
    }
    // Five seconds at ten tokens per second, plus the initial capacity of ten.
    expect(taken).toBeLessThanOrEqual(60);
    expect(taken).toBeGreaterThanOrEqual(58);
  });
});

describe('retry budget', () => {
  it('should limit retries to its percentage of calls during an outage', () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let call = 0; call < 1_000; call += 1) {
      budget.deposit(20);
      retries += budget.tryWithdraw() ? 1 : 0;
    }
    expect(retries).toBeLessThanOrEqual(1_000 * 0.2 + 10);
    expect(retries).toBeGreaterThanOrEqual(1_000 * 0.2 - 1);
  });
});

describe('splits', () => {
  it('should apply a header split first, else a weight split', () => {
    const table = tableOf(1, '');
    const randomness = new SeededRandomness(7);
    const volunteers = Array.from({ length: 50 }, () =>
      table.splitTarget('pages', { 'x-trial': 'yes' }, randomness),
    );
    expect(new Set(volunteers)).toEqual(new Set(['next']));
    const others = Array.from({ length: 4_000 }, () => table.splitTarget('pages', {}, randomness));
    const share = others.filter((service) => service === 'next').length / others.length;
    expect(share).toBeGreaterThan(0.22);
    expect(share).toBeLessThan(0.28);
  });
});
