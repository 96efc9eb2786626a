import { SeededRandomness } from 'lentillb';
import { EventClock } from 'lentillb/emulation/eventClock.js';
import type { KeyedRecord } from 'lentillb/store/keyedStore.js';
import { Topic } from 'lentillb/store/keyedStore.js';
import type { FollowerOptions } from 'lentillb/store/topicFollower.js';
import { TopicFollower } from 'lentillb/store/topicFollower.js';
import { runInBackground } from 'lentillb/utils/background.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MemoryKeyedStore } from '../support/memoryKeyedStore.js';

const POLL_MS = 700;

let clock: EventClock;
let store: MemoryKeyedStore;
let follower: TopicFollower;
let read: KeyedRecord[];
/** The times at which the store was known to have no later records. */
let currentTimesMs: number[];

function follow(options: Partial<FollowerOptions>): void {
  follower = new TopicFollower(
    { clock, randomness: new SeededRandomness(1), store },
    {
      topic: Topic.Operator,
      batchDelayMs: 500,
      schedule: { untilReadMs: () => 0, untilOutdatedMs: () => Infinity, pollMs: () => POLL_MS },
      ...options,
    },
    {
      onRecords: (records) => read.push(...records),
      onCaughtUp: () => undefined,
      onAnswered: (currentAtMs) => currentTimesMs.push(currentAtMs),
      onFailed: () => undefined,
      onOverdue: () => undefined,
      onRecovered: () => undefined,
    },
  );
  runInBackground(follower.run());
}

async function write(count: number): Promise<void> {
  for (let written = 0; written < count; written += 1) {
    await Promise.all([
      store.write(Topic.Operator, 'config', Buffer.from(`${written}`)),
      clock.runUntil(clock.monotonicMs() + store.callMs),
    ]);
  }
}

beforeEach(() => {
  clock = new EventClock();
  store = new MemoryKeyedStore(clock);
  store.maxRecords = 2;
  read = [];
  currentTimesMs = [];
});

afterEach(() => follower.stop());

describe('a follower that is behind', () => {
  it('should read the newest record of a key and skip those between', async () => {
    await write(1);
    follow({ newestOnly: true });
    await clock.runUntil(100);
    await write(9);
    await clock.runUntil(1_500);
    expect(read.map(({ offset }) => offset)).toEqual([0, 1, 2, 9]);
  });

  it('should read all records without a pause where it needs them all', async () => {
    await write(1);
    follow({});
    await clock.runUntil(100);
    await write(9);
    await clock.runUntil(1_500);
    expect(read.map(({ offset }) => offset)).toEqual([0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
  });

  it('should not count as complete until it has read the newest record', async () => {
    await write(1);
    follow({ newestOnly: true });
    await clock.runUntil(100);
    const answersBefore = currentTimesMs.length;
    await write(9);
    await clock.runUntil(700);
    expect(currentTimesMs.at(answersBefore)).toBe(-Infinity);
    expect(currentTimesMs.at(-1)).toBeGreaterThan(100);
  });
});
