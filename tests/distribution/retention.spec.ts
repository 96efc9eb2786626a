import type { MemoryLog } from '@lentillb/standins';
import { Deadline, EventKind, LogStream } from 'lentillb';
import { encodeRecord } from 'lentillb/distribution/configurationRecord.js';
import { textOf } from 'lentillb/distribution/configurationState.js';
import { beforeEach, describe, expect, it } from 'vitest';
import type { LogReader } from '../support/logReader.js';
import { createLog, createReader, LOG_RETENTION_MS } from '../support/logReader.js';
import { ManualClock } from '../support/manualClock.js';
import { createPublishRecord } from '../support/configurationRecords.js';
import { createRules } from '../support/ruleFiles.js';

const A = createRules('a');
const B = createRules('b');
const STREAM = LogStream.Configuration;
const SECOND_MS = 1_000;

let clock: ManualClock;
let log: MemoryLog;

beforeEach(() => {
  clock = new ManualClock();
  log = createLog(clock);
});

async function append(before: string, after: string, base: number): Promise<void> {
  const data = encodeRecord(createPublishRecord({ base, before, after }));
  await log.append(STREAM, data, Deadline.after(clock, SECOND_MS));
}

function countSnapshots({ timeline }: LogReader): number {
  return timeline.eventsAfter(0).filter(({ kind }) => kind === EventKind.SnapshotWritten).length;
}

describe('retention', () => {
  it('should keep the accepted state in the log while its records expire', async () => {
    const reader = createReader(clock, log);
    reader.startReading();
    await append('', A, 0);
    await clock.advance(5 * LOG_RETENTION_MS);
    const late = createReader(clock, log, 2);
    late.startReading();
    await clock.advance(SECOND_MS);
    expect(late.store.state?.version).toBe(1);
    expect(textOf(late.store.state ?? { lines: [] })).toBe(A);
    expect((await log.range(STREAM, Deadline.after(clock, 1))).unwrap().earliest).toBeGreaterThan(
      1,
    );
  });

  it('should write few snapshots with concurrent writers', async () => {
    const readers = Array.from({ length: 8 }, (_, seed) => createReader(clock, log, seed + 1));
    readers.forEach((reader) => reader.startReading());
    await append('', A, 0);
    await clock.advance(4 * LOG_RETENTION_MS);
    const written = readers.reduce((total, reader) => total + countSnapshots(reader), 0);
    // A snapshot is due every half retention, and two writers may overlap each time.
    expect(written).toBeGreaterThanOrEqual(4);
    expect(written).toBeLessThanOrEqual(16);
    expect(new Set(readers.map(({ store }) => store.state?.version))).toEqual(new Set([1]));
  });

  it('should ignore a snapshot that is older than its own state', async () => {
    const writer = createReader(clock, log, 1);
    const endWriter = writer.startReading();
    await append('', A, 0);
    await clock.advance(LOG_RETENTION_MS * 0.7);
    endWriter();
    const reader = createReader(clock, log, 2);
    reader.startReading();
    await clock.advance(SECOND_MS);
    await append(A, B, 1);
    await clock.advance(SECOND_MS);
    expect(countSnapshots(writer)).toBeGreaterThan(0);
    expect(textOf(reader.store.state ?? { lines: [] })).toBe(B);
  });

  it('should not start from the empty state when the first records of the log have expired', async () => {
    await append('', A, 0);
    await append(A, B, 1);
    log.deleteBefore(STREAM, 2);
    const reader = createReader(clock, log);
    reader.startReading();
    await clock.advance(60 * SECOND_MS);
    expect(reader.store.state).toBeUndefined();
  });

  it('should keep its state during an outage longer than the retention, and restore it to the log', async () => {
    const reader = createReader(clock, log, 1);
    reader.startReading();
    await append('', A, 0);
    await clock.advance(SECOND_MS);
    log.faults.outage = true;
    log.wakeReaders();
    await clock.advance(2 * LOG_RETENTION_MS);
    log.faults.outage = false;
    await clock.advance(30 * SECOND_MS);
    const late = createReader(clock, log, 2);
    late.startReading();
    await clock.advance(SECOND_MS);
    expect(late.store.state?.version).toBe(1);
    await append(A, B, 1);
    await clock.advance(SECOND_MS);
    expect([reader.store.state?.version, late.store.state?.version]).toEqual([
      reader.store.through,
      late.store.through,
    ]);
    expect(textOf(late.store.state ?? { lines: [] })).toBe(B);
  });

  it('should adopt a newer snapshot after it was disconnected for longer than the retention', async () => {
    const cutOff = createReader(clock, log, 1);
    const end = cutOff.startReading();
    await append('', A, 0);
    await clock.advance(SECOND_MS);
    end();
    const other = createReader(clock, log, 2);
    other.startReading();
    await append(A, B, 1);
    await clock.advance(3 * LOG_RETENTION_MS);
    cutOff.startReading();
    await clock.advance(SECOND_MS);
    expect(cutOff.store.state?.version).toBe(2);
    expect(textOf(cutOff.store.state ?? { lines: [] })).toBe(B);
  });

  it('should skip records that expired before any node read them, without going back a version', async () => {
    const reader = createReader(clock, log, 1);
    const end = reader.startReading();
    await append('', A, 0);
    await clock.advance(SECOND_MS);
    end();
    await clock.advance(SECOND_MS);
    await append(A, B, 1);
    log.deleteBefore(STREAM, 3);
    await append(A, createRules('c'), 1);
    reader.startReading();
    await clock.advance(30 * SECOND_MS);
    expect(reader.store.state?.version).toBe(3);
    expect(reader.timeline.eventsAfter(0).map(({ kind }) => kind)).toContain(EventKind.LogGap);
  });
});
