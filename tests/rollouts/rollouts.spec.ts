import { describe, expect, it } from 'vitest';
import type { ServedRequest } from '../support/rolloutFleet.js';
import { RolloutFleet } from '../support/rolloutFleet.js';

const GOOD = { status: 200, serviceMs: 40 };
const FAILED = { status: 500, serviceMs: 40 };
const DURATION_MS = 16_000;

/** Half of the answers of the target version fail where a condition holds. */
function failing(condition: (request: ServedRequest) => boolean) {
  return (request: ServedRequest) =>
    request.version === 'v2' && request.draw < 0.5 && condition(request) ? FAILED : GOOD;
}

describe('rollout of a bad version', () => {
  it.each([
    ['fails from the start', failing(() => true)],
    ['fails late', failing(({ atMs }) => atMs > 6_000)],
    ['fails under load', failing(({ inFlight }) => inFlight > 1)],
    ['fails on one route', failing(({ route }) => route === 'put')],
    [
      'is slow',
      ({ version }: ServedRequest) => (version === 'v2' ? { status: 200, serviceMs: 320 } : GOOD),
    ],
    [
      'is slow half of the time, on servers that are twice as fast',
      ({ draw, version }: ServedRequest) => ({
        status: 200,
        serviceMs: (version === 'v2' ? 20 : 40) * (version === 'v2' && draw < 0.5 ? 8 : 1),
      }),
    ],
    [
      'is slow on one route',
      ({ route, version }: ServedRequest) =>
        version === 'v2' && route === 'put' ? { status: 200, serviceMs: 320 } : GOOD,
    ],
  ])('should be reverted within the bound on exposure if it %s', async (_, behave) => {
    const fleet = new RolloutFleet(behave);
    await fleet.load(400, 1_000);
    fleet.order('v2', DURATION_MS);
    await fleet.load(400, 18_000);
    expect(fleet.store.written).toEqual(['in_progress v2', 'reverted v2']);
    // Well before the end of the rollout, at which a version without a verdict is reverted, too.
    expect(fleet.store.writtenAtMs).toBeLessThan(11_000);
    const { bound, target } = fleet.exposed();
    expect(target).toBeGreaterThan(0);
    expect(target).toBeLessThan(bound);
    const bad = fleet.counts.runs.filter((run) => run.bad).map(({ atMs }) => atMs);
    const stopMs = (bad.sort((left, right) => left - right)[49] ?? Infinity) + 5_000;
    const late = fleet.counts.runs.filter(({ atMs, version }) => version === 'v2' && atMs > stopMs);
    expect(late).toEqual([]);
    expect(fleet.counts.refused).toBe(0);
  });
});

describe('rollout of a good version', () => {
  it.each([
    ['all servers are well', () => GOOD],
    [
      'some old servers are slow',
      ({ host }: ServedRequest) =>
        ['10.0.0.1', '10.0.0.2'].includes(host) ? { status: 200, serviceMs: 300 } : GOOD,
    ],
    [
      'some old servers fail',
      ({ draw, host }: ServedRequest) => (host === '10.0.0.1' && draw < 0.5 ? FAILED : GOOD),
    ],
  ])('should be completed within the duration while %s', async (_, behave) => {
    const fleet = new RolloutFleet(behave);
    await fleet.load(200, 1_000);
    fleet.order('v2', DURATION_MS);
    await fleet.load(200, 1_000 + DURATION_MS);
    expect(fleet.store.written).toEqual(['in_progress v2', 'completed v2']);
    await fleet.load(200, 2_000 + DURATION_MS);
    const late = fleet.counts.runs.filter(({ atMs }) => atMs > 1_000 + DURATION_MS);
    expect(late.every(({ version }) => version === 'v2')).toBe(true);
    expect(fleet.counts.refused).toBe(0);
  });
});

describe('versions without a rollout', () => {
  it('should get no requests unless they served first', async () => {
    const fleet = new RolloutFleet(() => GOOD);
    await fleet.load(200, 5_000);
    expect(fleet.counts.runs.length).toBeGreaterThan(900);
    expect(fleet.counts.runs.every(({ version }) => version === 'v1')).toBe(true);
  });
});

describe('gate of a version', () => {
  it('should refuse requests of entries that know less than itself', async () => {
    const fleet = new RolloutFleet(() => GOOD);
    expect(await fleet.runsAt('10.0.0.9')).toBe(false);
    expect(await fleet.runsAt('10.0.0.1')).toBe(true);
    fleet.order('v2', DURATION_MS);
    await fleet.load(200, DURATION_MS);
    expect(await fleet.runsAt('10.0.0.9')).toBe(true);
    expect(await fleet.runsAt('10.0.0.1')).toBe(false);
  });

  it('should stop after five failures in a row though no controller hears of it', async () => {
    const fleet = new RolloutFleet(({ version }) => (version === 'v2' ? FAILED : GOOD));
    fleet.order('v2', DURATION_MS);
    await fleet.clock.runUntil(1_500);
    fleet.setGroup('10.0.0.9', 1);
    const runs: boolean[] = [];
    for (let index = 0; index < 8; index += 1) {
      runs.push(await fleet.runsAt('10.0.0.9'));
    }
    expect(runs.filter(Boolean)).toHaveLength(5);
  });
});

describe('rollout with failures of machines, links and the store', () => {
  it('should be completed by the next controller when the first is killed', async () => {
    const fleet = new RolloutFleet(() => GOOD);
    fleet.order('v2', DURATION_MS);
    await fleet.load(200, 4_000);
    fleet.kill(fleet.controllers[0] ?? '');
    await fleet.load(200, DURATION_MS);
    expect(fleet.store.written).toEqual(['in_progress v2', 'completed v2']);
  });

  it('should be reverted by another controller when the first is cut off', async () => {
    const fleet = new RolloutFleet(failing(({ atMs }) => atMs > 4_000));
    fleet.order('v2', DURATION_MS);
    await fleet.load(200, 3_000);
    fleet.setGroup(fleet.controllers[0] ?? '', 1);
    await fleet.load(200, 14_000);
    expect(fleet.store.written).toEqual(['in_progress v2', 'reverted v2']);
    fleet.setGroup(fleet.controllers[0] ?? '', 0);
    await fleet.load(200, DURATION_MS);
    expect(fleet.store.written).toHaveLength(2);
    const { bound, target } = fleet.exposed();
    expect(target).toBeLessThan(bound);
  });

  it('should end the canary where no controller has been heard of for seconds', async () => {
    const fleet = new RolloutFleet(() => GOOD);
    fleet.order('v2', DURATION_MS);
    await fleet.load(400, 2_000);
    // Some servers of both versions, none of which controls the rollout within the test.
    const cutOff = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16]
      .map((index) => `10.0.0.${index}`)
      .filter((host) => !fleet.controllers.includes(host));
    cutOff.forEach((host) => fleet.setGroup(host, 1));
    await fleet.load(400, 4_500);
    const runsOf = (sinceMs: number) =>
      fleet.counts.runs.filter(
        ({ atMs, host, version }) => atMs > sinceMs && version === 'v2' && cutOff.includes(host),
      ).length;
    expect(runsOf(2_100)).toBeGreaterThan(0);
    await fleet.load(400, 9_000);
    expect(runsOf(6_200)).toBe(0);
    cutOff.forEach((host) => fleet.setGroup(host, 0));
    await fleet.load(400, DURATION_MS);
    expect(fleet.store.written.at(-1)).toBe('completed v2');
  });

  it('should write one outcome when two halves of the fleet have a controller each', async () => {
    const fleet = new RolloutFleet(failing(() => true));
    fleet.order('v2', DURATION_MS);
    [1, 2, 4, 7, 10, 13, 16].forEach((index) => fleet.setGroup(`10.0.0.${index}`, 1));
    await fleet.load(200, DURATION_MS + 4_000);
    const outcomes = fleet.store.written.filter((one) => !one.startsWith('in_progress'));
    expect(outcomes).toEqual(['reverted v2']);
  });

  it('should stop a bad version while the store is down, and write the outcome after', async () => {
    const fleet = new RolloutFleet(failing(() => true));
    fleet.store.available = false;
    fleet.order('v2', DURATION_MS);
    await fleet.load(400, 8_000);
    const { length } = fleet.counts.runs.filter(({ version }) => version === 'v2');
    expect(length).toBeGreaterThan(0);
    await fleet.load(400, 10_000);
    expect(fleet.counts.runs.filter(({ version }) => version === 'v2')).toHaveLength(length);
    expect(fleet.store.written).toEqual([]);
    fleet.store.available = true;
    await fleet.load(400, 12_000);
    expect(fleet.store.written.at(-1)).toBe('reverted v2');
  });

  it('should not be completed without any request', async () => {
    const fleet = new RolloutFleet(() => GOOD);
    fleet.order('v2', DURATION_MS);
    await fleet.clock.runUntil(DURATION_MS);
    expect(fleet.store.written).toEqual(['in_progress v2', 'reverted v2']);
  });

  it('should be replaced by a later order of the service', async () => {
    const fleet = new RolloutFleet(() => GOOD);
    fleet.order('v3', DURATION_MS);
    await fleet.load(200, 2_000);
    fleet.order('v2', DURATION_MS);
    await fleet.load(200, 2_000 + DURATION_MS);
    expect(fleet.store.written).toEqual(['in_progress v3', 'in_progress v2', 'completed v2']);
  });
});
