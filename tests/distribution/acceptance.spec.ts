import { EventKind } from 'lentillb';
import type { LogRecord } from 'lentillb';
import { Verdict } from 'lentillb/distribution/configurationRecord.js';
import { textOf } from 'lentillb/distribution/configurationState.js';
import { OfferResult } from 'lentillb/distribution/versionStore.js';
import { describe, expect, it } from 'vitest';
import { createLogRecord, createPublishRecord } from '../support/configurationRecords.js';
import { createRules } from '../support/ruleFiles.js';
import { createVersionStore } from '../support/createVersionStore.js';

const A = createRules('a');
const B = createRules('b');
const C = createRules('c');

const first = createPublishRecord({ base: 0, before: '', after: A });

function encode(value: unknown): Uint8Array {
  return Buffer.from(typeof value === 'string' ? value : JSON.stringify(value));
}

interface Case {
  readonly title: string;
  readonly records: readonly LogRecord[];
  readonly verdicts: readonly Verdict[];
  readonly version: number;
  readonly text: string;
}

const cases: readonly Case[] = [
  {
    title: 'an edit of the version in force',
    records: [
      createLogRecord(1, first),
      createLogRecord(2, createPublishRecord({ base: 1, before: A, after: B })),
    ],
    verdicts: [Verdict.Accepted, Verdict.Accepted],
    version: 2,
    text: B,
  },
  {
    title: 'the second of two operators who edited the same version',
    records: [
      createLogRecord(1, first),
      createLogRecord(2, createPublishRecord({ base: 1, before: A, after: B, author: 'hamad' })),
      createLogRecord(3, createPublishRecord({ base: 1, before: A, after: C, author: 'aisha' })),
    ],
    verdicts: [Verdict.Accepted, Verdict.Accepted, Verdict.Conflict],
    version: 2,
    text: B,
  },
  {
    title: 'an edit of a version that does not exist',
    records: [
      createLogRecord(1, first),
      createLogRecord(2, createPublishRecord({ base: 9, before: A, after: B })),
    ],
    verdicts: [Verdict.Accepted, Verdict.Conflict],
    version: 1,
    text: A,
  },
  {
    title: 'a record that was appended twice',
    records: [createLogRecord(1, first), createLogRecord(2, first)],
    verdicts: [Verdict.Accepted, Verdict.Repeated],
    version: 1,
    text: A,
  },
  {
    title: 'rules with a fault',
    records: [
      createLogRecord(1, first),
      createLogRecord(2, createPublishRecord({ base: 1, before: A, after: 'rout GET / # A: b\n' })),
    ],
    verdicts: [Verdict.Accepted, Verdict.Invalid],
    version: 1,
    text: A,
  },
  {
    title: 'content that does not match its digest',
    records: [createLogRecord(1, { ...first, digest: 'x' })],
    verdicts: [Verdict.Invalid],
    version: 0,
    text: '',
  },
  {
    title: 'edits that do not apply to the base',
    records: [createLogRecord(1, { ...first, edits: [{ line: 9, remove: 1, insert: [] }] })],
    verdicts: [Verdict.Invalid],
    version: 0,
    text: '',
  },
  {
    title: 'a line break inside an inserted line',
    records: [createLogRecord(1, { ...first, edits: [{ line: 1, remove: 0, insert: ['a\nb'] }] })],
    verdicts: [],
    version: 0,
    text: '',
  },
  {
    title: 'bytes that are not a record',
    records: [
      createLogRecord(1, encode('nonsense')),
      createLogRecord(2, encode({ format: 1, kind: 'poem' })),
    ],
    verdicts: [],
    version: 0,
    text: '',
  },
  {
    title: 'an empty rule file',
    records: [
      createLogRecord(1, first),
      createLogRecord(2, createPublishRecord({ base: 1, before: A, after: '' })),
    ],
    verdicts: [Verdict.Accepted, Verdict.Accepted],
    version: 2,
    text: '',
  },
];

describe('acceptance', () => {
  it.each(cases)('should judge $title', ({ records, verdicts, version, text }) => {
    const { store } = createVersionStore();
    store.startFromEmptyState();
    records.forEach((record) => store.offer(record));
    expect(store.state?.judgements.map(({ verdict }) => verdict)).toEqual(verdicts);
    expect(store.state?.version).toBe(version);
    expect(store.state === undefined ? undefined : textOf(store.state)).toBe(text);
    expect(store.through).toBe(records.at(-1)?.offset);
  });

  it('should name the operator who published first in a conflict', () => {
    const { store } = createVersionStore();
    store.startFromEmptyState();
    cases[1]?.records.forEach((record) => store.offer(record));
    expect(store.state?.judgements.at(-1)?.note).toContain('hamad, version 2 was first');
  });

  it('should keep the version and author that added each line', () => {
    const { store } = createVersionStore();
    store.startFromEmptyState();
    store.offer(createLogRecord(1, first));
    const grown = `${A}${B}`;
    store.offer(
      createLogRecord(2, createPublishRecord({ base: 1, before: A, after: grown, author: 'ilze' })),
    );
    expect(store.state?.lines.map(({ version, author }) => [version, author])).toEqual([
      [1, 'salma'],
      [2, 'ilze'],
    ]);
  });

  it('should stop at a record of a newer format, keep its version and record an event', () => {
    const { store, timeline } = createVersionStore();
    store.startFromEmptyState();
    store.offer(createLogRecord(1, first));
    const later = createLogRecord(2, encode({ format: 2, kind: 'publish' }));
    expect(store.offer(later)).toBe(OfferResult.Blocked);
    const next = createLogRecord(3, createPublishRecord({ base: 1, before: A, after: B }));
    expect(store.offer(next)).toBe(OfferResult.Blocked);
    expect([store.state?.version, store.blockedAt]).toEqual([1, 2]);
    const kinds = timeline.eventsAfter(0).map(({ kind }) => kind);
    expect(kinds).toContain(EventKind.RecordNotUnderstood);
  });

  it('should judge no record before it has a state', () => {
    const { store } = createVersionStore();
    expect(store.offer(createLogRecord(1, first))).toBe(OfferResult.Early);
    expect(store.state).toBeUndefined();
  });
});
