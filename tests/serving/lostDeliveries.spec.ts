import fc from 'fast-check';
import { LostDelivery } from 'lentillb/serving/deliveryMonitor.js';
import { describe, expect, it } from 'vitest';
import type { Conclusion, SimulatedDay } from '../support/deliverySimulation.js';
import { DeliverySimulation } from '../support/deliverySimulation.js';

const RUNS = 200;
const SEED = 38;
const TEST_TIMEOUT_MS = 60_000;

const shortTravels = fc.integer({ min: 1, max: 30 });
const travels = fc.oneof(shortTravels, fc.integer({ min: 1, max: 6_000 }));

/** Days on which the given times occur. */
function daysWith(
  times: {
    readonly sentAtMs: fc.Arbitrary<number>;
    readonly travelsMs: fc.Arbitrary<number>;
    readonly restartsAtMs: fc.Arbitrary<readonly number[]>;
    readonly suspensions: fc.Arbitrary<SimulatedDay['suspensions']>;
  },
  identity: fc.Arbitrary<number>,
): fc.Arbitrary<SimulatedDay> {
  const { restartsAtMs, sentAtMs, suspensions, travelsMs } = times;
  const mayFail = fc.option(travelsMs, { nil: undefined });
  const request = { sentAtMs, identity, travelMs: mayFail, runMs: mayFail, returnMs: mayFail };
  return fc.record({
    requests: fc.array(fc.record(request), { minLength: 2, maxLength: 12 }),
    inquiryTravelsMs: fc.array(travelsMs, { minLength: 1, maxLength: 8 }),
    restartsAtMs,
    suspensions,
  });
}

function suspensionsAt(
  atMs: fc.Arbitrary<number>,
  durationMs: fc.Arbitrary<number>,
): fc.Arbitrary<SimulatedDay['suspensions']> {
  return fc.array(fc.record({ atMs, durationMs }), { minLength: 1, maxLength: 2 });
}

function createDays(identity: fc.Arbitrary<number>): fc.Arbitrary<SimulatedDay> {
  const anyDay = {
    sentAtMs: fc.integer({ min: 0, max: 8_000 }),
    travelsMs: travels,
    restartsAtMs: fc.array(fc.integer({ min: 0, max: 12_000 }), { maxLength: 2 }),
    suspensions: suspensionsAt(
      fc.integer({ min: 0, max: 12_000 }),
      fc.integer({ min: 1, max: 30_000 }),
    ),
  };
  const restartAmidRequests = {
    sentAtMs: fc.integer({ min: 0, max: 200 }),
    travelsMs: shortTravels,
    restartsAtMs: fc.array(fc.integer({ min: 10, max: 200 }), { minLength: 1, maxLength: 2 }),
    suspensions: fc.constant([]),
  };
  const suspensionAmidRequests = {
    sentAtMs: fc.oneof(fc.integer({ min: 0, max: 300 }), fc.integer({ min: 0, max: 25_000 })),
    travelsMs: shortTravels,
    restartsAtMs: fc.constant([]),
    suspensions: suspensionsAt(
      fc.integer({ min: 50, max: 400 }),
      fc.integer({ min: 9_000, max: 20_000 }),
    ),
  };
  return fc.oneof(
    daysWith(anyDay, identity),
    daysWith(restartAmidRequests, identity),
    daysWith(suspensionAmidRequests, identity),
  );
}

describe('a request that its sender gave up on a silent connection', () => {
  it.each([
    ['of their own', fc.integer({ min: 0, max: 1_000_000 })],
    ['that callers use again', fc.integer({ min: 0, max: 3 })],
  ])(
    'should not be at work, and never run if that was said, among requests with identities %s',
    async (_, identities) => {
      const counts = { [LostDelivery.NotRun]: 0, [LostDelivery.AnswerLost]: 0 };
      const check = ({ concludedAtMs, endedAtMs, fate, startedAtMs }: Conclusion): void => {
        if (fate !== undefined) {
          counts[fate] += 1;
          const isAtWork = startedAtMs !== undefined && startedAtMs <= concludedAtMs;
          expect(isAtWork && (endedAtMs ?? Infinity) > concludedAtMs).toBe(false);
        }
        if (fate === LostDelivery.NotRun) {
          expect(startedAtMs).toBeUndefined();
        }
      };
      await fc.assert(
        fc.asyncProperty(createDays(identities), async (day) => {
          (await new DeliverySimulation(day).run()).forEach(check);
        }),
        { numRuns: RUNS, seed: SEED },
      );
      // Shows that the days hold enough of what is checked.
      expect(counts[LostDelivery.NotRun]).toBeGreaterThan(RUNS / 10);
      expect(counts[LostDelivery.AnswerLost]).toBeGreaterThan(RUNS / 10);
    },
    TEST_TIMEOUT_MS,
  );
});
