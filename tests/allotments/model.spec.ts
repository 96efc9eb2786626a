import fc from 'fast-check';
import { expect, it } from 'vitest';
import { createCustomer, QuotaFleet } from './quotaFleet.js';

const SEED = 29;
const DEFAULT_RUNS = 12;
/** The number of property-based runs; LENTILLB_MODEL_RUNS raises it for long runs. */
const RUNS = Number(process.env.LENTILLB_MODEL_RUNS ?? DEFAULT_RUNS);
const HOSTS = 11;
const CUSTOMERS = [createCustomer('small', 5), createCustomer('large', 60)];

const host = fc.integer({ min: 0, max: HOSTS + 2 }).map((index) => `h${index}`);
const event = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('kill' as const), host }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('start' as const), host }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restartAll' as const) }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('partition' as const),
      sides: fc.array(fc.integer({ min: 0, max: 1 }), { minLength: 5, maxLength: 14 }),
    }),
  },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('announce' as const), host }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('leave' as const), host }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('network' as const),
      lossShare: fc.constantFrom(0, 0.05, 0.4),
      maxDelayMs: fc.constantFrom(1, 20, 300),
    }),
  },
);
const steps = fc.array(
  fc.record({
    event,
    durationMs: fc.constantFrom(50, 400, 1_500, 3_500, 11_000),
    /** The demand as a multiple of the rate. */
    demand: fc.constantFrom(0, 0.6, 8),
    /** The hosts whose callers send it; a lease that moves from few to few shows every double grant. */
    first: fc.integer({ min: 0, max: 5 }),
    count: fc.constantFrom(1, 3, HOSTS),
  }),
  { minLength: 4, maxLength: 14 },
);
type Event = typeof event extends fc.Arbitrary<infer Value> ? Value : never;

function apply(fleet: QuotaFleet, change: Event): void {
  if (change.kind === 'kill') {
    fleet.kill(change.host);
  } else if (change.kind === 'start') {
    fleet.announce(change.host, 'ready');
    fleet.start(change.host);
  } else if (change.kind === 'restartAll') {
    fleet.hosts.forEach((each) => fleet.start(each));
  } else if (change.kind === 'partition') {
    const { sides } = change;
    fleet.partition((each) => sides[Number(each.slice(1)) % sides.length] as number);
  } else if (change.kind === 'heal') {
    fleet.heal();
  } else if (change.kind === 'network') {
    Object.assign(fleet, { lossShare: change.lossShare, maxDelayMs: change.maxDelayMs });
  } else {
    fleet.announce(change.host, change.kind === 'leave' ? 'leaving' : 'ready');
  }
}

it('should keep the bound of each window whatever happens to hosts, links and datagrams', async () => {
  await fc.assert(
    fc.asyncProperty(steps, fc.integer({ min: 1, max: 1_000 }), async (sequence, seed) => {
      const fleet = new QuotaFleet(HOSTS, CUSTOMERS, seed);
      let timeMs = 0;
      for (const { count, demand, durationMs, event: change, first } of sequence) {
        apply(fleet, change);
        timeMs += durationMs;
        const untilMs = timeMs;
        CUSTOMERS.filter(() => demand > 0).forEach(({ name, ratePerSecond }) => {
          const hosts = fleet.hosts.slice(first, first + count);
          fleet.load(hosts, name, demand * ratePerSecond, untilMs);
        });
        await fleet.clock.runUntil(timeMs);
      }
      CUSTOMERS.forEach((customer) => {
        expect(fleet.excess(customer, 0)).toBeLessThanOrEqual(0);
      });
    }),
    { seed: SEED, numRuns: RUNS },
  );
}, 600_000);
