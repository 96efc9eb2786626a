/** Checks the era of all answers of the store, so that no answer from before an outage takes effect. */
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import type { Deadline } from '../kernel/deadline.js';
import type { TransferProgress } from '../utils/transferProgress.js';
import type {
  KeyedBatch,
  KeyedStore,
  StoreEra,
  StoreFailure,
  Topic,
  WrittenRecord,
} from './keyedStore.js';
import { StoreFailureKind } from './keyedStore.js';
import type { StoreEraTracker } from './storeEraTracker.js';

function fail(kind: StoreFailureKind, message: string): Result<never, StoreFailure> {
  return Err({ kind, message });
}

/** A store whose offsets hold only within one era. */
export class EraCheckedStore implements KeyedStore {
  /**
   * @param store - the store to call
   * @param tracker - knows the current era
   */
  constructor(
    private readonly store: KeyedStore,
    private readonly tracker: StoreEraTracker,
  ) {}

  async readNewest(
    topic: Topic,
    deadline: Deadline,
    progress?: TransferProgress,
  ): Promise<Result<KeyedBatch, StoreFailure>> {
    return this.check(await this.store.readNewest(topic, deadline, progress));
  }

  async follow(
    topic: Topic,
    from: number,
    waitMs: number,
    deadline: Deadline,
    progress?: TransferProgress,
  ): Promise<Result<KeyedBatch, StoreFailure>> {
    const eraOfOffset = this.tracker.current;
    const result = this.check(await this.store.follow(topic, from, waitMs, deadline, progress));
    const wentBack = eraOfOffset !== undefined && eraOfOffset !== this.tracker.current;
    return result.isOk() && wentBack
      ? fail(
          StoreFailureKind.NotRetained,
          `the store went back to an older copy: era ${this.tracker.current} after ${eraOfOffset}`,
        )
      : result;
  }

  async write(
    topic: Topic,
    key: string,
    value: Uint8Array,
    deadline: Deadline,
  ): Promise<Result<WrittenRecord, StoreFailure>> {
    return this.check(await this.store.write(topic, key, value, deadline));
  }

  private check<Value extends { readonly era: StoreEra }>(
    result: Result<Value, StoreFailure>,
  ): Result<Value, StoreFailure> {
    const era = result.isOk() ? result.value.era : result.error.era;
    return this.tracker.observe(era)
      ? result
      : fail(StoreFailureKind.EarlierEra, `the answer of the store is from the earlier era ${era}`);
  }
}
