import fc from 'fast-check';
import type { MemoryRefusal } from 'lentillb/memory/memoryBudget.js';
import { MemoryBudget } from 'lentillb/memory/memoryBudget.js';
import { MemoryUse, memoryUses } from 'lentillb/memory/memoryUse.js';
import { expect, it } from 'vitest';

const MEGABYTE = 1_000_000;
const SEED = 50;
const LIMITS = [120, 178, 200, 350] as const;

const use = fc.constantFrom(...memoryUses);
const operation = fc.record({
  use,
  bytes: fc.integer({ min: 1, max: 12 * MEGABYTE }),
  releases: fc.boolean(),
});

/** A clock that moves only when it is told to. */
function createClock() {
  let nowMs = 0;
  return {
    monotonicMs: () => nowMs,
    advance: (ms: number) => {
      nowMs += ms;
    },
  };
}

it('should never hold more than the room, refuse no use its share, and leak nothing', () => {
  const check = fc.property(
    fc.constantFrom(...LIMITS),
    fc.array(operation, { maxLength: 200 }),
    (limit, operations) => {
      const refusals: MemoryRefusal[] = [];
      const budget = new MemoryBudget(createClock(), limit * MEGABYTE, {
        onRefused: (refusal) => refusals.push(refusal),
      });
      const taken: { use: MemoryUse; bytes: number }[] = [];
      operations.forEach((one) => {
        const last = taken.at(-1);
        if (one.releases && last !== undefined) {
          taken.pop();
          budget.release(last.use, last.bytes);
          return;
        }
        const isWithinShare = budget.bytesOf(one.use) + one.bytes <= budget.shareOf(one.use);
        const refusedBefore = refusals.length;
        if (budget.tryTake(one.use, one.bytes)) {
          taken.push(one);
        } else {
          expect(isWithinShare).toBe(false);
          expect(refusals.at(-1)).toMatchObject({ use: one.use, bytes: one.bytes });
          expect(refusals).toHaveLength(refusedBefore + 1);
        }
        expect(budget.heldBytes).toBeLessThanOrEqual(budget.roomBytes);
        expect(budget.roomBytes).toBeLessThan(budget.limitBytes);
      });
      taken.forEach((one) => budget.release(one.use, one.bytes));
      expect(budget.heldBytes).toBe(0);
      memoryUses.forEach((each) => {
        expect(budget.tryTake(each, budget.shareOf(each))).toBe(true);
      });
    },
  );
  fc.assert(check, { seed: SEED, numRuns: 300 });
});

it('should give up the holder that stalls longest, and only as many as are needed', () => {
  const clock = createClock();
  const budget = new MemoryBudget(clock, 200 * MEGABYTE);
  const givenUp: number[] = [];
  const bytes = MEGABYTE;
  let count = 0;
  while (budget.tryTake(MemoryUse.Bodies, bytes)) {
    const index = count;
    const remove = budget.addHolder({
      use: MemoryUse.Bodies,
      isStalled: () => index % 2 === 1,
      giveUp: () => {
        remove();
        givenUp.push(index);
        budget.release(MemoryUse.Bodies, bytes);
      },
    });
    count += 1;
    clock.advance(1);
    if (givenUp.length > 0) {
      break;
    }
  }
  expect(count).toBeGreaterThan(10);
  clock.advance(1_000);
  expect(budget.tryTake(MemoryUse.Bodies, 2 * bytes)).toBe(true);
  expect(givenUp.slice(0, 2)).toEqual([1, 3]);
  expect(givenUp.length).toBeLessThan(5);
});

it('should give up no holder of a use that stays within its share for another use', () => {
  const clock = createClock();
  const budget = new MemoryBudget(clock, 200 * MEGABYTE);
  const share = budget.shareOf(MemoryUse.Answers);
  expect(budget.tryTake(MemoryUse.Answers, share)).toBe(true);
  let givenUp = 0;
  budget.addHolder({
    use: MemoryUse.Answers,
    isStalled: () => true,
    giveUp: () => {
      givenUp += 1;
    },
  });
  expect(budget.tryTake(MemoryUse.Bodies, budget.roomBytes)).toBe(false);
  expect(givenUp).toBe(0);
});

it('should count the limit of the smallest known host where the settings state none', () => {
  const budget = new MemoryBudget(createClock());
  expect(budget.limitBytes).toBe(178 * MEGABYTE);
});
