/** Reads the entries of the decision logs that nodes write. */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { z } from 'zod';

const lineSchema = z.looseObject({
  time: z.iso.datetime(),
  event: z.string(),
  host: z.string(),
  zone: z.string().optional(),
  requestId: z.string().optional(),
});

/** An entry of the decision log of a node. */
export type LogLine = z.output<typeof lineSchema>;

/** The decision log entries of one file. */
export interface LogFile {
  readonly name: string;
  readonly lines: readonly LogLine[];
  /** The number of lines that are not entries, such as those of other programs. */
  readonly skipped: number;
}

/**
 * Parses a line. Anything before the JSON object is ignored, because log collectors add a prefix.
 *
 * @param text - a line of a log
 * @returns the entry, or undefined if the line is not one
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) {
    return undefined;
  }
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    // A line is incomplete if its process ended while writing it; it is counted as skipped.
    return undefined;
  }
}

/**
 * Reads one file and keeps the entries that pass a filter.
 *
 * @param name - the path of the file
 * @param filter - returns whether an entry is kept
 * @returns the entries in the order of the file, or an error if the file cannot be read
 */
export async function readLogFile(
  name: string,
  filter: (line: LogLine) => boolean,
): Promise<Result<LogFile, string>> {
  const lines: LogLine[] = [];
  let skipped = 0;
  try {
    const input = createReadStream(name, 'utf8');
    for await (const text of createInterface({ input, crlfDelay: Infinity })) {
      const line = parseLogLine(text);
      if (line === undefined) {
        skipped += text.trim() === '' ? 0 : 1;
      } else if (filter(line)) {
        lines.push(line);
      }
    }
  } catch (error) {
    const { message } = error as Error;
    return Err(`cannot read ${name}: ${message}; give log files of nodes`);
  }
  return Ok({ name, lines, skipped });
}
