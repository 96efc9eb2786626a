/**
 * Compares the choice of gates with two others that need no reports: at random, and by the loads at
 * the moment of the choice.
 */
import { SeededRandomness } from 'lentillb';
import type { GateEndpoint } from 'lentillb/directory/directory.js';
import type { RunOptions } from 'lentillb/emulation/emulatedFleet.js';
import { EmulatedFleet } from 'lentillb/emulation/emulatedFleet.js';
import type { Scenario } from 'lentillb/emulation/scenario.js';
import { beforeAll, describe, expect, it } from 'vitest';

const HOSTS = [20, 20, 18, 14];
const HOST_COUNT = 72;
const SERVERS = [7, 4, 6, 7];
const SPEEDS = [0.5, 1, 1, 1.5];
const SLOTS = 9;
const WORK_MS = 240;
const TAIL = { share: 0.03, factor: 7 };
const MEAN_LOAD = 0.65;
/** With the phases below, the load of all zones together peaks at 0.87 of the slots. */
const SWING = 0.4;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Four zones whose loads rise and fall out of phase; `entries` is the number of hosts. */
function scenario(reportAgeMs: number, entries: number): Scenario {
  const speeds = SERVERS.flatMap((count) =>
    Array.from({ length: count }, (_, place) => SPEEDS[place % SPEEDS.length] as number),
  );
  const meanWorkMs = WORK_MS * (1 + TAIL.share * (TAIL.factor - 1));
  const perSecond = (MEAN_LOAD * SLOTS * sum(speeds) * 1_000) / meanWorkMs;
  return {
    zones: 4,
    durationMs: 21_000,
    warmUpMs: 4_000,
    linkMs: 0.5,
    reportAgeMs,
    waves: { swing: SWING, periodMs: 17_000, phases: [0.1, 0.18, 0.26, 0.34] },
    services: {
      orders: { slots: SLOTS, serversPerZone: SERVERS, speeds: SPEEDS },
      other: {
        slots: 1,
        serversPerZone: HOSTS.map(
          (hosts, zone) => Math.round((hosts * entries) / HOST_COUNT) - (SERVERS[zone] as number),
        ),
        speeds: [1],
      },
    },
    requests: {
      order: {
        service: 'orders',
        perSecond: HOSTS.map((hosts) => (perSecond * hosts) / HOST_COUNT),
        workMs: WORK_MS,
        workLogDeviation: 0.8,
        workTail: TAIL,
        targetMs: 900,
        deadlineMs: 3_600,
        timeoutMs: 2_700,
        priority: 1,
        repeatable: true,
        retries: 1,
      },
    },
  };
}

/** Chooses the gate with the lowest cost. */
function byCost(
  costOf: (endpoint: GateEndpoint, zone: string) => number,
): RunOptions['createSelector'] {
  return (_, { zone }) => ({
    choose: ({ candidates, excluded }) => {
      const costs = candidates
        .filter(({ host }) => !excluded.has(host))
        .map((endpoint) => ({ endpoint, cost: costOf(endpoint, zone) }));
      const [best] = costs.sort((left, right) => left.cost - right.cost);
      return best && { endpoint: best.endpoint, expectedMs: WORK_MS, risk: 0 };
    },
    countCandidates: ({ length }) => ({
      hosts: length,
      silentHosts: 0,
      avoidedHosts: 0,
      zoneLoadPercent: 0,
      zoneDeviationPercent: 0,
    }),
  });
}

interface Figures {
  readonly inTime: number;
  readonly refused: number;
  readonly p99Ms: number;
  readonly deviation: number;
  readonly waiting: number;
  readonly crossZone: number;
}

async function figuresOf(fleet: EmulatedFleet): Promise<Figures> {
  await fleet.run();
  const counts = fleet.byKind.countsOf('order');
  const latenciesMs = [...(fleet.latenciesMsByKind.get('order') ?? [])].sort((a, b) => a - b);
  const samples = fleet.slotsInUse.get('orders') ?? [];
  return {
    inTime: counts['in-time'] / counts.asked,
    refused: counts.refused / counts.asked,
    p99Ms: latenciesMs[Math.floor(latenciesMs.length * 0.99)] ?? Infinity,
    deviation: sum(samples.map(({ deviation }) => deviation)) / samples.length,
    waiting: sum(samples.map(({ queued }) => queued)) / samples.length,
    crossZone: fleet.sends.crossZone / counts.asked,
  };
}

const randomness = new SeededRandomness(3);
const OPTIONS = { seed: 1, sharesLoad: true };

/** The difference in free slots for which the ideal choice sends a request to another zone. */
const CROSS_ZONE_SHARE = 0.6;

describe('load of backend servers in zones whose loads rise and fall out of phase', () => {
  let random: Figures;
  let ideal: Figures;

  beforeAll(async () => {
    const costs = byCost(() => randomness.fraction());
    random = await figuresOf(
      new EmulatedFleet(scenario(300, 72), { ...OPTIONS, createSelector: costs }),
    );
    const fleet: EmulatedFleet = new EmulatedFleet(scenario(300, 72), {
      ...OPTIONS,
      createSelector: byCost(({ host, zone }, ownZone) => {
        const { queued, running, slots } = fleet.loadOf(host);
        return (running + queued) / slots + (zone === ownZone ? 0 : CROSS_ZONE_SHARE);
      }),
    });
    ideal = await figuresOf(fleet);
  });

  it.each([
    [300, 72],
    [1_000, 72],
    [300, 300],
    [1_000, 300],
  ])(
    'should be nearly as even as with current reports, where they are %s ms old and shared by %s nodes',
    async (reportAgeMs, entries) => {
      const chosen = await figuresOf(new EmulatedFleet(scenario(reportAgeMs, entries), OPTIONS));
      const seen = JSON.stringify({ chosen, random, ideal });
      expect(chosen.inTime, seen).toBeGreaterThan(ideal.inTime - 0.01);
      expect(chosen.inTime, seen).toBeGreaterThan(random.inTime + 0.01);
      expect(chosen.p99Ms, seen).toBeLessThan(ideal.p99Ms * 1.1);
      expect(chosen.refused, seen).toBeLessThan(0.001);
      expect(chosen.crossZone, seen).toBeLessThan(ideal.crossZone + 0.04);
    },
  );
});
