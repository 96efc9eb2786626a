/** Writes log lines synchronously, where the logger does not exist yet or can no longer write. */
import { hostname } from 'node:os';
import type { Clock } from '../kernel/clock.js';
import { Deadline } from '../kernel/deadline.js';
import { Descriptor, writeNow } from './descriptorOutput.js';

/** The level of a line, with the numbers of the logger. */
export const LineLevel = { Warning: 40, Error: 50, Fatal: 60 } as const;
export type LineLevel = (typeof LineLevel)[keyof typeof LineLevel];

/** The fields of a line; those without a value are left out. */
export type LineFields = Readonly<Record<string, string | number | undefined>>;

/** The version of the line format. */
const FORMAT_VERSION = 0;
/** The maximum time that a line waits for a stalled reader, in milliseconds. */
const WRITE_TIMEOUT_MS = 200;

const destinations = [Descriptor.Output, Descriptor.Error] as const;

/** Writes lines in the format of the logger. */
export class DirectLog {
  private identity: LineFields = {};

  private takeEarlierLines: (() => string) | undefined;

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
   * Keeps the order of lines that another writer holds back.
   *
   * @param takeLines - returns the lines that precede the next one
   */
  precedeBy(takeLines: () => string): void {
    this.takeEarlierLines = takeLines;
  }

  /**
   * Writes a line to standard output, or to standard error if that is closed or stalled.
   *
   * @param level - the level of the line
   * @param event - the name of the event
   * @param fields - further fields
   */
  write(level: LineLevel, event: string, fields: LineFields): void {
    const line = this.format(level, event, fields);
    const earlierLines = this.takeEarlierLines?.() ?? '';
    destinations.some((descriptor) =>
      writeNow(
        descriptor,
        `${earlierLines}${line}\n`,
        Deadline.after(this.clock, WRITE_TIMEOUT_MS),
      ),
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
