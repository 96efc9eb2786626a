import fc from 'fast-check';
import { endsInTime } from 'lentillb/serving/stopTimes.js';
import { planStop } from 'lentillb/sidecar/stopPlan.js';
import { describe, expect, it } from 'vitest';

it('should plan the steps of a stop in order, and within its time for any such time', () => {
  fc.assert(
    fc.property(
      fc.double({ min: 0, max: 1e9, noNaN: true }),
      fc.integer({ min: 100, max: 120_000 }),
      (startsAtMs, timeoutMs) => {
        const plan = planStop(startsAtMs, timeoutMs);
        expect(plan.gateClosesAtMs).toBeGreaterThan(startsAtMs);
        expect(plan.lastTakenAtMs).toBeGreaterThan(plan.gateClosesAtMs);
        expect(plan.lastTakenAtMs).toBeLessThan(plan.listenerClosesAtMs);
        expect(plan.listenerClosesAtMs).toBeGreaterThan(plan.gateClosesAtMs);
        expect(plan.endsAtMs).toBeGreaterThan(plan.listenerClosesAtMs);
        expect(plan.endsAtMs).toBeLessThan(startsAtMs + timeoutMs);
      },
    ),
  );
});

it('should leave callers two readiness checks, and the exit its reserve, in the usual time', () => {
  const { endsAtMs, gateClosesAtMs, listenerClosesAtMs } = planStop(0, 6_000);
  expect([gateClosesAtMs, listenerClosesAtMs, endsAtMs]).toEqual([2_600, 5_100, 5_300]);
});

it('should reserve more than a second for the last run, in the usual time', () => {
  const { endsAtMs, lastTakenAtMs } = planStop(0, 6_000);
  expect(endsAtMs - lastTakenAtMs).toBeGreaterThan(1_000);
});

describe('a request that may outlast the stop', () => {
  const plan = planStop(0, 6_000);
  const fields = { usualMs: 158, longestMs: 1_650, deadlineAtMs: 3_700 + 1_700 };

  it('should be refused where requests of its route have lasted longer than what remains', () => {
    expect(endsInTime(plan, 3_700, fields)).toBe(false);
    expect(endsInTime(plan, 3_600, fields)).toBe(true);
  });

  // A run of 643 ms on average was cut 1.8 s after it was taken; its entry had seen none that long.
  it('should be refused once callers have moved, if a run of seven times the usual time would be cut', () => {
    const history = { usualMs: 643, longestMs: 1_200, deadlineAtMs: 3_500 + 3_000 };
    expect(endsInTime(plan, 3_500, history)).toBe(false);
    expect(endsInTime(plan, 2_500, history)).toBe(true);
    expect(endsInTime(plan, 3_500, { ...history, usualMs: 200 })).toBe(true);
  });

  it('should be taken where its own deadline lies before the end', () => {
    expect(endsInTime(plan, 3_700, { ...fields, deadlineAtMs: 3_700 + 700 })).toBe(true);
  });
});
