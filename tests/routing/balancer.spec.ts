import { RoutingTable, SeededRandomness } from 'lentillb';
import type { Endpoint } from 'lentillb/membership/fleetView.js';
import { Balancer } from 'lentillb/routing/balancer.js';
import { EndpointStats, endpointKey } from 'lentillb/routing/endpointStats.js';
import { parseRuleFile } from 'lentillb/rules/ruleFile.js';
import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';
import { testSettings } from '../support/testNode.js';

const RAMP_MS = 10_000;
const CALLS = 1_000;
const NONE: ReadonlySet<string> = new Set();

let clock: ManualClock;
let endpoints: Endpoint[];
let stats: EndpointStats;
let balancer: Balancer;

function tableOf(zoneRule: string): RoutingTable {
  const service =
    'service pages port any slots 10 connections 16 ramp 10s drain 5s # Test: reading\n';
  const { rules } = parseRuleFile(`${service}${zoneRule}`).unwrap();
  return new RoutingTable({ version: 1, rules });
}

const anywhere = tableOf('zone pages any spill 100% # Test: anywhere\n');
const local = tableOf('zone pages local spill 50% # Test: stay near\n');

function endpoint(host: string, zone: string, ageMs = RAMP_MS): Endpoint {
  const readyAt = new Date(clock.now().getTime() - ageMs);
  const where = { region: 'r', address: '127.0.0.1', gatePort: 1, slots: 10 };
  return { id: 'pages', service: 'pages', host, zone, readyAt, ...where };
}

/** Counts how often each host is chosen while every call stays in flight. */
function spread(table: RoutingTable, calls: number): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (let call = 0; call < calls; call += 1) {
    const chosen = balancer.choose(table, 'pages', NONE);
    if (chosen !== undefined) {
      stats.recordStart(chosen);
      counts[chosen.host] = (counts[chosen.host] ?? 0) + 1;
    }
  }
  return counts;
}

beforeEach(() => {
  clock = new ManualClock();
  endpoints = [];
  stats = new EndpointStats({ clock });
  balancer = new Balancer({
    clock,
    endpointStats: stats,
    fleetView: { endpointsOf: () => endpoints } as unknown as never,
    randomness: new SeededRandomness(1),
    settings: testSettings({ zone: 'here' }),
  });
});

describe('balancer', () => {
  it('should return undefined if the service has no backend server', () => {
    expect(balancer.choose(anywhere, 'pages', NONE)).toBeUndefined();
  });

  it('should spread calls evenly over equal backend servers', () => {
    endpoints = ['a', 'b', 'c', 'd'].map((host) => endpoint(host, 'here'));
    const counts = Object.values(spread(anywhere, CALLS));
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(10);
  });

  it('should avoid a backend server whose calls do not end', () => {
    endpoints = [endpoint('slow', 'here'), endpoint('a', 'here'), endpoint('b', 'here')];
    for (let call = 0; call < CALLS; call += 1) {
      const chosen = balancer.choose(anywhere, 'pages', NONE) as Endpoint;
      stats.recordStart(chosen);
      if (chosen.host !== 'slow') {
        stats.recordEnd(chosen);
      }
    }
    expect(stats.inFlight(endpoints[0] as Endpoint)).toBeLessThanOrEqual(3);
  });

  it('should stay in its own zone until the load there reaches the spill share', () => {
    endpoints = [endpoint('near', 'here'), endpoint('far', 'there')];
    // Fills half of the ten local slots, then chooses the less loaded of both backend servers.
    expect(spread(local, 5)).toEqual({ near: 5 });
    const counts = spread(local, 5);
    expect(counts.far).toBeGreaterThanOrEqual(4);
  });

  it('should choose another zone if its own has no backend server', () => {
    endpoints = [endpoint('far', 'there')];
    expect(spread(local, 1)).toEqual({ far: 1 });
  });

  it('should send few calls to a backend server that has just become ready', () => {
    endpoints = [endpoint('warm', 'here'), endpoint('cold', 'here', RAMP_MS / 10)];
    const counts = spread(anywhere, 110);
    expect(counts.cold).toBeGreaterThanOrEqual(8);
    expect(counts.cold).toBeLessThanOrEqual(12);
  });

  it('should eject a backend server after three consecutive failures, doubling the time until it answers', async () => {
    endpoints = [endpoint('bad', 'here'), endpoint('a', 'here'), endpoint('b', 'here')];
    const [bad] = endpoints as [Endpoint];
    expect([stats.recordFailure(bad), stats.recordFailure(bad), stats.recordFailure(bad)]).toEqual([
      false,
      false,
      true,
    ]);
    expect(Object.keys(spread(anywhere, 50)).sort()).toEqual(['a', 'b']);
    await clock.advance(1_000);
    expect(stats.isEjected(bad)).toBe(false);
    [1, 2, 3].forEach(() => stats.recordFailure(bad));
    await clock.advance(1_000);
    expect(stats.isEjected(bad)).toBe(true);
    await clock.advance(1_000);
    expect(stats.isEjected(bad)).toBe(false);
    stats.recordSuccess(bad);
    [1, 2, 3].forEach(() => stats.recordFailure(bad));
    await clock.advance(1_000);
    expect(stats.isEjected(bad)).toBe(false);
  });

  it('should ignore ejections if more than half of the backend servers are ejected', () => {
    endpoints = ['a', 'b', 'c'].map((host) => endpoint(host, 'here'));
    endpoints.slice(0, 2).forEach((bad) => [1, 2, 3].forEach(() => stats.recordFailure(bad)));
    expect(Object.keys(spread(anywhere, 100)).sort()).toEqual(['a', 'b', 'c']);
  });

  it('should not choose a backend server that was already tried for the call', () => {
    endpoints = ['a', 'b'].map((host) => endpoint(host, 'here'));
    const tried = new Set(endpoints.slice(0, 1).map(endpointKey));
    const chosen = Array.from({ length: 20 }, () => balancer.choose(anywhere, 'pages', tried));
    expect(new Set(chosen.map((one) => one?.host))).toEqual(new Set(['b']));
  });
});
