/** Writes log lines to a file descriptor without ever blocking the process. */
import { write } from 'node:fs';
import type { Clock } from '../kernel/clock.js';

/** How many bytes may wait for a reader that stalls; further lines are dropped and counted. */
const MAX_WAITING_BYTES = 256 * 1024;
/** How long lines are collected before they are written together, in milliseconds: each write wakes a thread. */
const COLLECT_MS = 200;

/** Writes to a descriptor, for tests to replace. */
export type DescriptorWrite = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/**
 * @param descriptor - the number of an open file descriptor
 * @returns writes to it on another thread, so that a full pipe holds up only that thread
 */
export function writeToDescriptor(descriptor: number): DescriptorWrite {
  return (bytes, done) => write(descriptor, bytes, 0, bytes.length, null, done);
}

/** Writes lines in order, many at a time. */
export class LineWriter {
  private waiting: string[] = [];

  private waitingBytes = 0;

  private writing = false;

  private collecting = false;

  private flushed: (() => void) | undefined;

  private droppedLines = 0;

  /**
   * @param clock - the clock that writes go by
   * @param writeBytes - writes to where the lines go
   */
  constructor(
    private readonly clock: Clock,
    private readonly writeBytes: DescriptorWrite,
  ) {}

  /** How many lines were dropped because nobody read. */
  get dropped(): number {
    return this.droppedLines;
  }

  /** @param line - a line with its line break */
  write(line: string): void {
    if (this.waitingBytes + line.length > MAX_WAITING_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingBytes += line.length;
    this.collect();
  }

  /**
   * Writes what is waiting at once.
   *
   * @param timeoutMs - how long a reader that stalls is waited for, in milliseconds
   */
  async flush(timeoutMs: number): Promise<void> {
    const written = new Promise<void>((resolve) => {
      this.flushed = resolve;
    });
    this.writeNext();
    await Promise.race([written, this.clock.sleep(timeoutMs)]);
  }

  private collect(): void {
    if (this.collecting || this.writing || this.waiting.length === 0) {
      return;
    }
    this.collecting = true;
    this.clock.after(COLLECT_MS, () => {
      this.collecting = false;
      this.writeNext();
    });
  }

  private writeNext(): void {
    if (this.writing) {
      return;
    }
    if (this.waiting.length === 0) {
      this.flushed?.();
      return;
    }
    const bytes = Buffer.from(this.waiting.join(''));
    this.waiting = [];
    this.writing = true;
    this.continue(bytes);
  }

  private continue(bytes: Buffer): void {
    this.writeBytes(bytes, (error, written) => {
      if (error === null && written < bytes.length) {
        this.continue(bytes.subarray(written));
        return;
      }
      // Nobody reads the descriptor any more; the lines are lost, and counted as one.
      this.droppedLines += error === null ? 0 : 1;
      this.writing = false;
      this.waitingBytes = this.waiting.reduce((sum, line) => sum + line.length, 0);
      if (this.flushed === undefined) {
        this.collect();
      } else {
        this.writeNext();
      }
    });
  }
}
