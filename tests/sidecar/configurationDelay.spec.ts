import fc from 'fast-check';
import { Topic } from 'lentillb/store/keyedStore.js';
import { afterEach, describe, expect, it } from 'vitest';
import { ControlFault, ControlFleet } from '../support/controlFleet.js';

/** The time from the confirmation of a version until it must be in force, in milliseconds. */
const APPLY_MS = 2_000;
/** How long a fleet runs before a fault, in milliseconds: all nodes have the first version. */
const WARM_UP_MS = 6_000;
const SEED = 32;
const RUNS = Number(process.env.LENTILLB_MODEL_RUNS ?? 60);
/** The calls of a zone in ten seconds without a change: two reads of each topic a second at most. */
const MAX_CALLS_PER_ZONE = 40;

const faults = Object.values(ControlFault);

let fleet: ControlFleet | undefined;

afterEach(() => fleet?.stop());

async function startFleet(
  sizes: readonly number[],
  seed: number,
  goneHosts = 0,
): Promise<ControlFleet> {
  const hosts = sizes.flatMap((size, zone) =>
    Array.from({ length: size }, (_, index) => [`h${zone}-${index}`, `z${zone}`] as const),
  );
  const created = new ControlFleet(Object.fromEntries(hosts), seed);
  fleet = created;
  Array.from({ length: goneHosts }, (_, index) => created.announce(`gone-${index}`, 'z0', 10_000));
  created.publish('1');
  await created.start();
  await created.advance(WARM_UP_MS);
  return created;
}

function slowest(delays: Readonly<Record<string, number>>): number {
  return Math.max(0, ...Object.values(delays));
}

describe('a confirmed version', () => {
  it.each(
    faults.flatMap((fault) =>
      [[5], [5, 4]].flatMap((sizes) => [0, 700].map((sinceMs) => ({ fault, sizes, sinceMs }))),
    ),
  )(
    'should be in force in time when both readers of a zone are $fault for $sinceMs ms ($sizes hosts)',
    async ({ fault, sinceMs, sizes }) => {
      for (let seed = 1; seed <= 5; seed += 1) {
        const running = await startFleet(sizes, seed);
        await running.advance(seed * 137);
        running.setFault(running.readersOf('z0'), fault);
        await running.advance(sinceMs);
        expect(slowest(await running.measure(2, 10_000))).toBeLessThan(APPLY_MS);
        await running.stop();
      }
    },
  );

  it('should be in force in time at every node that hears the store, whichever others fail', async () => {
    const failures = fc.array(
      fc.record({
        node: fc.nat(99),
        fault: fc.constantFrom(...faults),
        afterMs: fc.nat(900),
      }),
      { maxLength: 8 },
    );
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1, maxLength: 3 }),
        fc.nat(1_000),
        failures,
        async (sizes, seed, failed) => {
          const running = await startFleet(sizes, seed);
          failed.forEach(({ afterMs, fault, node }) => {
            const chosen = running.nodes[node % running.nodes.length];
            running.clock.after(afterMs, () => running.setFault(chosen ? [chosen] : [], fault));
          });
          await running.advance(failed.length === 0 ? 0 : seed);
          const delays = await running.measure(2, 10_000);
          const heard = Object.entries(delays).filter(
            ([host]) => running.nodeOf(host)?.fault === undefined,
          );
          expect(slowest(Object.fromEntries(heard))).toBeLessThan(APPLY_MS);
          await running.stop();
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  }, 120_000);

  it.each([1, 2, 12])(
    'should be in force in time in a zone whose %i widest links belong to hosts that are gone',
    async (goneHosts) => {
      const running = await startFleet([4], 3, goneHosts);
      expect(slowest(await running.measure(2, 10_000))).toBeLessThan(APPLY_MS);
      running.setFault(running.nodes.slice(0, 1), ControlFault.Deaf);
      await running.advance(40);
      expect(slowest(await running.measure(3, 10_000))).toBeLessThan(APPLY_MS);
    },
  );
});

describe('a store that answers waiting reads before their time', () => {
  it.each([0, 150, 600])('should end no node and delay no version (%i ms)', async (maxWaitMs) => {
    const running = await startFleet([5], 4);
    running.store.maxWaitMs = maxWaitMs;
    await running.advance(5_000);
    expect(slowest(await running.measure(2, 10_000))).toBeLessThan(APPLY_MS);
    running.setFault(running.readersOf('z0'), ControlFault.Silent);
    expect(slowest(await running.measure(3, 10_000))).toBeLessThan(APPLY_MS);
  });
});

describe('calls to the store', () => {
  it('should stay within two reads of each topic a second for a zone of any size', async () => {
    const running = await startFleet([3, 12], 1);
    const callsBefore = running.store.calls;
    await running.advance(10_000);
    expect(running.store.calls - callsBefore).toBeLessThan(2 * MAX_CALLS_PER_ZONE);
  });

  it('should come from one node of a zone after its readers are lost', async () => {
    const running = await startFleet([12], 1);
    running.setFault(running.readersOf('z0'), ControlFault.Silent);
    await running.advance(4_000);
    const callsBefore = running.store.calls;
    await running.advance(10_000);
    // The calls of the lost readers are counted, too: one in a second or less for each topic.
    expect(running.store.calls - callsBefore).toBeLessThan(2 * MAX_CALLS_PER_ZONE);
    const reading = running.nodes.filter(
      ({ fault, state }) => fault === undefined && state.role.shouldRead(Topic.Operator),
    );
    expect(reading).toHaveLength(1);
  });

  it('should stay below one a second for each node while the store refuses all', async () => {
    const running = await startFleet([12], 1);
    running.setFault(running.nodes, ControlFault.Refused);
    await running.advance(4_000);
    const callsBefore = running.refusedCalls;
    await running.advance(10_000);
    expect(running.refusedCalls - callsBefore).toBeLessThan(2 * 12 * 10);
  });
});
