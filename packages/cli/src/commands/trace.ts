/** `lentillb trace`: shows the outcome of one request from the logs of all nodes. */
import { Option } from 'commander';
import { Ok, Result } from 'ts-results-es';
import { z } from 'zod';
import { defineCommand } from '../command.js';
import type { Console } from '../console.js';
import { ExitCode } from '../exitCode.js';
import type { LogFile, LogLine } from '../trace/logLine.js';
import { readLogFile } from '../trace/logLine.js';
import { mergeLogs } from '../trace/mergeLogs.js';
import { describeOutcomes } from '../trace/requestOutcome.js';

/** Fields that are the same on every line or that are printed at the start of the line. */
const omittedFields = new Set([
  'name',
  'hostname',
  'pid',
  'level',
  'v',
  'msg',
  'time',
  'event',
  'host',
  'zone',
  'requestId',
]);

async function readLogFiles(
  files: readonly string[],
  filter: (line: LogLine) => boolean,
): Promise<Result<LogFile[], string>> {
  return Result.all(await Promise.all(files.map((file) => readLogFile(file, filter))));
}

function createContextFilter(
  requestLines: readonly LogLine[],
  contextMs: number,
): (line: LogLine) => boolean {
  const times = requestLines.map(({ time }) => Date.parse(time));
  const fromMs = Math.min(...times) - contextMs;
  const untilMs = Math.max(...times) + contextMs;
  return ({ requestId, time }) => {
    const atMs = Date.parse(time);
    return requestId === undefined && atMs >= fromMs && atMs <= untilMs;
  };
}

/**
 * Reads the files a second time for the lines around those of the request: the time range is known
 * only after the first pass.
 */
async function readWithContext(
  files: readonly string[],
  id: string,
  isInContext: (line: LogLine) => boolean,
): Promise<Result<readonly LogLine[], string>> {
  const read = await readLogFiles(files, (line) => line.requestId === id || isInContext(line));
  return read.map((all) => mergeLogs(all.map(({ lines }) => lines)));
}

function formatLine({ event, host, time, zone, ...others }: LogLine): string {
  const fields = Object.entries(others)
    .filter(([name]) => !omittedFields.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return [time, `${zone ?? '-'}/${host}`, event, ...fields].join('  ');
}

function reportSkippedLines(files: readonly LogFile[], console: Console): void {
  files
    .filter(({ skipped }) => skipped > 0)
    .forEach(({ name, skipped }) =>
      console.note(`${name}: skipped ${skipped} lines that are not decision log entries`),
    );
}

export const trace = defineCommand({
  usage: 'trace <id> <files...>',
  description: 'show the outcome of one request from the log files of all nodes',
  options: [
    new Option(
      '--context <ms>',
      'also print lines about no request within this time before and after',
    ).default(0),
    new Option('--json', 'print one JSON object'),
  ],
  schema: z.object({
    context: z.coerce.number({ error: 'expected a number of milliseconds' }).min(0),
    json: z.boolean().default(false),
  }),
  examples: ['lentillb trace 8f14 logs/*.log', 'lentillb trace 8f14 --context 3000 logs/*.log'],
  run: async ([id = '', ...files], { context, json }, console) => {
    const read = await readLogFiles(files, ({ requestId }) => requestId === id);
    if (read.isErr()) {
      console.note(read.error);
      return ExitCode.Usage;
    }
    reportSkippedLines(read.value, console);
    const requestLines = mergeLogs(read.value.map(({ lines }) => lines));
    if (requestLines.length === 0) {
      console.note(
        `no line about ${id}: it reached no node whose log was given, or its success was not logged`,
      );
      return ExitCode.Refused;
    }
    const lines =
      context > 0
        ? await readWithContext(files, id, createContextFilter(requestLines, context))
        : Ok(requestLines);
    if (lines.isErr()) {
      console.note(lines.error);
      return ExitCode.Usage;
    }
    const outcomes = describeOutcomes(requestLines);
    if (json) {
      console.print(JSON.stringify({ id, lines: lines.value, outcomes }));
    } else {
      lines.value.forEach((line) => console.print(formatLine(line)));
      outcomes.forEach((outcome) => console.print(outcome));
    }
    return ExitCode.Ok;
  },
});
