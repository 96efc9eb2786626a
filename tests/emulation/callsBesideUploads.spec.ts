import { EmulatedFleet } from 'lentillb/emulation/emulatedFleet.js';
import type { Scenario } from 'lentillb/emulation/scenario.js';
import { describe, expect, it } from 'vitest';

const ONCE = { repeatable: false, retries: 1, workLogDeviation: 0.47 } as const;

/** Uploads at 1.48 times the slots of 8 backend servers, which are slower than uploads are on average. */
const SCENARIO: Scenario = {
  zones: 4,
  durationMs: 15_000,
  warmUpMs: 3_000,
  linkMs: 0.9,
  services: {
    files: { slots: 9, serversPerZone: 2, speeds: [0.5, 1] },
    orders: { slots: 9, serversPerZone: 6, speeds: [1] },
  },
  requests: {
    upload: {
      ...ONCE,
      service: 'files',
      perSecond: 112,
      workMs: 237,
      targetMs: 2_100,
      deadlineMs: 6_300,
      timeoutMs: 6_300,
      priority: 2,
    },
    order: {
      ...ONCE,
      service: 'orders',
      perSecond: 25,
      workMs: 200,
      targetMs: 1_200,
      deadlineMs: 3_600,
      timeoutMs: 3_600,
      priority: 1,
      calls: [
        { kind: 'call', share: 0.7 },
        { kind: 'call', share: 0.7 },
      ],
    },
    call: {
      service: 'files',
      perSecond: 0,
      workMs: 50,
      workLogDeviation: 0.47,
      targetMs: 234,
      deadlineMs: 702,
      timeoutMs: 702,
      priority: 1,
      repeatable: true,
      retries: 0,
    },
  },
};

const SEEDS = [1, 4, 5, 8];

describe('requests whose calls need the slots that uploads fill', () => {
  // Each call that finds no slot in time fails an order that has run until then.
  it('should be answered in time while uploads are still served', async () => {
    const fleets = SEEDS.map((seed) => new EmulatedFleet(SCENARIO, { seed, sharesLoad: true }));
    for (const fleet of fleets) {
      await fleet.run();
    }
    const meanShare = (kind: string): number =>
      fleets.reduce((sum, { byKind }) => sum + byKind.inTimeShare(kind), 0) / fleets.length;
    expect(meanShare('order')).toBeGreaterThan(0.99);
    expect(meanShare('upload')).toBeGreaterThan(0.36);
  });
});
