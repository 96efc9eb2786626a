import { describe, expect, it } from 'vitest';
import { findViolations } from '../../soak/dist/invariants.js';
import {
  DisturbanceKind,
  ExecutionEnd,
  RequestOutcome,
  SoakRecord,
} from '../../soak/dist/soakRecord.js';
import type { Execution, SentRequest } from '../../soak/dist/soakRecord.js';

const defaultRequest: SentRequest = {
  id: 'r1',
  route: 'lodge',
  host: 0,
  processNumber: 1,
  sentAtMs: 100_000,
  endedAtMs: 100_050,
  deadlineMs: 800,
  outcome: RequestOutcome.Answered,
  isMatchingResponse: true,
  detail: '',
};

const defaultExecution: Execution = {
  requestId: 'r1',
  service: 'desk',
  backendServerId: 'b-1',
  host: 1,
  atMs: 100_010,
  end: 'completed',
};

function createRecord(
  requests: readonly Partial<SentRequest>[],
  executions: readonly Partial<Execution>[],
): SoakRecord {
  const record = new SoakRecord();
  record.requests.push(...requests.map((fields) => ({ ...defaultRequest, ...fields })));
  record.executions.push(...executions.map((fields) => ({ ...defaultExecution, ...fields })));
  return record;
}

function findViolatedInvariants(record: SoakRecord): readonly string[] {
  return findViolations(record).map(({ invariant }) => invariant);
}

describe('invariants of the soak test', () => {
  it('should report nothing when a request ran once and was answered', () => {
    expect(findViolatedInvariants(createRecord([{}], [{}]))).toEqual([]);
  });

  it('should report a request that ran twice, unless its route is idempotent', () => {
    expect(findViolatedInvariants(createRecord([{}], [{}, {}]))).toEqual(['runs once at most']);
    expect(findViolatedInvariants(createRecord([{ route: 'browse' }], [{}, {}]))).toEqual([]);
  });

  it('should report a request that was refused but ran', () => {
    const record = createRecord(
      [{ outcome: RequestOutcome.NotRun, isMatchingResponse: false }],
      [{}],
    );
    expect(findViolatedInvariants(record)).toEqual(['a refused request has not run']);
  });

  it('should report a response that belongs to another request or to no execution', () => {
    const invariant = 'an answer is that of its request';
    expect(findViolatedInvariants(createRecord([{ isMatchingResponse: false }], [{}]))).toEqual([
      invariant,
    ]);
    expect(findViolatedInvariants(createRecord([{}], []))).toEqual([invariant]);
  });

  it('should report an execution of a request that was never sent', () => {
    expect(findViolatedInvariants(createRecord([], [{}]))).toEqual([
      'nothing runs that was not sent',
    ]);
  });

  it('should report a request that reaches a backend server after its departure, unless a link failed', () => {
    const record = createRecord([{}], [{}]);
    record.departures.push({ host: 0, backendServerId: 'b-1', confirmedAtMs: 97_000 });
    expect(findViolatedInvariants(record)).toEqual(['nothing reaches a backend server that left']);
    record.disturbances.push({
      kind: DisturbanceKind.StoreFault,
      host: undefined,
      fromMs: 98_000,
      untilMs: 99_000,
    });
    expect(findViolatedInvariants(record)).toHaveLength(1);
    record.disturbances.push({
      kind: DisturbanceKind.Failure,
      host: 0,
      fromMs: 98_000,
      untilMs: 99_000,
    });
    expect(findViolatedInvariants(record)).toEqual([]);
  });

  it('should report an execution after its caller left, also after a freeze, unless a link failed', () => {
    const abortedRequest = {
      outcome: RequestOutcome.Aborted,
      isMatchingResponse: false,
      endedAtMs: 100_050,
    };
    expect(findViolatedInvariants(createRecord([abortedRequest], [{ atMs: 100_540 }]))).toEqual([]);
    const record = createRecord([abortedRequest], [{ atMs: 100_560 }]);
    const span = { host: 1, fromMs: 99_000, untilMs: 101_000 };
    record.disturbances.push({ kind: DisturbanceKind.Freeze, ...span });
    expect(findViolatedInvariants(record)).toEqual(['nothing runs for a caller that left']);
    record.disturbances.push({ kind: DisturbanceKind.Failure, ...span });
    expect(findViolatedInvariants(record)).toEqual([]);
  });

  it('should allow a late execution when the soak test itself was delayed, but no other violation', () => {
    const abortedRequest = {
      outcome: RequestOutcome.Aborted,
      isMatchingResponse: false,
      endedAtMs: 100_050,
    };
    const record = createRecord([abortedRequest], [{ atMs: 100_560 }]);
    const observerDelay = { kind: DisturbanceKind.ObserverDelay, host: undefined };
    record.disturbances.push({ ...observerDelay, fromMs: 98_000, untilMs: 99_000 });
    expect(findViolatedInvariants(record)).toEqual(['nothing runs for a caller that left']);
    record.disturbances.push({ ...observerDelay, fromMs: 100_400, untilMs: 100_500 });
    expect(findViolatedInvariants(record)).toEqual([]);
    const refused = createRecord(
      [{ outcome: RequestOutcome.NotRun, isMatchingResponse: false }],
      [{}],
    );
    refused.disturbances.push({ ...observerDelay, fromMs: 100_000, untilMs: 101_000 });
    expect(findViolatedInvariants(refused)).toEqual(['a refused request has not run']);
  });

  it('should report a version that is not in force in time on an undisturbed node', () => {
    const record = createRecord([{ route: 'probe' }], [{ service: 'desk' }]);
    record.publications.push({ version: 1, atMs: 0 }, { version: 2, atMs: 97_000 });
    expect(findViolatedInvariants(record)).toContain('a version is in force in time');
    const recent = createRecord([{ route: 'probe' }], [{ service: 'desk' }]);
    recent.publications.push({ version: 1, atMs: 0 }, { version: 2, atMs: 98_000 });
    expect(findViolatedInvariants(recent)).toEqual([]);
  });

  it('should report a return to an older version within one node process', () => {
    const laterProbe = { id: 'r2', route: 'probe', sentAtMs: 101_000, endedAtMs: 101_050 } as const;
    const executions = [{ service: 'letters' }, { requestId: 'r2', service: 'desk' }] as const;
    const record = createRecord([{ route: 'probe' }, laterProbe], executions);
    record.publications.push({ version: 1, atMs: 0 }, { version: 2, atMs: 99_000 });
    expect(findViolatedInvariants(record)).toEqual(['no older version comes back']);
    const restarted = createRecord(
      [{ route: 'probe' }, { ...laterProbe, processNumber: 2 }],
      executions,
    );
    restarted.publications.push({ version: 1, atMs: 0 }, { version: 2, atMs: 99_000 });
    expect(findViolatedInvariants(restarted)).toEqual([]);
  });

  it('should report a connection lost in a planned stop, but not one lost in a kill', () => {
    const record = createRecord(
      [{ outcome: RequestOutcome.ConnectionLost, isMatchingResponse: false }],
      [{}],
    );
    const span = { host: 0, fromMs: 99_000, untilMs: 101_000 };
    record.disturbances.push({ kind: DisturbanceKind.Planned, ...span });
    expect(findViolatedInvariants(record)).toEqual(['a planned stop loses nothing']);
    record.disturbances.push({ kind: DisturbanceKind.Failure, ...span });
    expect(findViolatedInvariants(record)).toEqual([]);
  });

  describe('of runs that a node ends', () => {
    const invariant = 'no node ends a request that runs';
    const failed = {
      outcome: RequestOutcome.Failed,
      isMatchingResponse: false,
      endedAtMs: 100_400,
    };

    it('should report a request that failed while a backend server ran it, or after', () => {
      [undefined, ExecutionEnd.Cut, ExecutionEnd.Completed].forEach((end) => {
        const record = createRecord([failed], [{ end }]);
        expect(findViolatedInvariants(record)).toEqual([invariant]);
      });
    });

    it('should allow it at its deadline, and where the backend server ended', () => {
      const cut = { end: ExecutionEnd.Cut };
      const record = createRecord([{ ...failed, endedAtMs: 100_760 }], [cut]);
      expect(findViolatedInvariants(record)).toEqual([]);
      const ended = createRecord([failed], [{ end: ExecutionEnd.ServerEnded }]);
      expect(findViolatedInvariants(ended)).toEqual([]);
    });

    it('should report it where connections were slow, but not where one failed', () => {
      const record = createRecord([failed], [{ end: ExecutionEnd.Cut }]);
      const span = { host: 1, fromMs: 99_000, untilMs: 101_000 };
      record.disturbances.push({ kind: DisturbanceKind.SlowConnections, ...span });
      expect(findViolatedInvariants(record)).toEqual([invariant]);
      record.disturbances.push({ kind: DisturbanceKind.Failure, ...span });
      expect(findViolatedInvariants(record)).toEqual([]);
    });

    it.each([
      { sentAfterMs: 2_900, endedAfterMs: 5_300, isAllowed: true },
      { sentAfterMs: 2_900, endedAfterMs: 4_800, isAllowed: false },
      { sentAfterMs: 3_100, endedAfterMs: 5_300, isAllowed: false },
    ])(
      'should judge a run cut by a stop: sent after $sentAfterMs ms, cut after $endedAfterMs ms',
      ({ endedAfterMs, isAllowed, sentAfterMs }) => {
        const sentAtMs = 100_000 + sentAfterMs;
        const endedAtMs = 100_000 + endedAfterMs;
        const request = { ...failed, sentAtMs, endedAtMs, deadlineMs: 8_000 };
        const record = createRecord([request], [{ atMs: sentAtMs, end: ExecutionEnd.Cut }]);
        record.nodeStops.push({ host: 0, atMs: 100_000 });
        expect(findViolatedInvariants(record)).toEqual(isAllowed ? [] : [invariant]);
      },
    );
  });

  it('should report a request that ran and got no answer, unless its host failed', () => {
    const timedOut = {
      outcome: RequestOutcome.TimedOut,
      isMatchingResponse: false,
      endedAtMs: 101_500,
    };
    const record = createRecord([timedOut], [{}]);
    expect(findViolatedInvariants(record)).toEqual(['every request gets an answer']);
    const waited = createRecord([timedOut], [{ atMs: 100_700 }]);
    expect(findViolatedInvariants(waited)).toEqual([]);
    const span = { host: 0, fromMs: 99_000, untilMs: 101_000 };
    record.disturbances.push({ kind: DisturbanceKind.Failure, ...span });
    expect(findViolatedInvariants(record)).toEqual([]);
  });

  it('should report a request that fails after the recovery period', () => {
    const record = createRecord(
      [{ outcome: RequestOutcome.NotRun, isMatchingResponse: false }],
      [],
    );
    record.faultsEndedAtMs = 93_000;
    expect(findViolatedInvariants(record)).toEqual(['everything is served once trouble is over']);
    record.faultsEndedAtMs = 95_000;
    expect(findViolatedInvariants(record)).toEqual([]);
  });

  it('should not judge recovery while the soak test itself was blocked for a quarter of the time', () => {
    const timedOut = { outcome: RequestOutcome.TimedOut, endedAtMs: 101_500 };
    const record = createRecord([timedOut], []);
    record.faultsEndedAtMs = 93_000;
    const kind = DisturbanceKind.ObserverDelay;
    record.disturbances.push({ kind, host: undefined, fromMs: 99_900, untilMs: 100_100 });
    record.disturbances.push({ kind, host: undefined, fromMs: 100_700, untilMs: 101_500 });
    expect(findViolatedInvariants(record)).toEqual([]);
    record.disturbances.pop();
    expect(findViolatedInvariants(record)).toEqual(['everything is served once trouble is over']);
  });

  it('should report more requests than a stated limit allows, unless a link failed', () => {
    const arrivals = (count: number): Partial<Execution>[] =>
      Array.from({ length: count }, (_, index) => ({
        requestId: 'r1',
        atMs: 101_000 + index * 40,
      }));
    const record = createRecord([{ route: 'browse' }], arrivals(24));
    const period = { host: 1, backendServerId: 'b-1', perSecond: 6 };
    record.limitPeriods.push({ ...period, fromMs: 100_000, untilMs: 110_000 });
    expect(findViolatedInvariants(record)).toEqual(['a stated limit is kept']);
    expect(findViolatedInvariants(createRecord([{ route: 'browse' }], arrivals(23)))).toEqual([]);
    const kind = DisturbanceKind.Failure;
    record.disturbances.push({ kind, host: 1, fromMs: 99_000, untilMs: 100_500 });
    expect(findViolatedInvariants(record)).toEqual([]);
  });

  it('should report a content that ends more backend servers after all hosts could know', () => {
    const record = createRecord([], []);
    const addEnd = (atMs: number): void => {
      record.serverEnds.push({ content: 'crashing-1', backendServerId: `b-${atMs}`, atMs });
    };
    [0, 100, 200, 2_000, 3_100].forEach(addEnd);
    [4_000, 5_000, 6_000].forEach(addEnd);
    expect(findViolatedInvariants(record)).toEqual([]);
    addEnd(7_000);
    expect(findViolatedInvariants(record)).toEqual(['a request ends few backend servers']);
  });

  it('should report a node process that exited unexpectedly', () => {
    const record = createRecord([], []);
    record.unexpectedExits.push({ host: 0, detail: 'node process exited unexpectedly with 1' });
    expect(findViolatedInvariants(record)).toEqual(['a node runs until it is stopped']);
  });
});
