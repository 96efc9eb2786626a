/** Writes log lines where the logger does not exist yet, may write too late, or can no longer write. */
import { hostname } from 'node:os';
import type { Clock } from '../kernel/clock.js';
import { Deadline } from '../kernel/deadline.js';
import { Descriptor, writeAtOnce, writeNow } from './descriptorOutput.js';

/** The level of a line, with the numbers of the logger. */
export const LineLevel = { Warning: 40, Error: 50, Fatal: 60 } as const;
export type LineLevel = (typeof LineLevel)[keyof typeof LineLevel];

/** The fields of a line; those without a value are left out. */
export type LineFields = Readonly<Record<string, string | number | undefined>>;

/** The version of the line format. */
const FORMAT_VERSION = 0;
/** The maximum time that the last line waits for a stalled reader, in milliseconds. */
const WRITE_TIMEOUT_MS = 200;

/** Another writer of lines, which writes them later. */
export interface LineQueue {
  /** A line break if a line may be written in part. */
  readonly separator: string;
  /** The lines that are not written yet. */
  readonly waitingLines: string;
  write(line: string): void;
}

const destinations = [Descriptor.Output, Descriptor.Error] as const;

/** Writes lines in the format of the logger. */
export class DirectLog {
  private identity: LineFields = {};

  private queue: LineQueue | undefined;

  /**
   * @param clock - the clock by which lines are dated and a stalled reader is waited for
   * @param name - the name of the program
   */
  constructor(
    private readonly clock: Clock,
    private readonly name: string,
  ) {}

  /**
   * Adds fields to all further lines.
   *
   * @param identity - the host and zone, once they are known
   */
  identify(identity: LineFields): void {
    this.identity = identity;
  }

  /**
   * Shares the output with another writer.
   *
   * @param queue - the writer of all lines that can wait
   */
  shareWith(queue: LineQueue): void {
    this.queue = queue;
  }

  /**
   * Writes a line of a process that goes on, in its turn. Until the output is shared, it is written
   * at once.
   *
   * @param level - the level of the line
   * @param event - the name of the event
   * @param fields - further fields
   */
  write(level: LineLevel, event: string, fields: LineFields): void {
    if (this.queue === undefined) {
      this.writeUrgent(level, event, fields);
    } else {
      this.queue.write(`${this.format(level, event, fields)}\n`);
    }
  }

  /**
   * Writes a line of a process that may end before lines that wait are written. It precedes them, and
   * waits in its turn if neither standard output nor standard error takes it at once.
   *
   * @param level - the level of the line
   * @param event - the name of the event
   * @param fields - further fields
   */
  writeUrgent(level: LineLevel, event: string, fields: LineFields): void {
    const line = `${this.format(level, event, fields)}\n`;
    const text = `${this.queue?.separator ?? ''}${line}`;
    if (!destinations.some((descriptor) => writeAtOnce(descriptor, text))) {
      this.queue?.write(line);
    }
  }

  /**
   * Writes the last line, after those that wait, to standard output, or to standard error if that is
   * closed or stalled. It waits for a stalled reader, since the process does no other work.
   *
   * @param level - the level of the line
   * @param event - the name of the event
   * @param fields - further fields
   */
  writeLast(level: LineLevel, event: string, fields: LineFields): void {
    const { separator = '', waitingLines = '' } = this.queue ?? {};
    const text = `${separator}${waitingLines}${this.format(level, event, fields)}\n`;
    destinations.some((descriptor) =>
      writeNow(descriptor, text, Deadline.after(this.clock, WRITE_TIMEOUT_MS)),
    );
  }

  private format(level: LineLevel, event: string, fields: LineFields): string {
    return JSON.stringify({
      name: this.name,
      ...this.identity,
      hostname: hostname(),
      pid: process.pid,
      level,
      event,
      ...fields,
      msg: '',
      time: this.clock.now().toISOString(),
      v: FORMAT_VERSION,
    });
  }
}
