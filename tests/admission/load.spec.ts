import { describe, expect, it } from 'vitest';
import type { LoadKind, LoadOptions, LoadResults } from '../support/slotLoad.js';
import { inTimeShare, playLoad, servedShare } from '../support/slotLoad.js';

const SERVERS = 8;
const SLOTS = 9;
const DURATION_MS = 14_000;
const SEEDS = [1, 2];

/** A peak between 5 and 12 seconds. */
function peak(share: number, usualShare: number): (atMs: number) => number {
  return (atMs) => (atMs > 5_000 && atMs < 12_000 ? share : usualShare);
}

/** Creates a kind whose load is given as a share of all slots. */
function kindOf(fields: Omit<LoadKind, 'perSecond'>, load: (atMs: number) => number): LoadKind {
  const capacity = (SERVERS * SLOTS * 1_000) / fields.workMs;
  return { ...fields, perSecond: (atMs) => load(atMs) * capacity };
}

const UPLOAD = {
  name: 'upload',
  customer: 'c',
  customerPriority: 1,
  workMs: 237,
  targetMs: 2_100,
  timeoutMs: 6_300,
  priority: 2,
  retries: true,
};
const CALL = { name: 'call', workMs: 50, targetMs: 234, timeoutMs: 702, priority: 1 };
const BROWSE = { workMs: 80, targetMs: 400, timeoutMs: 1_200, priority: 1, retries: true };

function browse(customer: string, customerPriority: number, load: (atMs: number) => number) {
  return kindOf({ ...BROWSE, name: `browse ${customer}`, customer, customerPriority }, load);
}

function play(
  kinds: readonly LoadKind[],
  options: Pick<LoadOptions, 'isAsBefore' | 'seed' | 'speeds'>,
): Promise<LoadResults> {
  return playLoad(kinds, { servers: SERVERS, slots: SLOTS, durationMs: DURATION_MS, ...options });
}

/** Plays a load with the order of before and with the new one. */
async function compare(
  kinds: readonly LoadKind[],
  speeds: readonly number[] = [1],
): Promise<readonly { before: LoadResults; after: LoadResults }[]> {
  const pairs = [];
  for (const seed of SEEDS) {
    const before = await play(kinds, { seed, speeds, isAsBefore: true });
    const after = await play(kinds, { seed, speeds, isAsBefore: false });
    pairs.push({ before, after });
  }
  return pairs;
}

describe('load beyond the slots', () => {
  it('should serve calls in time during a burst of uploads, at little cost', async () => {
    const kinds = [kindOf(UPLOAD, peak(1.48, 0.5)), kindOf(CALL, () => 0.1)];
    const pairs = await compare(kinds);
    pairs.forEach(({ after, before }) => {
      expect(inTimeShare(after, 'call')).toBeGreaterThan(0.995);
      expect(servedShare(after, 'upload')).toBeGreaterThan(servedShare(before, 'upload') - 0.03);
    });
  });

  it('should make fewer calls late where some backend servers are slow', async () => {
    const kinds = [kindOf(UPLOAD, peak(1.48, 0.5)), kindOf(CALL, () => 0.1)];
    const pairs = await compare(kinds, [0.5, 1, 1, 1.5]);
    pairs.forEach(({ after, before }) => {
      const lateShare = 1 - inTimeShare(after, 'call');
      expect(lateShare).toBeLessThan((1 - inTimeShare(before, 'call')) * 0.7);
      expect(servedShare(after, 'upload')).toBeGreaterThan(servedShare(before, 'upload') - 0.05);
    });
  });

  // Underserved uploads must not go before calls that only for moments hold most slots.
  it('should serve all calls where half of the backend servers are slow', async () => {
    const kinds = [kindOf(UPLOAD, peak(1.48, 0.5)), kindOf(CALL, () => 0.2)];
    const results = await play(kinds, { seed: 1, speeds: [0.5, 0.5, 1, 1], isAsBefore: false });
    expect(servedShare(results, 'call')).toBeGreaterThan(0.995);
    expect(inTimeShare(results, 'call')).toBeGreaterThan(0.97);
  });

  it('should not let a hot customer of low priority take slots from others', async () => {
    const kinds = [
      browse('hot', 2, peak(1.6, 0.2)),
      browse('middle', 1, () => 0.3),
      browse('first', 0, () => 0.2),
    ];
    const results = await play(kinds, { seed: 1, isAsBefore: false });
    expect(inTimeShare(results, 'browse middle')).toBeGreaterThan(0.99);
    expect(inTimeShare(results, 'browse first')).toBeGreaterThan(0.99);
  });

  it.each([
    [
      'customers of low priority',
      [
        browse('hot', 0, () => 1.8),
        browse('low', 2, () => 0.3),
        // One request every 1.3 seconds at each gate must be enough to be found underserved.
        browse('tiny', 2, () => 0.007),
      ],
    ],
    [
      'kinds of low priority',
      [
        kindOf({ ...BROWSE, name: 'browse', customer: 'c', priority: 0 }, () => 1.8),
        kindOf({ ...BROWSE, name: 'list', customer: 'c', priority: 2 }, () => 0.3),
      ],
    ],
    [
      'requests beside calls that take all slots',
      [kindOf({ ...CALL, targetMs: 150, timeoutMs: 450 }, () => 1.25), browse('c', 1, () => 0.3)],
    ],
  ])('should not starve %s', async (_, kinds) => {
    const results = await play(kinds, { seed: 1, isAsBefore: false });
    [...results.keys()].forEach((name) => {
      expect(servedShare(results, name), name).toBeGreaterThan(servedShare(results) / 4);
    });
  });
});
