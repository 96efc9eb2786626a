import { SeededRandomness } from 'lentillb';
import type { GateEndpoint } from 'lentillb/directory/directory.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { GateObservations } from 'lentillb/placing/gateObservations.js';
import { GateSelector } from 'lentillb/placing/gateSelector.js';
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
      metrics: new MetricsRegistry(),
      gate: { inFlight: 0 },
    },
    { host: 'none', zone: 'a' },
  );
  const near = endpoint('near', 'a');
  const far = endpoint('far', 'b');
  const choose = (excluded = NO_HOSTS, bodyBytes = 0): string | undefined =>
    gateSelector.choose({
      candidates: [near, far],
      excluded,
      bodyBytes,
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

  // Guards against bodies that zones send to each other at a load that an idle request would flee.
  it('should keep a large body in its zone while a small request goes to another', () => {
    const { choose, near, observations } = fixture();
    observations.of(near).recordServiceTime(220);
    observations.of(near).recordLoad(3 * SLOTS);
    expect(choose()).toBe('far');
    expect(choose(NO_HOSTS, 60_000)).toBe('near');
    expect(choose(new Set(['near']), 60_000)).toBe('far');
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

  // Guards against requests refused with "no-backend-server" although the backend servers are idle.
  it('should choose backend servers whose service time was measured as 0 ms', () => {
    const { choose, far, near, observations } = fixture();
    [near, far].forEach((one) => observations.of(one).recordServiceTime(0));
    expect(choose()).toBe('near');
    expect(choose(new Set(['near']))).toBe('far');
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
    observations.of(near).recordLoad(SLOTS * 0.8);
    observations.of(far).recordLoad(SLOTS);
    observations.of(far).recordUnreachable();
    expect(gateSelector.countCandidates([near, far])).toEqual({
      hosts: 2,
      silentHosts: 1,
      avoidedHosts: 1,
      zoneLoadPercent: 80,
      zoneDeviationPercent: 0,
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
      {
        observations,
        randomness: new SeededRandomness(3),
        isSilent: () => false,
        metrics: new MetricsRegistry(),
        gate: { inFlight: 0 },
      },
      { host: 'none', zone: 'a' },
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

  it('should look at a few gates for most requests, and once at each at times, since a service may have hundreds', () => {
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
      {
        observations,
        randomness: new SeededRandomness(3),
        isSilent: () => false,
        metrics: new MetricsRegistry(),
        gate: { inFlight: 0 },
      },
      { host: 'none', zone: 'a' },
    );
    const choose = (): void => {
      lookUps = 0;
      selector.choose({
        candidates,
        excluded: NO_HOSTS,
        targetMs: TARGET_MS,
        routeHash: ROUTE_HASH,
      });
    };
    choose();
    expect(lookUps).toBeLessThanOrEqual(candidates.length + 10);
    choose();
    expect(lookUps).toBeLessThanOrEqual(35);
  });

  it('should find the only gate that is left among many', () => {
    const { clock } = fixture();
    const observations = new GateObservations(clock, 100);
    const candidates = Array.from({ length: 340 }, (_, index) => endpoint(`h${index}`, 'a'));
    const selector = new GateSelector(
      {
        observations,
        randomness: new SeededRandomness(3),
        isSilent: (host) => host !== 'h77',
        metrics: new MetricsRegistry(),
        gate: { inFlight: 0 },
      },
      { host: 'none', zone: 'a' },
    );
    const request = { candidates, targetMs: TARGET_MS, routeHash: ROUTE_HASH };
    expect(selector.choose({ ...request, excluded: NO_HOSTS })?.endpoint.host).toBe('h77');
    expect(selector.choose({ ...request, excluded: new Set(['h77']) })).toBeUndefined();
  });

  it('should expect the usual load of the zone where a report is old', async () => {
    const { clock, near, observations } = fixture();
    const other = endpoint('other', 'a');
    const expectedLoad = (): number =>
      observations.of(near).expectedLoad(observations.of(near).reportWeight(100));
    observations.of(near).recordLoad(SLOTS);
    expect(expectedLoad()).toBe(SLOTS);
    await clock.advance(1_000);
    for (let report = 0; report < 60; report += 1) {
      observations.of(other).recordLoad(SLOTS * 0.3);
    }
    expect(expectedLoad()).toBeCloseTo(SLOTS * 0.3, 0);
  });

  it('should keep the load in an answer that is newer than a shared report', async () => {
    const { clock, near, observations } = fixture();
    const report = { load: 0, failureShare: 0, serviceTimes: [] };
    observations.of(near);
    observations.recordSharedLoad('near', report);
    await clock.advance(400);
    observations.of(near).recordLoad(SLOTS);
    await clock.advance(50);
    observations.recordSharedLoad('near', report);
    expect(observations.of(near).reportedShare).toBe(1);
    await clock.advance(500);
    observations.recordSharedLoad('near', report);
    expect(observations.of(near).reportedShare).toBe(0);
  });

  it('should know the load of the gate on its own host without a report', () => {
    const observations = new GateObservations(new ManualClock(), 100);
    const own = endpoint('own', 'a');
    const candidates = [own, endpoint('other', 'a')];
    const gate = { inFlight: 0 };
    const services = { observations, isSilent: () => false, metrics: new MetricsRegistry(), gate };
    const selector = new GateSelector(
      { ...services, randomness: new SeededRandomness(3) },
      { host: 'own', zone: 'a' },
    );
    const request = { candidates, excluded: NO_HOSTS, targetMs: TARGET_MS, routeHash: ROUTE_HASH };
    observations.of(own).recordLoad(SLOTS * 2);
    expect(selector.choose(request)?.endpoint.host).toBe('own');
    gate.inFlight = SLOTS * 2;
    expect(selector.choose(request)?.endpoint.host).toBe('other');
  });

  it('should follow a reported service time slowly, but at once where a backend server became slow', () => {
    const { near, observations } = fixture();
    const observation = observations.of(near);
    const report = (meanMs: number): number | undefined => {
      const serviceTimes = [{ routeHash: ROUTE_HASH, meanMs }];
      observations.recordSharedLoad('near', { load: 0, failureShare: 0, serviceTimes });
      return observation.reportedServiceMs(ROUTE_HASH);
    };
    expect(report(100)).toBe(100);
    expect(report(140)).toBeCloseTo(106);
    expect(report(500)).toBe(500);
    expect(report(100)).toBeCloseTo(440);
  });

  it('should show how evenly the slots of its zone are used, and where requests are sent', () => {
    const observations = new GateObservations(new ManualClock(), 100);
    const metrics = new MetricsRegistry();
    const candidates = ['one', 'two'].map((host) => endpoint(host, 'a'));
    candidates.push(endpoint('far', 'b'));
    candidates.forEach((one, index) => observations.of(one).recordLoad(index * SLOTS * 0.5));
    const selector = new GateSelector(
      {
        observations,
        metrics,
        randomness: new SeededRandomness(3),
        isSilent: () => false,
        gate: { inFlight: 0 },
      },
      { host: 'none', zone: 'a' },
    );
    selector.choose({
      candidates,
      excluded: NO_HOSTS,
      targetMs: TARGET_MS,
      routeHash: ROUTE_HASH,
    });
    const rendered = metrics.renderText();
    expect(rendered).toContain('placing_zone_load{service="s"} 0.25');
    expect(rendered).toContain('placing_zone_load_deviation{service="s"} 0.25');
    expect(rendered).toContain('placing_choices{service="s",zone="own"} 1');
  });
});
