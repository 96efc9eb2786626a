/** Keeps keyed records in memory, without a network, and can go back to an older copy. */
import type { Clock } from 'lentillb';
import type {
  KeyedBatch,
  KeyedRecord,
  KeyedStore,
  StoreFailure,
  WrittenRecord,
} from 'lentillb/store/keyedStore.js';
import { StoreFailureKind, Topic } from 'lentillb/store/keyedStore.js';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

/** The time of one call, in milliseconds. */
const CALL_MS = 4;
const POLL_INTERVAL_MS = 20;

/** A store for tests in simulated time. */
export class MemoryKeyedStore implements KeyedStore {
  /** Whether the store answers. */
  available = true;

  /** After how long a waiting read is answered at the latest, in milliseconds. */
  maxWaitMs = Infinity;

  /** The time of one call, in milliseconds. */
  callMs = CALL_MS;

  /** The number of records in the answer to a read from an offset at most. */
  maxRecords = Infinity;

  /** The number of calls so far. */
  calls = 0;

  private era = 1;

  /** The offset of the first operator record that can be read in order. */
  private firstOffset = 0;

  private readonly recordsByTopic: Readonly<Record<Topic, KeyedRecord[]>> = {
    [Topic.Operator]: [],
    [Topic.Hosts]: [],
  };

  constructor(private readonly clock: Clock) {}

  /** @param lostRecords - the number of host records that were written last and are lost */
  goBack(lostRecords: number): void {
    const records = this.recordsByTopic[Topic.Hosts];
    records.splice(Math.max(0, records.length - lostRecords));
    this.era += 1;
  }

  /** @param count - the number of operator records that are deleted, but for the newest of each key */
  deleteFirst(count: number): void {
    this.firstOffset = count;
  }

  /** @returns the newest value of a host, as text */
  newestValue(host: string): string | undefined {
    const record = this.recordsByTopic[Topic.Hosts].findLast(({ key }) => key === host);
    return record?.value === undefined ? undefined : Buffer.from(record.value).toString('utf8');
  }

  async readNewest(topic: Topic): Promise<Result<KeyedBatch, StoreFailure>> {
    this.calls += 1;
    await this.clock.sleep(this.callMs);
    if (!this.available) {
      return this.fail(StoreFailureKind.NotExecuted);
    }
    const all = this.recordsByTopic[topic];
    const newest = new Map(all.map((record) => [record.key, record]));
    const records = [...newest.values()];
    return Ok({ records, nextOffset: all.length, hasMore: false, era: this.era });
  }

  async follow(
    topic: Topic,
    from: number,
    waitMs: number,
  ): Promise<Result<KeyedBatch, StoreFailure>> {
    this.calls += 1;
    const endMs = this.clock.monotonicMs() + Math.min(waitMs, this.maxWaitMs);
    await this.clock.sleep(this.callMs);
    const all = this.recordsByTopic[topic];
    while (this.available && all.length === from && this.clock.monotonicMs() < endMs) {
      await this.clock.sleep(POLL_INTERVAL_MS);
    }
    if (!this.available) {
      return this.fail(StoreFailureKind.NotExecuted);
    }
    const firstOffset = topic === Topic.Operator ? this.firstOffset : 0;
    if (all.length < from || from < firstOffset) {
      return this.fail(StoreFailureKind.NotRetained, firstOffset);
    }
    const records = all.slice(from, from + this.maxRecords);
    const nextOffset = from + records.length;
    return Ok({ records, nextOffset, hasMore: nextOffset < all.length, era: this.era });
  }

  async write(
    topic: Topic,
    key: string,
    value: Uint8Array,
  ): Promise<Result<WrittenRecord, StoreFailure>> {
    await this.clock.sleep(this.callMs);
    if (!this.available) {
      return this.fail(StoreFailureKind.NotExecuted);
    }
    const records = this.recordsByTopic[topic];
    records.push({ key, value, offset: records.length });
    return Ok({ offset: records.length - 1, era: this.era });
  }

  private fail(kind: StoreFailureKind, firstOffset?: number): Result<never, StoreFailure> {
    return Err({ kind, message: 'the store failed the call', era: this.era, firstOffset });
  }
}
