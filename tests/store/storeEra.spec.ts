import { Deadline } from 'lentillb';
import { EraCheckedStore } from 'lentillb/store/eraCheckedStore.js';
import type { KeyedBatch, KeyedStore, StoreFailure } from 'lentillb/store/keyedStore.js';
import { StoreFailureKind, Topic } from 'lentillb/store/keyedStore.js';
import { StoreEraTracker } from 'lentillb/store/storeEraTracker.js';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

type ReadResult = Result<KeyedBatch, StoreFailure>;

function batch(era: number | undefined, nextOffset = 0): ReadResult {
  return Ok({ records: [], nextOffset, hasMore: false, era });
}

/** Creates a store whose reads are answered by the test, in any order. */
function fixture() {
  const tracker = new StoreEraTracker();
  const deadline = Deadline.after(new ManualClock(), 1_000);
  const pending: ((result: ReadResult) => void)[] = [];
  const read = (): Promise<ReadResult> =>
    new Promise((resolve) => {
      pending.push(resolve);
    });
  const answered: KeyedStore = {
    readNewest: read,
    follow: read,
    write: () => Promise.resolve(Ok({ offset: 0, era: tracker.current })),
  };
  const store = new EraCheckedStore(answered, tracker);
  return {
    tracker,
    pending,
    readNewest: () => store.readNewest(Topic.Hosts, deadline),
    follow: () => store.follow(Topic.Hosts, 7, 0, deadline),
  };
}

describe('era of the store', () => {
  it('should be announced once when it rises, and not when it is first known', () => {
    const tracker = new StoreEraTracker();
    const eras: number[] = [];
    tracker.subscribe((era) => eras.push(era));
    expect([3, 3, undefined, 5, 4, 5].map((era) => tracker.observe(era))).toEqual([
      true,
      true,
      true,
      true,
      false,
      true,
    ]);
    expect(eras).toEqual([5]);
  });

  it('should make an offset of an earlier era void although the store has records there again', async () => {
    const { follow, pending, tracker } = fixture();
    tracker.observe(1);
    const following = follow();
    pending[0]?.(batch(2, 9));
    expect((await following).unwrapErr().kind).toBe(StoreFailureKind.NotRetained);
    expect(tracker.current).toBe(2);
  });

  it('should make an answer of an earlier era change nothing when it arrives late', async () => {
    const { pending, readNewest, tracker } = fixture();
    tracker.observe(1);
    const late = readNewest();
    const current = readNewest();
    pending[1]?.(batch(2));
    expect((await current).isOk()).toBe(true);
    pending[0]?.(batch(1));
    expect((await late).unwrapErr().kind).toBe(StoreFailureKind.EarlierEra);
    expect(tracker.current).toBe(2);
  });

  it('should rise with a refusal, too', async () => {
    const { pending, readNewest, tracker } = fixture();
    tracker.observe(1);
    const refused = readNewest();
    pending[0]?.(Err({ kind: StoreFailureKind.NotExecuted, message: 'refused', era: 2 }));
    expect((await refused).isErr()).toBe(true);
    expect(tracker.current).toBe(2);
  });

  it('should count as unchanged in an answer that does not name it', async () => {
    const { follow, pending, tracker } = fixture();
    tracker.observe(2);
    const following = follow();
    pending[0]?.(batch(undefined, 8));
    expect((await following).unwrap().nextOffset).toBe(8);
    expect(tracker.current).toBe(2);
  });
});
