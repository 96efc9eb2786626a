/** Reads the configuration stream of the log while this node has the reader role. */
import type { Result } from 'ts-results-es';
import { Ok } from 'ts-results-es';
import type { Services } from '../kernel/services.js';
import { Deadline } from '../kernel/deadline.js';
import type { LogBatch, LogFailure, LogRange, LogRecord } from '../log/log.js';
import { FIRST_OFFSET, LogFailureKind, LogStream } from '../log/log.js';
import { EventKind } from '../timeline/event.js';
import { Backoff } from '../utils/backoff.js';
import { decodeRecord, decodeState, RecordKind } from './configurationRecord.js';
import { fromSerializableState } from './configurationState.js';

const MAX_RECORDS_PER_READ = 256;
const LONG_POLL_WAIT_MS = 10_000;
/** Limits how long a read may take in addition to the time that the log may wait for a record. */
const READ_TIMEOUT_MS = 2_000;
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 3_000;
/** Waits this long for a peer with a newer state before it skips records that have expired. */
const GAP_TIMEOUT_MS = 3_000;

type Dependencies = Pick<
  Services,
  'clock' | 'log' | 'logger' | 'randomness' | 'timeline' | 'versionStore' | 'snapshotWriter'
>;

/** Reads the log and passes its records to the version store. */
export class LogFollower {
  private reachable: boolean | undefined;

  private gapSinceMs: number | undefined;

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /** Returns whether the last read succeeded; undefined before the first read. */
  get logReachable(): boolean | undefined {
    return this.reachable;
  }

  /**
   * Reads the log continuously until the signal is aborted.
   *
   * @param signal - stops the reading
   */
  async follow(signal: AbortSignal): Promise<void> {
    const { clock, randomness } = this.services;
    const backoff = new Backoff(randomness, MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS);
    while (!signal.aborted) {
      if (this.services.versionStore.blockedAt !== undefined) {
        await clock.sleep(LONG_POLL_WAIT_MS, signal);
        continue;
      }
      const failure = await this.readOnce(signal);
      if (failure === undefined) {
        backoff.reset();
      } else if (!signal.aborted) {
        this.updateReachable(failure.kind === LogFailureKind.NotRetained, failure);
        await clock.sleep(backoff.nextMs(), signal);
      }
    }
  }

  private async readOnce(signal: AbortSignal): Promise<LogFailure | undefined> {
    const { clock, log, versionStore } = this.services;
    if (versionStore.state === undefined) {
      return this.bootstrap(signal);
    }
    const from = versionStore.through + 1;
    const deadline = Deadline.after(clock, LONG_POLL_WAIT_MS + READ_TIMEOUT_MS);
    const request = {
      stream: LogStream.Configuration,
      from,
      limit: MAX_RECORDS_PER_READ,
      waitMs: LONG_POLL_WAIT_MS,
    };
    const batch = await log.read(request, deadline, signal);
    if (batch.isErr()) {
      return batch.error.kind === LogFailureKind.NotRetained && batch.error.range !== undefined
        ? this.closeGap(batch.error, batch.error.range, signal)
        : batch.error;
    }
    this.gapSinceMs = undefined;
    this.updateReachable(true);
    this.applyBatch(batch.value);
    return undefined;
  }

  private applyBatch({ records, range }: LogBatch): void {
    const { versionStore, snapshotWriter } = this.services;
    records.forEach((record) => versionStore.offer(record));
    records.forEach((record) => snapshotWriter.observeRecord(record));
    snapshotWriter.writeIfDue(range);
  }

  /** Starts a node without a state at the first record of the log, or at the newest snapshot. */
  private async bootstrap(signal: AbortSignal): Promise<LogFailure | undefined> {
    const { clock, log, versionStore } = this.services;
    const range = await log.range(LogStream.Configuration, Deadline.after(clock, READ_TIMEOUT_MS));
    if (range.isErr()) {
      return range.error;
    }
    if (range.value.earliest === FIRST_OFFSET) {
      versionStore.startFromEmptyState();
      return undefined;
    }
    return this.adoptNewestSnapshot(range.value, signal);
  }

  private async adoptNewestSnapshot(
    range: LogRange,
    signal: AbortSignal,
  ): Promise<LogFailure | undefined> {
    const { versionStore } = this.services;
    const retained = await this.readRetained(range, signal);
    if (retained.isErr()) {
      return retained.error;
    }
    const records = retained.value;
    const newest = [...records].reverse().find((record) => this.adoptSnapshot(record));
    records.forEach((record) => versionStore.offer(record));
    return newest === undefined
      ? {
          kind: LogFailureKind.NotRetained,
          message:
            'the log has no snapshot newer than the state of this node; waiting for the state of a peer',
          range,
        }
      : undefined;
  }

  private adoptSnapshot(record: LogRecord): boolean {
    const decoded = decodeRecord(record.data);
    if (decoded.isErr() || decoded.value.kind !== RecordKind.Snapshot) {
      return false;
    }
    const state = decodeState(Buffer.from(decoded.value.state, 'base64')).andThen(
      fromSerializableState,
    );
    return (
      state.isOk() &&
      this.services.versionStore.adopt(state.value, `snapshot at offset ${record.offset}`)
    );
  }

  private async readRetained(
    range: LogRange,
    signal: AbortSignal,
  ): Promise<Result<readonly LogRecord[], LogFailure>> {
    const { clock, log } = this.services;
    const records: LogRecord[] = [];
    let from = range.earliest;
    while (from < range.next) {
      const request = {
        stream: LogStream.Configuration,
        from,
        limit: MAX_RECORDS_PER_READ,
        waitMs: 0,
      };
      const batch = await log.read(request, Deadline.after(clock, READ_TIMEOUT_MS), signal);
      if (batch.isErr()) {
        return batch;
      }
      records.push(...batch.value.records);
      from = (records.at(-1)?.offset ?? range.next) + 1;
    }
    return Ok(records);
  }

  /**
   * Handles records that expired before this node read them. It adopts the newest snapshot, or else
   * waits for a peer to send a newer state, and skips the records when no state arrives in time.
   */
  private async closeGap(
    failure: LogFailure,
    range: LogRange,
    signal: AbortSignal,
  ): Promise<LogFailure | undefined> {
    const { clock, versionStore } = this.services;
    const adopted = await this.adoptNewestSnapshot(range, signal);
    if (adopted === undefined) {
      return undefined;
    }
    this.gapSinceMs ??= clock.monotonicMs();
    if (clock.monotonicMs() - this.gapSinceMs < GAP_TIMEOUT_MS) {
      return failure;
    }
    this.gapSinceMs = undefined;
    versionStore.skipLostRecords(range.earliest - 1);
    return undefined;
  }

  private updateReachable(reachable: boolean, failure?: LogFailure): void {
    if (this.reachable === reachable) {
      return;
    }
    this.reachable = reachable;
    const { timeline, logger } = this.services;
    timeline.record(reachable ? EventKind.LogReachable : EventKind.LogUnreachable, {
      detail: failure?.message,
    });
    if (!reachable) {
      logger.warn({ failure }, 'cannot read the log; continuing with the current configuration');
    }
  }
}
