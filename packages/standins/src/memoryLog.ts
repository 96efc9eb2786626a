/** A stand-in for the platform's append-only log, in memory, with switchable faults. */
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

/** Faults that can be switched on at any time. */
export interface LogFaults {
  /** Nothing is answered but that the log is unavailable. */
  outage: boolean;
  /** Every answer waits this long, in milliseconds. */
  delayMs: number;
  /** The next so many appends take effect and their answer is lost. */
  loseAnswers: number;
}

/** The properties of a log. */
export interface MemoryLogOptions {
  readonly clock: Clock;
  /** How long records are kept, in milliseconds. */
  readonly retentionMs: number;
  /** How many appends a second are taken. */
  readonly appendsPerSecond: number;
}

/** What the log was asked for, to measure load at the source. */
export interface LogCounters {
  appends: number;
  reads: number;
  ranges: number;
  bytesOut: number;
}

interface Stream {
  readonly records: LogRecord[];
  next: number;
  readonly waiting: Set<() => void>;
}

const MS_PER_SECOND = 1_000;

function unavailable(reason: string): LogFailure {
  return { kind: LogFailureKind.Unavailable, message: `log: ${reason}; try again later` };
}

/** An append-only log in memory. */
export class MemoryLog implements Log {
  /** The faults switched on now. */
  readonly faults: LogFaults = { outage: false, delayMs: 0, loseAnswers: 0 };

  /** What the log was asked for so far. */
  readonly counters: LogCounters = { appends: 0, reads: 0, ranges: 0, bytesOut: 0 };

  private readonly streams: Record<LogStream, Stream> = {
    [LogStream.Configuration]: { records: [], next: FIRST_OFFSET, waiting: new Set() },
    [LogStream.Presence]: { records: [], next: FIRST_OFFSET, waiting: new Set() },
  };

  private tokens: number;

  private filledAtMs: number;

  constructor(private readonly options: MemoryLogOptions) {
    this.tokens = options.appendsPerSecond;
    this.filledAtMs = options.clock.monotonicMs();
  }

  async append(
    stream: LogStream,
    data: Uint8Array,
    deadline: Deadline,
  ): Promise<Result<number, LogFailure>> {
    this.counters.appends += 1;
    const hindered = await this.hinder(deadline);
    if (hindered !== undefined) {
      return Err(hindered);
    }
    if (!this.takeToken()) {
      return Err(unavailable('too many appends a second'));
    }
    const offset = this.store(stream, data);
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
    const hindered = await this.hinder(deadline);
    if (hindered !== undefined) {
      return Err(hindered);
    }
    if (from >= this.streams[stream].next && waitMs > 0) {
      await this.waitForRecord(stream, Math.min(waitMs, deadline.remainingMs()), signal);
    }
    if (this.faults.outage) {
      return Err(unavailable('the log went away'));
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
    const hindered = await this.hinder(deadline);
    return hindered === undefined ? Ok(this.rangeOf(stream)) : Err(hindered);
  }

  // eslint-disable-next-line class-methods-use-this -- implements the interface
  async close(): Promise<void> {
    // Nothing to close.
  }

  /** Wakes readers that wait, so that they notice an outage. */
  wakeReaders(): void {
    Object.values(this.streams).forEach(({ waiting }) => waiting.forEach((wake) => wake()));
  }

  /**
   * Drops the oldest records at once, whatever the retention.
   *
   * @param stream - the stream
   * @param before - the first offset that is kept
   */
  forgetBefore(stream: LogStream, before: number): void {
    const { records } = this.streams[stream];
    while ((records[0]?.offset ?? before) < before) {
      records.shift();
    }
  }

  private store(stream: LogStream, data: Uint8Array): number {
    const entry = this.streams[stream];
    const offset = entry.next;
    entry.next += 1;
    entry.records.push({ offset, appendedAt: this.options.clock.now(), data });
    entry.waiting.forEach((wake) => wake());
    return offset;
  }

  private rangeOf(stream: LogStream): LogRange {
    const { clock, retentionMs } = this.options;
    const entry = this.streams[stream];
    const oldestMs = clock.now().getTime() - retentionMs;
    while ((entry.records[0]?.appendedAt.getTime() ?? oldestMs) < oldestMs) {
      entry.records.shift();
    }
    return { earliest: entry.records[0]?.offset ?? entry.next, next: entry.next, retentionMs };
  }

  private async hinder(deadline: Deadline): Promise<LogFailure | undefined> {
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
    const { waiting } = this.streams[stream];
    const woken = new AbortController();
    const wake = (): void => woken.abort();
    waiting.add(wake);
    const either = signal === undefined ? woken.signal : AbortSignal.any([woken.signal, signal]);
    await this.options.clock.sleep(waitMs, either);
    waiting.delete(wake);
  }

  private takeToken(): boolean {
    const { appendsPerSecond, clock } = this.options;
    const nowMs = clock.monotonicMs();
    const gained = ((nowMs - this.filledAtMs) * appendsPerSecond) / MS_PER_SECOND;
    this.tokens = Math.min(appendsPerSecond, this.tokens + gained);
    this.filledAtMs = nowMs;
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
