import { SuspectReportKind } from 'lentillb/directory/suspectReport.js';
import type { SuspectReport } from 'lentillb/directory/suspectReport.js';
import { hashContent } from 'lentillb/serving/requestContent.js';
import { SuspectGuard } from 'lentillb/serving/suspectGuard.js';
import { SuspectRequests, SuspectVerdict } from 'lentillb/serving/suspectRequests.js';
import { hash32 } from 'lentillb/utils/hash.js';
import { beforeEach, describe, expect, it } from 'vitest';
import { createForwardedRequest } from '../support/forwardedRequest.js';
import { ManualClock } from '../support/manualClock.js';
import { createSilentLog } from '../support/slotQueue.js';

const CONTENT = '00112233445566778899aabb';
const OTHER_CONTENT = '00112233445566778899aacc';
const FIRST_TRIAL_MS = 10_000;
const TRIAL_TIMEOUT_MS = 10_000;

let clock: ManualClock;
let suspects: SuspectRequests;

/** Records that backend servers with consecutive run hashes ended on a host. */
function recordEnds(count: number, { contentHash = CONTENT, firstRun = 0, hostHash = 5 } = {}) {
  for (let runHash = firstRun; runHash < firstRun + count; runHash += 1) {
    const endedAtMs = clock.now().getTime();
    suspects.recordEnd({ contentHash, runHash, hostHash, endedAtMs });
  }
}

function verdict(contentHash = CONTENT): SuspectVerdict {
  return suspects.judge(contentHash).verdict;
}

beforeEach(() => {
  clock = new ManualClock();
  suspects = new SuspectRequests(clock);
});

describe('suspect requests', () => {
  it('should be blocked once three backend servers have ended under them', () => {
    recordEnds(2);
    expect(verdict()).toBe(SuspectVerdict.Allowed);
    recordEnds(1, { firstRun: 2 });
    expect(verdict()).toBe(SuspectVerdict.Blocked);
    expect(verdict(OTHER_CONTENT)).toBe(SuspectVerdict.Allowed);
  });

  it('should count the end of one backend server once, however often it is reported', () => {
    recordEnds(1);
    recordEnds(1);
    recordEnds(1);
    expect(suspects.endsOf(CONTENT)).toBe(1);
    expect(verdict()).toBe(SuspectVerdict.Allowed);
  });

  it('should be cleared by an answer, and not become suspect by old reports again', () => {
    recordEnds(3);
    expect(suspects.recordAnswer(CONTENT)).toBe(true);
    expect(suspects.recordAnswer(CONTENT)).toBe(false);
    recordEnds(3);
    expect(verdict()).toBe(SuspectVerdict.Allowed);
  });

  it('should be tried later on one host, one at a time', async () => {
    recordEnds(2, { hostHash: 5 });
    recordEnds(1, { firstRun: 2, hostHash: 3 });
    expect(suspects.judge(CONTENT)).toMatchObject({
      verdict: SuspectVerdict.Blocked,
      trialInMs: FIRST_TRIAL_MS,
    });
    await clock.advance(FIRST_TRIAL_MS);
    expect(suspects.judge(CONTENT)).toEqual({
      verdict: SuspectVerdict.Trial,
      trialInMs: 0,
      trialHostHash: 3,
    });
    suspects.startTrial(CONTENT);
    expect(verdict()).toBe(SuspectVerdict.Blocked);
  });

  it('should be tried on the next host if there was no outcome on the first', async () => {
    recordEnds(2, { hostHash: 5 });
    recordEnds(1, { firstRun: 2, hostHash: 3 });
    await clock.advance(FIRST_TRIAL_MS);
    suspects.startTrial(CONTENT);
    await clock.advance(TRIAL_TIMEOUT_MS);
    expect(suspects.judge(CONTENT)).toMatchObject({
      verdict: SuspectVerdict.Trial,
      trialHostHash: 5,
    });
    await clock.advance(TRIAL_TIMEOUT_MS);
    expect(suspects.judge(CONTENT).trialHostHash).toBe(3);
  });

  it('should be tried later and later while backend servers end under them', async () => {
    recordEnds(3);
    await clock.advance(FIRST_TRIAL_MS);
    expect(verdict()).toBe(SuspectVerdict.Trial);
    recordEnds(1, { firstRun: 3 });
    await clock.advance(FIRST_TRIAL_MS * 2);
    expect(verdict()).toBe(SuspectVerdict.Blocked);
    await clock.advance(FIRST_TRIAL_MS);
    expect(verdict()).toBe(SuspectVerdict.Trial);
  });

  it('should be forgotten ten minutes after the last end', async () => {
    recordEnds(3);
    expect(verdict()).toBe(SuspectVerdict.Blocked);
    await clock.advance(600_000);
    recordEnds(1, { contentHash: OTHER_CONTENT });
    expect(suspects.size).toBe(1);
    expect(verdict()).toBe(SuspectVerdict.Allowed);
  });

  it('should not become suspect by the ends of long ago that a host still announces', () => {
    const endedAtMs = clock.now().getTime() - 600_000;
    for (let runHash = 0; runHash < 3; runHash += 1) {
      suspects.recordEnd({ contentHash: CONTENT, runHash, hostHash: 1, endedAtMs });
    }
    expect(verdict()).toBe(SuspectVerdict.Allowed);
  });

  it('should take bounded memory, and drop the oldest first', () => {
    for (let index = 0; index < 5_000; index += 1) {
      recordEnds(1, { contentHash: index.toString(16).padStart(24, '0') });
    }
    recordEnds(3, { contentHash: OTHER_CONTENT });
    expect(suspects.size).toBe(4_096);
    expect(verdict(OTHER_CONTENT)).toBe(SuspectVerdict.Blocked);
    expect(suspects.endsOf('0'.repeat(24))).toBe(0);
  });
});

describe('guard against requests under which backend servers end', () => {
  const heartbeat = {
    id: 'i-1',
    service: 's',
    address: 'b:1',
    slots: 1,
    draining: false,
    warmupLeftMs: 0,
    sequence: 1,
    startedAtMs: 1_000,
  };
  let guard: SuspectGuard;
  let reports: SuspectReport[];

  beforeEach(() => {
    reports = [];
    const log = createSilentLog(clock);
    const report = (one: SuspectReport): void => {
      reports.push(one);
    };
    guard = new SuspectGuard(
      { clock, suspects, log, report, onBlockChange: () => undefined },
      'own',
    );
  });

  it('should report each end and each answer of a suspect once, and no other answer', () => {
    const request = createForwardedRequest(clock, { body: Buffer.from('a') });
    guard.recordAnswered(request);
    guard.recordInterrupted(request, heartbeat);
    guard.recordInterrupted(request, heartbeat);
    guard.recordAnswered(createForwardedRequest(clock, { body: Buffer.from('b') }));
    guard.recordAnswered(request);
    guard.recordAnswered(request);
    expect(reports.map(({ kind }) => kind)).toEqual([
      SuspectReportKind.Interrupted,
      SuspectReportKind.Answered,
    ]);
    expect(reports[0]).toMatchObject({ run: { hostHash: hash32('own') } });
  });

  it('should pass a report of another node on once', () => {
    const endedAtMs = clock.now().getTime();
    const run = { contentHash: CONTENT, runHash: 1, hostHash: 2, endedAtMs };
    const report: SuspectReport = { kind: SuspectReportKind.Interrupted, run };
    guard.receive(report);
    guard.receive(report);
    expect(reports).toEqual([report]);
  });

  it('should announce the ends on its host once they block a content, until it is cleared', () => {
    const request = createForwardedRequest(clock);
    const contentHash = hashContent(request);
    guard.recordInterrupted(request, heartbeat);
    recordEnds(1, { contentHash });
    expect(guard.announced).toEqual([]);
    recordEnds(1, { contentHash, firstRun: 1 });
    expect(guard.announced).toEqual([
      { contentHash, runHash: hash32('i-1 1000'), endedAtMs: clock.now().getTime() },
    ]);
    guard.recordAnswered(request);
    expect(guard.announced).toEqual([]);
  });

  it('should admit one blocked request on the host where its trial is due', async () => {
    const request = createForwardedRequest(clock);
    ['i-1', 'i-2', 'i-3'].forEach((id) => guard.recordInterrupted(request, { ...heartbeat, id }));
    expect(guard.admit(request)).toBe(false);
    await clock.advance(FIRST_TRIAL_MS);
    expect([guard.mayRun(request), guard.admit(request)]).toEqual([true, true]);
    expect([guard.mayRun(request), guard.admit(request)]).toEqual([false, false]);
    guard.recordAnswered(request);
    expect(guard.admit(request)).toBe(true);
  });

  it('should not admit a blocked request whose trial is due on another host', async () => {
    const contentHash = hashContent(createForwardedRequest(clock));
    recordEnds(3, { contentHash, hostHash: hash32('other') });
    await clock.advance(FIRST_TRIAL_MS);
    expect(guard.admit(createForwardedRequest(clock))).toBe(false);
  });
});
