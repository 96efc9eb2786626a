/** Follows the configuration stream of the log while this node has the reader role. */
import type { Result } from 'ts-results-es';
import { Ok } from 'ts-results-es';
import type { Services } from '../kernel/services.js';
import { Deadline } from '../kernel/deadline.js';
import type { LogBatch, LogFailure, LogRange, LogRecord } from '../log/log.js';
import { FIRST_OFFSET, LogFailureKind, LogStream } from '../log/log.js';
import { EventKind } from '../timeline/event.js';
import { Backoff } from '../utils/backoff.js';
import { decodeRecord, decodeState, RecordKind } from './configurationRecord.js';
import { fromPlainState } from './configurationState.js';

const READ_LIMIT = 256;
const POLL_WAIT_MS = 10_000;
/** How much longer than its wait a read may take before the connection counts as silent. */
const READ_GRACE_MS = 2_000;
const RETRY_LEAST_MS = 100;
const RETRY_MOST_MS = 3_000;
/** How long peers are given to know more, after the log forgot records this node lacks. */
const GAP_GRACE_MS = 3_000;

type Needs = Pick<
  Services,
  'clock' | 'log' | 'logger' | 'randomness' | 'timeline' | 'versionStore' | 'snapshotWriter'
>;

/** Reads the log and offers its records to the version store. */
export class LogFollower {
  private reachable: boolean | undefined;

  private gapSinceMs: number | undefined;

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
  }

  /** Whether the last read succeeded; undefined before the first. */
  get logReachable(): boolean | undefined {
    return this.reachable;
  }

  /**
   * Follows the log until told to end.
   *
   * @param signal - ends the following
   */
  async follow(signal: AbortSignal): Promise<void> {
    const { clock, randomness } = this.services;
    const backoff = new Backoff(randomness, RETRY_LEAST_MS, RETRY_MOST_MS);
    while (!signal.aborted) {
      if (this.services.versionStore.blockedAt !== undefined) {
        await clock.sleep(POLL_WAIT_MS, signal);
        continue;
      }
      const failure = await this.readOnce(signal);
      if (failure === undefined) {
        backoff.reset();
      } else if (!signal.aborted) {
        this.noteReachable(failure.kind === LogFailureKind.NotRetained, failure);
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
    const deadline = Deadline.after(clock, POLL_WAIT_MS + READ_GRACE_MS);
    const request = {
      stream: LogStream.Configuration,
      from,
      limit: READ_LIMIT,
      waitMs: POLL_WAIT_MS,
    };
    const batch = await log.read(request, deadline, signal);
    if (batch.isErr()) {
      return batch.error.kind === LogFailureKind.NotRetained && batch.error.range !== undefined
        ? this.closeGap(batch.error, batch.error.range, signal)
        : batch.error;
    }
    this.gapSinceMs = undefined;
    this.noteReachable(true);
    this.take(batch.value);
    return undefined;
  }

  private take({ records, range }: LogBatch): void {
    const { versionStore, snapshotWriter } = this.services;
    records.forEach((record) => versionStore.offer(record));
    records.forEach((record) => snapshotWriter.observe(record));
    snapshotWriter.consider(range);
  }

  /** A node without a state begins at the log's first record, or at its newest snapshot. */
  private async bootstrap(signal: AbortSignal): Promise<LogFailure | undefined> {
    const { clock, log, versionStore } = this.services;
    const range = await log.range(LogStream.Configuration, Deadline.after(clock, READ_GRACE_MS));
    if (range.isErr()) {
      return range.error;
    }
    if (range.value.earliest === FIRST_OFFSET) {
      versionStore.beginEmpty();
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
          message: 'the log holds no snapshot newer than this node; waiting for a peer',
          range,
        }
      : undefined;
  }

  private adoptSnapshot(record: LogRecord): boolean {
    const decoded = decodeRecord(record.data);
    if (decoded.isErr() || decoded.value.kind !== RecordKind.Snapshot) {
      return false;
    }
    const state = decodeState(Buffer.from(decoded.value.state, 'base64')).andThen(fromPlainState);
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
      const request = { stream: LogStream.Configuration, from, limit: READ_LIMIT, waitMs: 0 };
      const batch = await log.read(request, Deadline.after(clock, READ_GRACE_MS), signal);
      if (batch.isErr()) {
        return batch;
      }
      records.push(...batch.value.records);
      from = (records.at(-1)?.offset ?? range.next) + 1;
    }
    return Ok(records);
  }

  /** The log forgot records this node has not seen: a snapshot, a peer, or nobody knows them. */
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
    if (clock.monotonicMs() - this.gapSinceMs < GAP_GRACE_MS) {
      return failure;
    }
    this.gapSinceMs = undefined;
    versionStore.skipLost(range.earliest - 1);
    return undefined;
  }

  private noteReachable(reachable: boolean, failure?: LogFailure): void {
    if (this.reachable === reachable) {
      return;
    }
    this.reachable = reachable;
    const { timeline, logger } = this.services;
    timeline.record(reachable ? EventKind.LogReachable : EventKind.LogUnreachable, {
      detail: failure?.message,
    });
    if (!reachable) {
      logger.warn({ failure }, 'the log cannot be read; going on with the configuration held');
    }
  }
}
