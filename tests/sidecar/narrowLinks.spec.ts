import fc from 'fast-check';
import { Topic } from 'lentillb/store/keyedStore.js';
import { afterEach, describe, expect, it } from 'vitest';
import { CONFIGURATION_BYTES, ControlFault, ControlFleet } from '../support/controlFleet.js';

const SEED = 53;
const RUNS = Number(process.env.LENTILLB_MODEL_RUNS ?? 20);
/** The time from the confirmation of a version until it must be in force, in milliseconds. */
const APPLY_MS = 2_000;
/** The time for which a fleet runs before it is measured, in milliseconds. */
const WARM_UP_MS = 8_000;
/** The answer of the store to a read holds two configurations of 400 KB at most. */
const RECORDS_PER_ANSWER = 2;
const SLOW_STORE_MS = 200;
const WIDE_MEGABITS = 100;
const ZONES = ['z0', 'z1'];
const HOSTS_PER_ZONE = 14;
/** The hosts of a zone with wide links, which come first. */
const WIDE_HOSTS = 2;
/** The part of each link that other traffic takes, in percent. */
const BUSY_PERCENTS = [10, 40, 80] as const;

let fleet: ControlFleet | undefined;

afterEach(() => fleet?.stop());

async function startFleet(narrowMegabits: number, busyPercent: number): Promise<ControlFleet> {
  const hosts = ZONES.flatMap((zone) =>
    Array.from({ length: HOSTS_PER_ZONE }, (_, index) => ({
      host: `${zone}-${index}`,
      zone,
      megabits: index < WIDE_HOSTS ? WIDE_MEGABITS : narrowMegabits,
    })),
  );
  const created = new ControlFleet(
    Object.fromEntries(hosts.map(({ host, zone }) => [host, zone])),
    1,
    Object.fromEntries(hosts.map(({ host, megabits }) => [host, megabits])),
  );
  fleet = created;
  created.store.maxRecords = RECORDS_PER_ANSWER;
  created.publish('1');
  await created.start();
  await created.advance(WARM_UP_MS);
  created.nodes.forEach(({ link }) => link.occupy(busyPercent / 100));
  return created;
}

function slowest(delays: Readonly<Record<string, number>>): number {
  return Math.max(0, ...Object.values(delays));
}

function versionsUpTo(last: number): readonly number[] {
  return Array.from({ length: last - 1 }, (_, index) => index + 2);
}

describe('a confirmed version on narrow links', () => {
  it.each(
    [3.5, 5].flatMap((megabits) =>
      BUSY_PERCENTS.flatMap((busyPercent) =>
        [
          { count: 1, gapMs: 300 },
          { count: 18, gapMs: 270 },
          { count: 25, gapMs: 60 },
        ].map((series) => ({ ...series, busyPercent, megabits })),
      ),
    ),
  )(
    'should be in force in time: $count at $gapMs ms, links of $megabits Mbit/s, $busyPercent % taken',
    async ({ busyPercent, count, gapMs, megabits }) => {
      const running = await startFleet(megabits, busyPercent);
      const delays = await running.measureSeries(versionsUpTo(count + 1), gapMs, 10_000);
      expect(slowest(delays)).toBeLessThan(APPLY_MS);
    },
  );

  it.each(BUSY_PERCENTS)(
    'should be in force in time while the store answers after 200 ms, %i percent of the links taken',
    async (busyPercent) => {
      const running = await startFleet(5, busyPercent);
      running.store.callMs = SLOW_STORE_MS;
      const delays = await running.measureSeries(versionsUpTo(16), 300, 10_000);
      expect(slowest(delays)).toBeLessThan(APPLY_MS);
    },
  );
});

it('should hold the bound on links of any width, for any row of changes and any store', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.record({
        megabits: fc.constantFrom(3.5, 5, 10, 70),
        busyPercent: fc.nat(80),
        count: fc.integer({ min: 1, max: 20 }),
        gapMs: fc.integer({ min: 50, max: 500 }),
        storeMs: fc.integer({ min: 4, max: 200 }),
      }),
      async ({ busyPercent, count, gapMs, megabits, storeMs }) => {
        const running = await startFleet(megabits, busyPercent);
        running.store.callMs = storeMs;
        const delays = await running.measureSeries(versionsUpTo(count + 1), gapMs, 6_000);
        expect(slowest(delays)).toBeLessThan(APPLY_MS);
        await running.stop();
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
}, 120_000);

describe('a host that takes over reading', () => {
  it('should not read a configuration that it holds', async () => {
    const running = await startFleet(5, 40);
    await running.measureSeries([2, 3], 300, 8_000);
    running.setFault(running.readersOf('z0'), ControlFault.Silent);
    await running.advance(6_000);
    const others = running.nodes.filter(({ fault, zone }) => fault === undefined && zone === 'z0');
    expect(others.some(({ state }) => state.role.readsStore)).toBe(true);
    others.forEach(({ state }) => {
      expect(state.followerOf(Topic.Operator).totalBytes).toBeLessThan(CONFIGURATION_BYTES);
    });
  });

  it.each(Object.values(ControlFault))(
    'should read a version within the bound when both hosts with wide links are %s',
    async (fault) => {
      const running = await startFleet(5, 10);
      await running.measureSeries([2, 3], 300, 8_000);
      running.setFault(running.readersOf('z0'), fault);
      const delays = await running.measure(4, 10_000);
      expect(slowest(delays)).toBeLessThan(APPLY_MS);
    },
  );
});
