/** Keeps the status records of rollouts in memory, with the condition of writes and with outages. */
import type { Clock } from 'lentillb';
import type { KeyedRecord, StatusStore } from 'lentillb/store/keyedStore.js';
import { StoreFailureKind } from 'lentillb/store/keyedStore.js';
import { Err, Ok } from 'ts-results-es';

/** The time of one call, in milliseconds. */
const STORE_MS = 10;

/** A status topic for tests in simulated time. */
export class MemoryStatusStore implements StatusStore {
  available = true;

  readonly written: string[] = [];

  /** The time of the last write, in milliseconds of the clock. */
  writtenAtMs = 0;

  private readonly records: KeyedRecord[] = [];

  constructor(private readonly clock: Clock) {}

  async readStatus(): ReturnType<StatusStore['readStatus']> {
    await this.clock.sleep(STORE_MS);
    if (!this.available) {
      return Err({ kind: StoreFailureKind.Unknown, message: 'down' });
    }
    const newest = new Map(this.records.map((record) => [record.key, record]));
    const nextOffset = this.records.length;
    return Ok({ records: [...newest.values()], nextOffset, hasMore: false, era: 1 });
  }

  async writeStatus(
    key: string,
    value: Uint8Array,
    at: number,
  ): ReturnType<StatusStore['writeStatus']> {
    await this.clock.sleep(STORE_MS);
    if (!this.available) {
      return Err({ kind: StoreFailureKind.Unknown, message: 'down' });
    }
    if (at !== this.records.length) {
      return Err({ kind: StoreFailureKind.Moved, message: 'moved' });
    }
    this.records.push({ key, value, offset: at });
    const { state, 'target-version': target } = JSON.parse(Buffer.from(value).toString('utf8'));
    this.written.push(`${state} ${target}`);
    this.writtenAtMs = this.clock.monotonicMs();
    return Ok({ offset: at, era: 1 });
  }
}
