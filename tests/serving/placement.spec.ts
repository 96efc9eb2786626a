import { SeededRandomness } from 'lentillb';
import type { GateEndpoint } from 'lentillb/directory/directory.js';
import { GateObservations } from 'lentillb/serving/gateObservations.js';
import { GateSelector } from 'lentillb/serving/gateSelector.js';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const SLOTS = 10;
const TARGET_MS = 500;
const ROUTE_HASH = 7;
const NO_HOSTS: ReadonlySet<string> = new Set();

function endpoint(host: string, zone: string): GateEndpoint {
  return {
    host,
    zone,
    gateAddress: `${host}:1`,
    peerAddress: `${host}:2`,
    backendServer: { id: `i-${host}`, startedAtMs: 1, service: 's', slots: SLOTS, state: 'ready' },
  };
}

function fixture() {
  const clock = new ManualClock();
  const observations = new GateObservations(clock, 100);
  const silent = new Set<string>();
  const gateSelector = new GateSelector(
    {
      observations,
      randomness: new SeededRandomness(3),
      isSilent: (host) => silent.has(host),
    },
    'a',
  );
  const near = endpoint('near', 'a');
  const far = endpoint('far', 'b');
  const choose = (excluded = NO_HOSTS): string | undefined =>
    gateSelector.choose({
      candidates: [near, far],
      excluded,
      targetMs: TARGET_MS,
      routeHash: ROUTE_HASH,
    })?.endpoint.host;
  return { choose, clock, far, near, observations, gateSelector, silent };
}

describe('placement', () => {
  it('should keep a request in its zone while it can be answered there on time', () => {
    const { choose, far, near, observations } = fixture();
    observations.of(near).recordServiceTime(220);
    observations.of(far).recordServiceTime(80);
    observations.of(near).recordLoad(SLOTS - 1);
    expect(choose()).toBe('near');
  });

  // Reports round service times to milliseconds, so that those of fast backend servers are 0.
  it('should choose a gate whose backend servers answer in less than half a millisecond', () => {
    const { choose, far, near, observations } = fixture();
    observations.of(near).recordServiceTime(0);
    observations.of(far).recordServiceTime(0);
    expect(choose()).toBe('near');
  });

  it('should choose another zone when its own zone would answer late', () => {
    const { choose, near, observations } = fixture();
    observations.of(near).recordServiceTime(150);
    observations.of(near).recordLoad(SLOTS * 3);
    expect(choose()).toBe('far');
  });

  it('should stay in its zone when other zones are equally loaded', () => {
    const { choose, far, near, observations } = fixture();
    [near, far].forEach((one) => {
      observations.of(one).recordServiceTime(150);
      observations.of(one).recordLoad(SLOTS * 4);
    });
    expect(choose()).toBe('near');
  });

  it('should avoid a failing backend server, and try it again later', async () => {
    const { choose, clock, near, observations } = fixture();
    for (let request = 0; request < 10; request += 1) {
      observations.of(near).recordOutcome(true);
    }
    expect(choose()).toBe('far');
    await clock.advance(10_000);
    expect(choose()).toBe('near');
  });

  it('should avoid a host that is silent or unreachable', async () => {
    const { choose, clock, near, observations, silent } = fixture();
    silent.add('near');
    expect(choose()).toBe('far');
    silent.clear();
    observations.of(near).recordUnreachable();
    expect(choose()).toBe('far');
    await clock.advance(300);
    expect(choose()).toBe('near');
  });

  it('should choose none when all hosts are silent, so that the caller is refused at once', () => {
    const { choose, silent } = fixture();
    silent.add('near');
    silent.add('far');
    expect(choose()).toBeUndefined();
  });

  it('should choose an unreachable host rather than none', () => {
    const { choose, far, near, observations } = fixture();
    [near, far].forEach((one) => observations.of(one).recordUnreachable());
    expect(choose()).toBeDefined();
  });

  it('should choose none when all hosts are excluded', () => {
    const { choose } = fixture();
    expect(choose(new Set(['near', 'far']))).toBeUndefined();
  });

  it('should discard the observations of a backend server once another one runs on its host', () => {
    const { near, observations } = fixture();
    observations.of(near).recordServiceTime(300);
    observations.removeOthers('near', near.backendServer.id);
    expect(observations.of(near).measuredMs).toBe(300);
    observations.removeOthers('near', 'i-next');
    expect(observations.of(near).measuredMs).toBeUndefined();
  });

  it('should count requests sent since the last load report', () => {
    const { choose, near, observations } = fixture();
    observations.of(near).recordServiceTime(150);
    observations.of(near).recordLoad(0);
    for (let request = 0; request < SLOTS * 3; request += 1) {
      observations.of(near).recordStart();
    }
    expect(choose()).toBe('far');
  });

  it('should count silent and unreachable hosts for the log', () => {
    const { far, near, observations, gateSelector, silent } = fixture();
    silent.add('near');
    observations.of(far).recordUnreachable();
    expect(gateSelector.countCandidates([near, far])).toEqual({
      hosts: 2,
      silentHosts: 1,
      avoidedHosts: 1,
    });
  });

  it('should prefer the gate whose node reports a short service time for the route', () => {
    const { choose, far, near, observations } = fixture();
    observations.of(near).recordServiceTime(100);
    const report = { load: 0, failureShare: 0 };
    observations.recordSharedLoad('near', {
      ...report,
      serviceTimes: [{ routeHash: ROUTE_HASH, meanMs: 600 }],
    });
    observations.of(far);
    observations.recordSharedLoad('far', {
      ...report,
      serviceTimes: [{ routeHash: ROUTE_HASH, meanMs: 100 }],
    });
    expect(choose()).toBe('far');
    observations.recordSharedLoad('near', { ...report, serviceTimes: [] });
    expect(choose()).toBe('near');
  });

  it('should avoid a gate whose node reports failures, until the report is out of date', async () => {
    const { choose, clock, near, observations } = fixture();
    observations.of(near);
    observations.recordSharedLoad('near', { load: 0, failureShare: 0.5, serviceTimes: [] });
    expect(choose()).toBe('far');
    await clock.advance(2_100);
    expect(choose()).toBe('near');
  });

  it.each([2, 0])(
    'should choose another zone when the backend server of its own states a limit of %s, until it lifts it',
    async (limitPerSecond) => {
      const { choose, clock, near, observations } = fixture();
      observations.of(near).recordLoad(2, limitPerSecond);
      expect(choose()).toBe('far');
      observations.of(near).recordLoad(2);
      expect(choose()).toBe('near');
      observations.of(near).recordLoad(2, limitPerSecond);
      await clock.advance(2_000);
      expect(choose()).toBe('near');
    },
  );

  it('should compare only some of many gates, so that nodes with the same reports choose differently', () => {
    const clock = new ManualClock();
    const observations = new GateObservations(clock, 100);
    const candidates = Array.from({ length: 30 }, (_, index) => endpoint(`h${index}`, 'a'));
    candidates.forEach((one, index) => {
      observations.of(one);
      observations.recordSharedLoad(one.host, {
        load: 0,
        failureShare: 0,
        serviceTimes: [{ routeHash: ROUTE_HASH, meanMs: 100 + index * 10 }],
      });
    });
    const selector = new GateSelector(
      { observations, randomness: new SeededRandomness(3), isSilent: () => false },
      'a',
    );
    const chosen = Array.from({ length: 40 }, () =>
      selector.choose({
        candidates,
        excluded: NO_HOSTS,
        targetMs: TARGET_MS,
        routeHash: ROUTE_HASH,
      }),
    ).map((placement) => placement?.endpoint.host);
    expect(new Set(chosen).size).toBeGreaterThan(3);
  });

  it('should look at each gate only once for a request, since a service may have hundreds', () => {
    const clock = new ManualClock();
    let lookUps = 0;
    class CountingObservations extends GateObservations {
      override of(gate: GateEndpoint): ReturnType<GateObservations['of']> {
        lookUps += 1;
        return super.of(gate);
      }
    }
    const observations = new CountingObservations(clock, 100);
    const candidates = Array.from({ length: 340 }, (_, index) => endpoint(`h${index}`, 'a'));
    candidates.forEach((one) => observations.of(one).recordServiceTime(100));
    const selector = new GateSelector(
      { observations, randomness: new SeededRandomness(3), isSilent: () => false },
      'a',
    );
    lookUps = 0;
    selector.choose({
      candidates,
      excluded: NO_HOSTS,
      targetMs: TARGET_MS,
      routeHash: ROUTE_HASH,
    });
    expect(lookUps).toBeLessThanOrEqual(candidates.length + 10);
  });
});
