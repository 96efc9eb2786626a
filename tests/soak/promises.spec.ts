import { describe, expect, it } from 'vitest';
import { findBroken } from '../../soak/dist/promises.js';
import { DisturbanceKind, SoakRecord, Told } from '../../soak/dist/record.js';
import type { ObservedRun, SentRequest } from '../../soak/dist/record.js';

const sent: SentRequest = {
  id: 'r1',
  route: 'lodge',
  host: 0,
  life: 1,
  sentAtMs: 100_000,
  endedAtMs: 100_050,
  told: Told.Answered,
  isOwnAnswer: true,
  detail: '',
};

const ran: ObservedRun = {
  requestId: 'r1',
  service: 'desk',
  backendServer: 'b-1',
  host: 1,
  atMs: 100_010,
};

function recordOf(
  requests: readonly Partial<SentRequest>[],
  runs: readonly Partial<ObservedRun>[],
): SoakRecord {
  const record = new SoakRecord();
  record.requests.push(...requests.map((one) => ({ ...sent, ...one })));
  record.runs.push(...runs.map((one) => ({ ...ran, ...one })));
  return record;
}

function broken(record: SoakRecord): readonly string[] {
  return findBroken(record).map(({ promise }) => promise);
}

describe('promises that the soak checks', () => {
  it('should find nothing where a request ran once and was answered', () => {
    expect(broken(recordOf([{}], [{}]))).toEqual([]);
  });

  it('should find a request that ran twice, unless it may be repeated', () => {
    expect(broken(recordOf([{}], [{}, {}]))).toEqual(['runs once at most']);
    expect(broken(recordOf([{ route: 'browse' }], [{}, {}]))).toEqual([]);
  });

  it('should find a request that was refused and ran', () => {
    const record = recordOf([{ told: Told.NotRun, isOwnAnswer: false }], [{}]);
    expect(broken(record)).toEqual(['a refused request has not run']);
  });

  it("should find an answer that is not the request's own, or of no run", () => {
    const promise = 'an answer is that of its request';
    expect(broken(recordOf([{ isOwnAnswer: false }], [{}]))).toEqual([promise]);
    expect(broken(recordOf([{}], []))).toEqual([promise]);
  });

  it('should find a run that nobody sent', () => {
    expect(broken(recordOf([], [{}]))).toEqual(['nothing runs that was not sent']);
  });

  it('should find a request that reaches a backend server after its departure', () => {
    const record = recordOf([{}], [{}]);
    record.departures.push({ host: 0, backendServer: 'b-1', confirmedAtMs: 97_000 });
    expect(broken(record)).toEqual(['nothing reaches a backend server that left']);
    record.disturbances.push({
      kind: DisturbanceKind.Store,
      host: undefined,
      fromMs: 98_000,
      untilMs: 99_000,
    });
    expect(broken(record)).toHaveLength(1);
    record.disturbances.push({
      kind: DisturbanceKind.Trouble,
      host: 0,
      fromMs: 98_000,
      untilMs: 99_000,
    });
    expect(broken(record)).toEqual([]);
  });

  it('should find a run for a caller that left, also after a freeze, unless a link was disturbed', () => {
    const left = { told: Told.Left, isOwnAnswer: false, endedAtMs: 100_050 };
    expect(broken(recordOf([left], [{ atMs: 100_540 }]))).toEqual([]);
    const record = recordOf([left], [{ atMs: 100_560 }]);
    const span = { host: 1, fromMs: 99_000, untilMs: 101_000 };
    record.disturbances.push({ kind: DisturbanceKind.Pause, ...span });
    expect(broken(record)).toEqual(['nothing runs for a caller that left']);
    record.disturbances.push({ kind: DisturbanceKind.Trouble, ...span });
    expect(broken(record)).toEqual([]);
  });

  it('should excuse a late run only where the soak itself read late, and no other promise by that', () => {
    const left = { told: Told.Left, isOwnAnswer: false, endedAtMs: 100_050 };
    const record = recordOf([left], [{ atMs: 100_560 }]);
    const late = { kind: DisturbanceKind.LateObservation, host: undefined };
    record.disturbances.push({ ...late, fromMs: 98_000, untilMs: 99_000 });
    expect(broken(record)).toEqual(['nothing runs for a caller that left']);
    record.disturbances.push({ ...late, fromMs: 100_400, untilMs: 100_500 });
    expect(broken(record)).toEqual([]);
    const refused = recordOf([{ told: Told.NotRun, isOwnAnswer: false }], [{}]);
    refused.disturbances.push({ ...late, fromMs: 100_000, untilMs: 101_000 });
    expect(broken(refused)).toEqual(['a refused request has not run']);
  });

  it('should find a version that is not in force in time at a calm node', () => {
    const record = recordOf([{ route: 'probe' }], [{ service: 'desk' }]);
    record.publications.push({ version: 1, atMs: 0 }, { version: 2, atMs: 97_000 });
    expect(broken(record)).toContain('a version is in force in time');
    const recent = recordOf([{ route: 'probe' }], [{ service: 'desk' }]);
    recent.publications.push({ version: 1, atMs: 0 }, { version: 2, atMs: 98_000 });
    expect(broken(recent)).toEqual([]);
  });

  it('should find an older version that comes back within one life of a node', () => {
    const later = { id: 'r2', route: 'probe', sentAtMs: 101_000, endedAtMs: 101_050 } as const;
    const runs = [{ service: 'letters' }, { requestId: 'r2', service: 'desk' }] as const;
    const record = recordOf([{ route: 'probe' }, later], runs);
    record.publications.push({ version: 1, atMs: 0 }, { version: 2, atMs: 99_000 });
    expect(broken(record)).toEqual(['no older version comes back']);
    const restarted = recordOf([{ route: 'probe' }, { ...later, life: 2 }], runs);
    restarted.publications.push({ version: 1, atMs: 0 }, { version: 2, atMs: 99_000 });
    expect(broken(restarted)).toEqual([]);
  });

  it('should find a request that a planned stop cut, and excuse one that a kill cut', () => {
    const record = recordOf([{ told: Told.Broken, isOwnAnswer: false }], [{}]);
    const span = { host: 0, fromMs: 99_000, untilMs: 101_000 };
    record.disturbances.push({ kind: DisturbanceKind.Planned, ...span });
    expect(broken(record)).toEqual(['a planned stop loses nothing']);
    record.disturbances.push({ kind: DisturbanceKind.Trouble, ...span });
    expect(broken(record)).toEqual([]);
  });

  it('should find a request that fails after all trouble', () => {
    const record = recordOf([{ told: Told.NotRun, isOwnAnswer: false }], []);
    record.calmFromMs = 93_000;
    expect(broken(record)).toEqual(['everything is served once trouble is over']);
    record.calmFromMs = 95_000;
    expect(broken(record)).toEqual([]);
  });

  it('should find a node that ended by itself', () => {
    const record = recordOf([], []);
    record.oddEnds.push({ host: 0, detail: 'node ended by itself with 1' });
    expect(broken(record)).toEqual(['a node runs until it is stopped']);
  });
});
