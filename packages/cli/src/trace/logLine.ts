/** Reads the decision lines that nodes write. */
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

/** One decision of one node. */
export type LogLine = z.output<typeof lineSchema>;

/** The decisions of one file and how many of its lines are none. */
export interface LogFile {
  readonly name: string;
  readonly lines: readonly LogLine[];
  /** Lines that are no decision, such as those of other programs. */
  readonly skipped: number;
}

/**
 * @param text - one line of a log; collectors often write something before the JSON object
 * @returns the decision, or undefined where the line is none
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
    // Cut off by the end of a process: not a decision, and counted as skipped.
    return undefined;
  }
}

/**
 * Reads one file, keeping only what is wanted of it.
 *
 * @param name - the path of the file
 * @param isWanted - whether a decision is kept
 * @returns the decisions in the order of the file, or why it can't be read
 */
export async function readLogFile(
  name: string,
  isWanted: (line: LogLine) => boolean,
): Promise<Result<LogFile, string>> {
  const lines: LogLine[] = [];
  let skipped = 0;
  try {
    const input = createReadStream(name, 'utf8');
    for await (const text of createInterface({ input, crlfDelay: Infinity })) {
      const line = parseLogLine(text);
      if (line === undefined) {
        skipped += text.trim() === '' ? 0 : 1;
      } else if (isWanted(line)) {
        lines.push(line);
      }
    }
  } catch (error) {
    const { message } = error as Error;
    return Err(`can't read ${name}: ${message}; give files that nodes wrote`);
  }
  return Ok({ name, lines, skipped });
}
