import type { MemoryLog } from '@lentillb/standins';
import { Deadline, LogFailureKind, LogStream, PublishResult } from 'lentillb';
import type { PublishOutcome } from 'lentillb';
import { textOf } from 'lentillb/distribution/configurationState.js';
import { Err } from 'ts-results-es';
import { beforeEach, describe, expect, it } from 'vitest';
import { encodeRecord } from 'lentillb/distribution/configurationRecord.js';
import type { LogReader } from '../support/logReader.js';
import { createLog, createReader } from '../support/logReader.js';
import { ManualClock } from '../support/manualClock.js';
import { createPublishRecord } from '../support/configurationRecords.js';
import { createRules } from '../support/ruleFiles.js';

const TIMEOUT_MS = 5_000;
/** Limits the reads to far fewer than a reader without long polling would make. */
const MAX_READS = 20;
const A = createRules('a');
const B = createRules('b');

let clock: ManualClock;
let log: MemoryLog;
let reader: LogReader;

beforeEach(async () => {
  clock = new ManualClock();
  log = createLog(clock);
  reader = createReader(clock, log);
  reader.startReading();
  await clock.advance(100);
});

/** Publishes a rule file and advances the clock past the deadline. */
async function publish(
  text: string,
  base: number,
  publishId = 'p1',
  from = reader,
): Promise<PublishOutcome> {
  const deadline = Deadline.after(clock, TIMEOUT_MS);
  const pending = from.publisher.publish({ publishId, base, author: 'salma', text }, deadline);
  await clock.advance(TIMEOUT_MS + 100);
  return pending;
}

async function countRecords(): Promise<number> {
  const range = await log.range(LogStream.Configuration, Deadline.after(clock, TIMEOUT_MS));
  return range.unwrap().next - 1;
}

describe('publisher', () => {
  it('should return accepted once the version is accepted', async () => {
    const outcome = await publish(A, 0);
    expect(outcome).toMatchObject({ result: PublishResult.Accepted, version: 1 });
    expect(reader.store.state?.version).toBe(1);
  });

  it('should append nothing for faulty rules, and list every fault', async () => {
    const outcome = await publish('rout GET / # A: b\nretry x attempts 2 budget 1% # A: b\n', 0);
    expect(outcome.result).toBe(PublishResult.Refused);
    expect(outcome.faults.map(({ line }) => line)).toEqual([1, 2]);
    expect(await countRecords()).toBe(0);
  });

  it('should return the first publisher and the difference in a conflict, and append nothing', async () => {
    await publish(A, 0, 'p1');
    await publish(B, 1, 'p2');
    const outcome = await publish(createRules('c'), 1, 'p3');
    expect(outcome.result).toBe(PublishResult.Refused);
    expect(outcome.reason).toContain('salma at 2026-');
    expect(outcome.difference).toEqual([`- ${A.trimEnd()}`, `+ ${B.trimEnd()}`]);
    expect(await countRecords()).toBe(2);
  });

  it('should find out the outcome by reading after a lost response, without a second append', async () => {
    log.faults.loseAnswers = 1;
    const outcome = await publish(A, 0);
    expect(outcome).toMatchObject({ result: PublishResult.Accepted, version: 1 });
    expect(await countRecords()).toBe(1);
  });

  it('should return unknown when neither a response nor the record arrives in time', async () => {
    const other = createReader(clock, log, 2);
    other.store.startFromEmptyState();
    log.faults.loseAnswers = 1;
    const outcome = await publish(A, 0, 'p1', other);
    expect(outcome.result).toBe(PublishResult.Unknown);
    expect(outcome.reason).toContain('--publish-id p1');
    expect(await countRecords()).toBe(1);
  });

  it('should return the outcome of the first attempt when an unknown publication is repeated', async () => {
    const other = createReader(clock, log, 2);
    other.store.startFromEmptyState();
    log.faults.loseAnswers = 1;
    await publish(A, 0, 'p1', other);
    other.startReading();
    await clock.advance(100);
    const outcome = await publish(A, 0, 'p1', other);
    expect(outcome).toMatchObject({ result: PublishResult.Accepted, version: 1 });
    expect(await countRecords()).toBe(1);
  });

  it('should retry during a short outage', async () => {
    log.faults.outage = true;
    clock.sleep(1_000).then(() => {
      log.faults.outage = false;
    });
    expect((await publish(A, 0)).result).toBe(PublishResult.Accepted);
  });

  it('should return refused and publish nothing when the outage outlasts the deadline', async () => {
    log.faults.outage = true;
    const outcome = await publish(A, 0);
    expect(outcome.result).toBe(PublishResult.Refused);
    expect(outcome.reason).toContain('nothing was published');
    log.faults.outage = false;
    expect(await countRecords()).toBe(0);
  });

  it('should return refused, not unknown, when no time is left for another append', async () => {
    // The log is unavailable and takes a while to respond. An append shortly before the deadline
    // would time out, and a publication that certainly failed would be reported as unknown.
    const RESPONSE_MS = 200;
    log.append = async (_, __, deadline) => {
      const isLate = deadline.remainingMs() < RESPONSE_MS;
      await clock.sleep(Math.min(RESPONSE_MS, deadline.remainingMs()));
      const kind = isLate ? LogFailureKind.UnknownEffect : LogFailureKind.Unavailable;
      return Err({ kind, message: 'the log is unavailable' });
    };
    const results: PublishResult[] = [];
    for (let timeoutMs = 500; timeoutMs < 2_500; timeoutMs += 50) {
      const deadline = Deadline.after(clock, timeoutMs);
      const publication = { publishId: `p${timeoutMs}`, base: 0, author: 'salma', text: A };
      const pending = reader.publisher.publish(publication, deadline);
      await clock.advance(timeoutMs + 100);
      results.push((await pending).result);
    }
    expect(new Set(results)).toEqual(new Set([PublishResult.Refused]));
  });

  it('should publish nothing while its version is older than the base', async () => {
    const outcome = await publish(A, 7);
    expect(outcome.result).toBe(PublishResult.Refused);
    expect(outcome.reason).toContain('holds version 0, not version 7');
    expect(await countRecords()).toBe(0);
  });

  it('should tell one of two concurrent operators that the other published first', async () => {
    const other = createReader(clock, log, 2);
    other.startReading();
    await publish(A, 0, 'p0');
    const deadline = Deadline.after(clock, TIMEOUT_MS);
    const race = [reader, other].map(({ publisher }, index) =>
      publisher.publish(
        { publishId: `r${index}`, base: 1, author: `op${index}`, text: createRules(`n${index}`) },
        deadline,
      ),
    );
    await clock.advance(TIMEOUT_MS);
    const outcomes = await Promise.all(race);
    const results = outcomes.map(({ result }) => result).sort();
    expect(results).toEqual([PublishResult.Accepted, PublishResult.Refused]);
    const winner = outcomes.findIndex(({ result }) => result === PublishResult.Accepted);
    expect(outcomes[1 - winner]?.reason).toContain(`op${winner}`);
  });

  it('should not report a publication as accepted after a record of a newer format', async () => {
    await publish(A, 0, 'p1');
    const later = Buffer.from(JSON.stringify({ format: 2, kind: 'publish' }));
    const deadline = Deadline.after(clock, TIMEOUT_MS);
    await log.append(LogStream.Configuration, later, deadline);
    const outcome = await publish(B, 1, 'p2');
    expect(outcome.result).not.toBe(PublishResult.Accepted);
    expect(textOf(reader.store.state ?? { lines: [] })).toBe(A);
    expect(log.counters.reads).toBeLessThan(MAX_READS);
  });

  it('should judge a publish id only once when another client has appended it before', async () => {
    const record = createPublishRecord({ base: 0, before: '', after: A, publishId: 'p1' });
    const deadline = Deadline.after(clock, TIMEOUT_MS);
    await log.append(LogStream.Configuration, encodeRecord(record), deadline);
    await clock.advance(100);
    expect(await publish(A, 0, 'p1')).toMatchObject({ result: 'accepted', version: 1 });
    expect(await countRecords()).toBe(1);
  });
});
