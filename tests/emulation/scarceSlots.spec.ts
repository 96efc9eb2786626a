import { EmulatedFleet } from 'lentillb/emulation/emulatedFleet.js';
import type { RequestKind, Scenario } from 'lentillb/emulation/scenario.js';
import { describe, expect, it } from 'vitest';

const SEEDS = [1, 2];

/** The kinds of requests that callers send. */
const CALLER_KINDS = ['find', 'reserve', 'pay'] as const;
type CallerKind = (typeof CALLER_KINDS)[number];

/** What the callers of one kind got, as shares of all their requests. */
interface CallerShares {
  readonly inTime: number;
  readonly late: number;
  readonly refusedAtOnce: number;
  readonly refusedAfterWaiting: number;
  readonly failed: number;
}

const READ = {
  perSecond: 0,
  workMs: 80,
  workLogDeviation: 0.47,
  targetMs: 300,
  deadlineMs: 1_000,
  timeoutMs: 1_000,
  priority: 1,
  repeatable: true,
  retries: 0,
} as const;

const ONCE = { repeatable: false, retries: 2 } as const;

const REQUESTS: Readonly<Record<string, RequestKind>> = {
  find: {
    service: 'search',
    perSecond: 180,
    workMs: 324,
    workLogDeviation: 0.7,
    targetMs: 1_000,
    deadlineMs: 6_000,
    timeoutMs: 3_000,
    priority: 2,
    repeatable: true,
    retries: 2,
    calls: [{ kind: 'read-order', share: 0.7 }],
  },
  reserve: {
    ...ONCE,
    service: 'orders',
    perSecond: 70,
    workMs: 412,
    workLogDeviation: 0.47,
    targetMs: 1_200,
    deadlineMs: 8_000,
    timeoutMs: 4_000,
    priority: 1,
    calls: [
      { kind: 'read-payment', share: 0.7 },
      { kind: 'read-payment', share: 0.7 },
    ],
  },
  pay: {
    ...ONCE,
    service: 'payments',
    perSecond: 70,
    workMs: 226,
    workLogDeviation: 0.3,
    targetMs: 600,
    deadlineMs: 4_000,
    timeoutMs: 2_000,
    priority: 0,
  },
  'read-order': { ...READ, service: 'orders' },
  'read-payment': { ...READ, service: 'payments' },
};

/** Three services whose runs call each other, at a factor on their usual load. */
function scenario(load: number): Scenario {
  return {
    zones: 1,
    durationMs: 12_000,
    warmUpMs: 3_000,
    linkMs: 0.9,
    services: {
      search: { slots: 11, serversPerZone: 10, speeds: [0.7, 0.7, 1.6] },
      orders: { slots: 11, serversPerZone: 7, speeds: [0.7, 0.7, 1.6] },
      payments: { slots: 11, serversPerZone: 3, speeds: [0.6, 1, 1.4] },
    },
    requests: Object.fromEntries(
      Object.entries(REQUESTS).map(([name, kind]) => [
        name,
        { ...kind, perSecond: Number(kind.perSecond) * load },
      ]),
    ),
  };
}

function sharesOf(fleets: readonly EmulatedFleet[], kind: CallerKind): CallerShares {
  const counts = fleets.map(({ byKind }) => byKind.countsOf(kind));
  const asked = counts.reduce((sum, count) => sum + count.asked, 0);
  const share = (select: (count: (typeof counts)[number]) => number): number =>
    counts.reduce((sum, count) => sum + select(count), 0) / asked;
  const held = fleets.reduce((sum, { heldByKind }) => sum + heldByKind.countsOf(kind).asked, 0);
  return {
    inTime: share((count) => count['in-time']),
    late: share(({ late }) => late),
    refusedAtOnce: share(({ refused }) => refused) - held / asked,
    refusedAfterWaiting: held / asked,
    failed: share(({ failed }) => failed),
  };
}

async function play(load: number): Promise<Readonly<Record<CallerKind, CallerShares>>> {
  const fleets = SEEDS.map((seed) => new EmulatedFleet(scenario(load), { seed, sharesLoad: true }));
  for (const fleet of fleets) {
    await fleet.run();
  }
  const [find, reserve, pay] = CALLER_KINDS.map((kind) => sharesOf(fleets, kind)) as [
    CallerShares,
    CallerShares,
    CallerShares,
  ];
  return { find, reserve, pay };
}

/** The largest difference of the shares in time of two classes whose runs use the same slots. */
const MAX_DIFFERENCE = 0.15;

describe('callers of services that lack slots', () => {
  it('should get a class served in time whose runs wait for calls behind a more urgent class', async () => {
    const shares = await play(1.3);
    const { pay, reserve } = shares;
    expect(reserve.inTime, JSON.stringify(shares)).toBeGreaterThan(pay.inTime - MAX_DIFFERENCE);
  });
});
