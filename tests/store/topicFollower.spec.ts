import { SeededRandomness } from 'lentillb';
import { EventClock } from 'lentillb/emulation/eventClock.js';
import type {
  KeyedBatch,
  KeyedRecord,
  KeyedStore,
  StoreFailure,
  WrittenRecord,
} from 'lentillb/store/keyedStore.js';
import { StoreFailureKind, Topic } from 'lentillb/store/keyedStore.js';
import type { FollowerOptions } from 'lentillb/store/topicFollower.js';
import { TopicFollower } from 'lentillb/store/topicFollower.js';
import { runInBackground } from 'lentillb/utils/background.js';
import type { TransferProgress } from 'lentillb/utils/transferProgress.js';
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { MemoryKeyedStore } from '../support/memoryKeyedStore.js';

const POLL_MS = 700;

const alwaysReading = {
  untilReadMs: () => 0,
  pollMs: () => POLL_MS,
  ageMs: () => 0,
  isReadElsewhere: () => false,
};

let clock: EventClock;
let store: MemoryKeyedStore;
let follower: TopicFollower;
let read: KeyedRecord[];
/** The times at which the store was known to have no later records. */
let currentTimesMs: number[];
let supersededReads: number;

function follow(options: Partial<FollowerOptions>, followed: KeyedStore = store): void {
  follower = new TopicFollower(
    { clock, randomness: new SeededRandomness(1), store: followed },
    {
      topic: Topic.Operator,
      batchDelayMs: 500,
      schedule: { ...alwaysReading, untilOutdatedMs: () => Infinity },
      ...options,
    },
    {
      onRecords: (records) => read.push(...records),
      onCaughtUp: () => undefined,
      onAnswered: (currentAtMs) => currentTimesMs.push(currentAtMs),
      onFailed: () => undefined,
      onOverdue: () => undefined,
      onSuperseded: () => {
        supersededReads += 1;
      },
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
  supersededReads = 0;
});

afterEach(() => follower.stop());

/** A store whose reads are answered by the test. */
class StoreAnsweredByHand implements KeyedStore {
  readonly reads: TransferProgress[] = [];

  private readonly answers: ((result: Result<KeyedBatch, StoreFailure>) => void)[] = [];

  readNewest(
    _topic: Topic,
    _deadline: unknown,
    progress?: TransferProgress,
  ): Promise<Result<KeyedBatch, StoreFailure>> {
    return new Promise((resolve) => {
      this.reads.push(progress as TransferProgress);
      this.answers.push(resolve);
    });
  }

  // eslint-disable-next-line class-methods-use-this -- implements the interface
  follow(): Promise<Result<KeyedBatch, StoreFailure>> {
    return Promise.reject(new Error('not read from an offset'));
  }

  // eslint-disable-next-line class-methods-use-this -- implements the interface
  write(): Promise<Result<WrittenRecord, StoreFailure>> {
    return Promise.reject(new Error('not written'));
  }

  fail(index: number): void {
    this.answers[index]?.(Err({ kind: StoreFailureKind.Unknown, message: 'timed out' }));
  }
}

describe('a read of a view that is too old', () => {
  let byHand: StoreAnsweredByHand;
  const outdated = { ...alwaysReading, untilOutdatedMs: () => -1 };

  beforeEach(() => {
    byHand = new StoreAnsweredByHand();
  });

  async function receiveBytes(index: number, durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
      byHand.reads[index]?.add(50_000);
      await clock.runUntil(clock.monotonicMs() + 100);
    }
  }

  it('should not be sent again while its answer arrives', async () => {
    follow({ schedule: outdated }, byHand);
    await receiveBytes(0, 3_000);
    expect(byHand.reads).toHaveLength(1);
  });

  it('should be sent again after 10 s although bytes of its answer arrive', async () => {
    follow({ schedule: outdated }, byHand);
    await receiveBytes(0, 10_300);
    expect(byHand.reads).toHaveLength(2);
  });

  it('should be sent again once no byte of it arrives for 250 ms', async () => {
    follow({ schedule: outdated }, byHand);
    await receiveBytes(0, 500);
    await clock.runUntil(clock.monotonicMs() + 260);
    expect(byHand.reads).toHaveLength(2);
  });

  it('should be one of two at most, however long the store is silent', async () => {
    follow({ schedule: outdated }, byHand);
    await clock.runUntil(8_000);
    expect(byHand.reads.length).toBeGreaterThan(5);
    const waiting = byHand.reads.filter(({ isCancelled }) => !isCancelled);
    expect(waiting).toHaveLength(2);
  });

  it('should be cancelled when another node has read the topic while its answer arrives', async () => {
    let isRead = false;
    follow({ schedule: { ...outdated, isReadElsewhere: () => isRead } }, byHand);
    await receiveBytes(0, 500);
    isRead = true;
    await receiveBytes(0, 500);
    expect(byHand.reads[0]?.isCancelled).toBe(true);
    expect(supersededReads).toBeGreaterThan(0);
  });

  it('should go on when an earlier one fails', async () => {
    follow({ schedule: outdated }, byHand);
    await clock.runUntil(300);
    await receiveBytes(1, 500);
    byHand.fail(0);
    await receiveBytes(1, 500);
    expect(byHand.reads.map(({ isCancelled }) => isCancelled)).toEqual([false, false]);
  });
});

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
