import fc from 'fast-check';
import type { ServerStatement } from 'lentillb/serving/serverStatement.js';
import { Admission, ServiceTimeSample, WaitLimit } from 'lentillb/admission/slotQueue.js';
import { LocalBackendServer } from 'lentillb/serving/localBackendServer.js';
import { StatementListener } from 'lentillb/serving/statementListener.js';
import { StatedLimit } from 'lentillb/admission/statedLimit.js';
import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';
import { createSilentLog, createSlotQueue } from '../support/slotQueue.js';
import { createRecordedRequest } from '../support/slotRequests.js';

const SEED = 29;
const RUNS = 300;
const WINDOW_MS = 4_000;
const MS_PER_SECOND = 1_000;
/** How far the requests of a window may exceed the limit, and by how many more. */
const MAX_EXCESS_FACTOR = 1.5;
const MAX_EXCESS_REQUESTS = 5;

let clock: ManualClock;
let limit: StatedLimit;

function statement(limitPerSecond?: number): ServerStatement {
  return { limitPerSecond, hasMalformedLimit: false, leaving: false };
}

/** Records an answer to a request that was sent just now. */
function answer(limitPerSecond?: number): void {
  limit.recordAnswer(statement(limitPerSecond), clock.monotonicMs());
}

/** Returns a backend server whose current run is `i`. */
function runningServer(): LocalBackendServer {
  const backendServer = new LocalBackendServer(clock, () => undefined);
  backendServer.finishRestoring();
  backendServer.accept({
    id: 'i',
    service: 's',
    address: 'b:1',
    slots: 1,
    draining: false,
    warmupLeftMs: 0,
    sequence: 1,
    startedAtMs: 1,
  });
  return backendServer;
}

/** Takes permits as soon as they are due, and returns how many. */
async function takeAll(durationMs: number): Promise<number> {
  let taken = 0;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 5) {
    while (limit.tryTake()) {
      taken += 1;
    }
    await clock.advance(5);
  }
  return taken;
}

beforeEach(() => {
  clock = new ManualClock();
  limit = new StatedLimit(clock, createSilentLog(clock));
});

describe('stated limit', () => {
  it('should not restrict a backend server that states none', () => {
    expect(Array.from({ length: 500 }, () => limit.tryTake())).not.toContain(false);
  });

  it('should grant permits at the stated rate', async () => {
    answer(20);
    expect(await takeAll(3_000)).toBeGreaterThanOrEqual(58);
    expect(await takeAll(3_000)).toBeLessThanOrEqual(61);
  });

  it('should follow a limit that falls, and one that rises', async () => {
    answer(100);
    await takeAll(1_000);
    answer(10);
    expect(await takeAll(2_000)).toBeLessThanOrEqual(21);
    answer(50);
    expect(await takeAll(2_000)).toBeGreaterThanOrEqual(95);
  });

  it('should lift the limit when a later request is answered without one', async () => {
    answer(1);
    await clock.advance(10);
    answer();
    expect(limit.reportedPerSecond).toBeUndefined();
    expect(limit.waitMs(100)).toBe(0);
  });

  it('should keep the limit when an earlier request is answered without one', async () => {
    const sentAtMs = clock.monotonicMs();
    await clock.advance(10);
    answer(10);
    limit.recordAnswer(statement(), sentAtMs);
    expect(limit.reportedPerSecond).toBe(10);
  });

  it('should keep the limit when a later one is malformed', async () => {
    answer(10);
    await clock.advance(10);
    const malformed = { ...statement(), hasMalformedLimit: true };
    limit.recordAnswer(malformed, clock.monotonicMs());
    expect(limit.reportedPerSecond).toBe(10);
  });

  it('should send a request now and then to a backend server that states 0', async () => {
    answer(0);
    const taken = await takeAll(WINDOW_MS);
    expect(taken).toBeGreaterThan(0);
    expect(taken).toBeLessThanOrEqual(MAX_EXCESS_REQUESTS);
  });

  it('should ignore a limit that no backend server can reach', () => {
    answer(Infinity);
    expect(limit.waitMs(10_000)).toBe(0);
  });

  it('should not carry the limit over to another run at the address', () => {
    limit.startRun('i-1 1000');
    answer(1);
    limit.startRun('i-1 1000');
    expect(limit.reportedPerSecond).toBe(1);
    limit.startRun('i-1 2000');
    expect(limit.reportedPerSecond).toBeUndefined();
  });

  it('should no longer report a limit that has not been stated lately', async () => {
    answer(0.2);
    await clock.advance(3_000);
    expect(limit.reportedPerSecond).toBeUndefined();
    expect(limit.waitMs(10)).toBeGreaterThan(0);
  });

  it('should not exceed what the limits of a window allow, whatever they are', async () => {
    const steps = fc.array(
      fc.record({ perSecond: fc.double({ min: 0, max: 200, noNaN: true }), forMs: fc.nat(2_000) }),
      { minLength: 1, maxLength: 6 },
    );
    await fc.assert(
      fc.asyncProperty(steps, async (drawn) => {
        clock = new ManualClock();
        limit = new StatedLimit(clock, createSilentLog(clock));
        let elapsedMs = 0;
        let allowed = MAX_EXCESS_REQUESTS;
        let taken = 0;
        for (const { forMs, perSecond } of drawn) {
          const durationMs = Math.min(forMs, WINDOW_MS - elapsedMs);
          answer(perSecond);
          taken += await takeAll(durationMs);
          elapsedMs += durationMs;
          allowed += (MAX_EXCESS_FACTOR * perSecond * durationMs) / MS_PER_SECOND;
        }
        expect(taken).toBeLessThanOrEqual(Math.ceil(allowed));
      }),
      { seed: SEED, numRuns: RUNS },
    );
  }, 30_000);
});

describe('slot queue of a backend server that states a limit', () => {
  it('should grant waiting requests as permits become due, the most urgent first', async () => {
    const queue = createSlotQueue(clock, limit);
    queue.resize(4);
    answer(10);
    const fields = { targetAtMs: 2_000, deadlineAtMs: 4_000 };
    const ordinary = createRecordedRequest({ ...fields, priority: 2 });
    const urgent = createRecordedRequest({ ...fields, priority: 0 });
    expect(queue.admit(ordinary.request).admission).toBe(Admission.Queued);
    expect(queue.admit(urgent.request).admission).toBe(Admission.Queued);
    await clock.advance(110);
    expect([urgent.slot, ordinary.slot]).toEqual([expect.anything(), undefined]);
    await clock.advance(100);
    expect(ordinary.slot).toBeDefined();
  });

  it('should refuse at once a request whose permit would be due too late, and tell the wait', () => {
    const queue = createSlotQueue(clock, limit);
    queue.resize(4);
    answer(1);
    const decision = queue.admit(createRecordedRequest({ targetAtMs: 200 }).request);
    expect(decision.admission).toBe(Admission.Refused);
    expect(decision.waitMs).toBeCloseTo(1_000, 0);
  });

  it('should not grant more requests than slots when permits are left', async () => {
    const queue = createSlotQueue(clock, limit);
    queue.resize(1);
    answer(100);
    await clock.advance(250);
    const fields = { targetAtMs: 2_000, deadlineAtMs: 4_000, waitLimit: WaitLimit.UntilDeadline };
    const requests = [createRecordedRequest(fields), createRecordedRequest(fields)];
    requests.forEach(({ request }) => queue.admit(request));
    await clock.advance(500);
    expect(queue.load).toEqual({ slots: 1, running: 1, queued: 1 });
    requests[0]?.slot?.release(ServiceTimeSample.None);
    expect(requests[1]?.slot).toBeDefined();
  });

  it('should grant at once what waits only for permits when the limit is lifted', async () => {
    const queue = createSlotQueue(clock, limit);
    queue.resize(8);
    const running = createRecordedRequest();
    queue.admit(running.request);
    answer(2);
    const fields = { targetAtMs: 3_000, deadlineAtMs: 6_000 };
    const waiting = Array.from({ length: 3 }, () => createRecordedRequest(fields));
    waiting.forEach(({ request }) => queue.admit(request));
    await clock.advance(10);
    answer();
    running.slot?.release(ServiceTimeSample.None);
    expect(waiting.filter(({ slot }) => slot !== undefined)).toHaveLength(3);
  });

  it('should drop at once what can no longer be served before its deadline when the limit falls', async () => {
    const queue = createSlotQueue(clock, limit);
    const statements = new StatementListener({
      backendServer: runningServer(),
      statedLimit: limit,
      slots: queue,
      log: createSilentLog(clock),
    });
    queue.resize(1);
    queue.admit(createRecordedRequest().request);
    const fields = { targetAtMs: 1_000, deadlineAtMs: 3_000 };
    const waiting = Array.from({ length: 6 }, () => createRecordedRequest(fields));
    waiting.forEach(({ request }) => queue.admit(request));
    expect(queue.load.queued).toBe(6);
    statements.onStatement(statement(1), 'i', clock.monotonicMs());
    // One permit a second: the third is due at the deadline.
    expect(waiting.map(({ dropped }) => dropped)).toEqual([false, false, true, true, true, true]);
    statements.onStatement(statement(10), 'i', clock.monotonicMs());
    expect(queue.load.queued).toBe(2);
  });
});
