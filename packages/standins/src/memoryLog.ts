/** An in-memory substitute for the platform's append-only log, with fault injection. */
import type {
  Clock,
  Deadline,
  Log,
  LogBatch,
  LogFailure,
  LogRange,
  LogRecord,
  ReadRequest,
} from 'lentillb';
import { FIRST_OFFSET, LogFailureKind, LogStream } from 'lentillb';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

/** Faults that can be turned on and off while the log is in use. */
export interface LogFaults {
  /** Every operation fails as unavailable. */
  outage: boolean;
  /** The delay of every operation, in milliseconds. */
  delayMs: number;
  /** The number of appends to come that store their record but lose their response. */
  loseAnswers: number;
}

/** The options of an in-memory log. */
export interface MemoryLogOptions {
  readonly clock: Clock;
  /** The retention of records, in milliseconds. */
  readonly retentionMs: number;
  /** The maximum rate of appends, also the capacity of the token bucket that limits it. */
  readonly appendsPerSecond: number;
}

/** Counts operations and bytes read, to measure the load on the log. */
export interface LogCounters {
  appends: number;
  reads: number;
  ranges: number;
  bytesOut: number;
}

interface Stream {
  readonly records: LogRecord[];
  nextOffset: number;
  readonly waiters: Set<() => void>;
}

const MS_PER_SECOND = 1_000;

function unavailable(reason: string): LogFailure {
  return { kind: LogFailureKind.Unavailable, message: `log: ${reason}; try again later` };
}

/** An append-only log in memory. */
export class MemoryLog implements Log {
  /** The current faults. */
  readonly faults: LogFaults = { outage: false, delayMs: 0, loseAnswers: 0 };

  /** The operations on the log so far. */
  readonly counters: LogCounters = { appends: 0, reads: 0, ranges: 0, bytesOut: 0 };

  private readonly streams: Record<LogStream, Stream> = {
    [LogStream.Configuration]: { records: [], nextOffset: FIRST_OFFSET, waiters: new Set() },
    [LogStream.Presence]: { records: [], nextOffset: FIRST_OFFSET, waiters: new Set() },
  };

  private tokens: number;

  private refilledAtMs: number;

  constructor(private readonly options: MemoryLogOptions) {
    this.tokens = options.appendsPerSecond;
    this.refilledAtMs = options.clock.monotonicMs();
  }

  async append(
    stream: LogStream,
    data: Uint8Array,
    deadline: Deadline,
  ): Promise<Result<number, LogFailure>> {
    this.counters.appends += 1;
    const failure = await this.applyFaults(deadline);
    if (failure !== undefined) {
      return Err(failure);
    }
    if (!this.takeToken()) {
      return Err(unavailable('append rate limit exceeded'));
    }
    const offset = this.storeRecord(stream, data);
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      await this.options.clock.sleep(deadline.remainingMs());
      const message = `append to "${stream}": no answer; read the log to see whether it took effect`;
      return Err({ kind: LogFailureKind.UnknownEffect, message });
    }
    return Ok(offset);
  }

  async read(
    { stream, from, limit, waitMs }: ReadRequest,
    deadline: Deadline,
    signal?: AbortSignal,
  ): Promise<Result<LogBatch, LogFailure>> {
    this.counters.reads += 1;
    const failure = await this.applyFaults(deadline);
    if (failure !== undefined) {
      return Err(failure);
    }
    if (from >= this.streams[stream].nextOffset && waitMs > 0) {
      await this.waitForRecord(stream, Math.min(waitMs, deadline.remainingMs()), signal);
    }
    if (this.faults.outage) {
      return Err(unavailable('outage during the read'));
    }
    const range = this.rangeOf(stream);
    if (from < range.earliest) {
      const message = `read "${stream}" from ${from}: no longer retained; read from ${range.earliest}`;
      return Err({ kind: LogFailureKind.NotRetained, message, range });
    }
    const records = this.streams[stream].records
      .filter((record) => record.offset >= from)
      .slice(0, limit);
    this.counters.bytesOut += records.reduce((total, { data }) => total + data.length, 0);
    return Ok({ records, range });
  }

  async range(stream: LogStream, deadline: Deadline): Promise<Result<LogRange, LogFailure>> {
    this.counters.ranges += 1;
    const failure = await this.applyFaults(deadline);
    return failure === undefined ? Ok(this.rangeOf(stream)) : Err(failure);
  }

  // eslint-disable-next-line class-methods-use-this -- implements the interface
  async close(): Promise<void> {
    // Nothing to close.
  }

  /** Wakes pending reads, so that they notice an outage. */
  wakeReaders(): void {
    Object.values(this.streams).forEach(({ waiters }) => waiters.forEach((wake) => wake()));
  }

  /**
   * Drops the oldest records at once, regardless of the retention.
   *
   * @param stream - the stream
   * @param before - the lowest offset to keep
   */
  deleteBefore(stream: LogStream, before: number): void {
    const { records } = this.streams[stream];
    while ((records[0]?.offset ?? before) < before) {
      records.shift();
    }
  }

  private storeRecord(stream: LogStream, data: Uint8Array): number {
    const entry = this.streams[stream];
    const offset = entry.nextOffset;
    entry.nextOffset += 1;
    entry.records.push({ offset, appendedAt: this.options.clock.now(), data });
    entry.waiters.forEach((wake) => wake());
    return offset;
  }

  private rangeOf(stream: LogStream): LogRange {
    const { clock, retentionMs } = this.options;
    const entry = this.streams[stream];
    const oldestMs = clock.now().getTime() - retentionMs;
    while ((entry.records[0]?.appendedAt.getTime() ?? oldestMs) < oldestMs) {
      entry.records.shift();
    }
    return {
      earliest: entry.records[0]?.offset ?? entry.nextOffset,
      next: entry.nextOffset,
      retentionMs,
    };
  }

  private async applyFaults(deadline: Deadline): Promise<LogFailure | undefined> {
    const { delayMs, outage } = this.faults;
    if (delayMs > 0) {
      await this.options.clock.sleep(Math.min(delayMs, deadline.remainingMs()));
    }
    if (outage || this.faults.outage) {
      return unavailable('outage');
    }
    return undefined;
  }

  private async waitForRecord(
    stream: LogStream,
    waitMs: number,
    signal: AbortSignal | undefined,
  ): Promise<void> {
    const { waiters } = this.streams[stream];
    const wakeController = new AbortController();
    const wake = (): void => wakeController.abort();
    waiters.add(wake);
    const wakeSignal =
      signal === undefined
        ? wakeController.signal
        : AbortSignal.any([wakeController.signal, signal]);
    await this.options.clock.sleep(waitMs, wakeSignal);
    waiters.delete(wake);
  }

  private takeToken(): boolean {
    const { appendsPerSecond, clock } = this.options;
    const nowMs = clock.monotonicMs();
    const refilledTokens = ((nowMs - this.refilledAtMs) * appendsPerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(appendsPerSecond, this.tokens + refilledTokens);
    this.refilledAtMs = nowMs;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
