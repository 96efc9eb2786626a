/** Writes log lines to a file descriptor without blocking the event loop. */
import { write } from 'node:fs';
import type { Clock } from '../kernel/clock.js';
import type { Descriptor } from './descriptorOutput.js';
import { makeNonBlocking, WOULD_BLOCK } from './descriptorOutput.js';

/** The maximum bytes buffered for a stalled reader; further lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/**
 * The time that lines are buffered, in milliseconds. Each write wakes a thread, so lines are
 * batched.
 */
const WRITE_DELAY_MS = 200;

/** Writes bytes to a descriptor; tests replace it. */
export type DescriptorWrite = (
  bytes: Buffer,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/**
 * Creates a function that writes to a file descriptor on another thread. A write to a full pipe fails,
 * because a thread that waited for the reader would keep the process from ending.
 *
 * @param descriptor - a standard descriptor
 * @returns the function
 */
export function writeToDescriptor(descriptor: Descriptor): DescriptorWrite {
  return (bytes, done) => {
    // Only the first write takes time for it, which is after the start.
    makeNonBlocking(descriptor);
    write(descriptor, bytes, 0, bytes.length, null, done);
  };
}

/** Writes lines in order and in batches. */
export class LineWriter {
  private bufferedLines: string[] = [];

  private bufferedBytes = 0;

  private isWriting = false;

  private isWriteScheduled = false;

  private onFlushed: (() => void) | undefined;

  private droppedLines = 0;

  /**
   * @param clock - the clock that schedules the writes
   * @param writeBytes - writes bytes to the destination
   */
  constructor(
    private readonly clock: Clock,
    private readonly writeBytes: DescriptorWrite,
  ) {}

  /** The number of lines dropped because the reader stalled; a failed write counts as one line. */
  get dropped(): number {
    return this.droppedLines;
  }

  /**
   * Buffers a line, or drops it if the buffer is full.
   *
   * @param line - a line with its line break
   */
  write(line: string): void {
    if (this.bufferedBytes + line.length > MAX_BUFFERED_BYTES) {
      this.droppedLines += 1;
      return;
    }
    this.bufferedLines.push(line);
    this.bufferedBytes += line.length;
    this.scheduleWrite();
  }

  /**
   * Writes all buffered lines without further delay.
   *
   * @param timeoutMs - the maximum time to wait for a stalled reader, in milliseconds
   */
  async flush(timeoutMs: number): Promise<void> {
    const written = new Promise<void>((resolve) => {
      this.onFlushed = resolve;
    });
    this.writeNext();
    await Promise.race([written, this.clock.sleep(timeoutMs)]);
  }

  /** A line break if a line may be written in part, for a line of another writer. */
  get separator(): string {
    return this.isWriting ? '\n' : '';
  }

  /** The lines that are buffered; they stay buffered. */
  get waitingLines(): string {
    return this.bufferedLines.join('');
  }

  private scheduleWrite(): void {
    if (this.isWriteScheduled || this.isWriting || this.bufferedLines.length === 0) {
      return;
    }
    this.isWriteScheduled = true;
    this.clock.after(WRITE_DELAY_MS, () => {
      this.isWriteScheduled = false;
      this.writeNext();
    });
  }

  private writeNext(): void {
    if (this.isWriting) {
      return;
    }
    if (this.bufferedLines.length === 0) {
      this.onFlushed?.();
      return;
    }
    const bytes = Buffer.from(this.bufferedLines.join(''));
    this.bufferedLines = [];
    this.isWriting = true;
    this.writeRemaining(bytes);
  }

  private writeRemaining(bytes: Buffer): void {
    this.writeBytes(bytes, (error, written) => {
      if (error === null && written < bytes.length) {
        this.writeRemaining(bytes.subarray(written));
        return;
      }
      if (error?.code === WOULD_BLOCK) {
        this.clock.after(WRITE_DELAY_MS, () => this.writeRemaining(bytes));
        return;
      }
      // A write fails when the reader is gone. The lines of the batch are lost and counted as one.
      this.droppedLines += error === null ? 0 : 1;
      this.isWriting = false;
      this.bufferedBytes = this.bufferedLines.reduce((sum, line) => sum + line.length, 0);
      if (this.onFlushed === undefined) {
        this.scheduleWrite();
      } else {
        this.writeNext();
      }
    });
  }
}
