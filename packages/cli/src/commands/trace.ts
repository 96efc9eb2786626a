/** `lentillb trace`: what became of one request, from the logs of all nodes. */
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

/** Fields that every line has or that are printed elsewhere. */
const unprinted = new Set([
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

async function readAll(
  files: readonly string[],
  isWanted: (line: LogLine) => boolean,
): Promise<Result<LogFile[], string>> {
  return Result.all(await Promise.all(files.map((file) => readLogFile(file, isWanted))));
}

function isAround(own: readonly LogLine[], contextMs: number): (line: LogLine) => boolean {
  const times = own.map(({ time }) => Date.parse(time));
  const fromMs = Math.min(...times) - contextMs;
  const untilMs = Math.max(...times) + contextMs;
  return ({ requestId, time }) => {
    const atMs = Date.parse(time);
    return requestId === undefined && atMs >= fromMs && atMs <= untilMs;
  };
}

/** Only the request's own lines tell which others are near, so the files are read once more. */
async function readAround(
  files: readonly string[],
  id: string,
  isNear: (line: LogLine) => boolean,
): Promise<Result<readonly LogLine[], string>> {
  const read = await readAll(files, (line) => line.requestId === id || isNear(line));
  return read.map((all) => mergeLogs(all.map(({ lines }) => lines)));
}

function printLine({ event, host, time, zone, ...others }: LogLine): string {
  const fields = Object.entries(others)
    .filter(([name]) => !unprinted.has(name))
    .map(([name, value]) => `${name}=${String(value)}`);
  return [time, `${zone ?? '-'}/${host}`, event, ...fields].join('  ');
}

function noteSkipped(files: readonly LogFile[], console: Console): void {
  files
    .filter(({ skipped }) => skipped > 0)
    .forEach(({ name, skipped }) => console.note(`${name}: ${skipped} lines are no decisions`));
}

export const trace = defineCommand({
  usage: 'trace <id> <files...>',
  description: 'what became of one request, from the log files of all nodes',
  options: [
    new Option('--context <ms>', 'also what nodes learnt so long before and after').default(0),
    new Option('--json', 'print one JSON object'),
  ],
  schema: z.object({
    context: z.coerce.number({ error: 'expected milliseconds' }).min(0),
    json: z.boolean().default(false),
  }),
  examples: ['lentillb trace 8f14 logs/*.log', 'lentillb trace 8f14 --context 3000 logs/*.log'],
  run: async ([id = '', ...files], { context, json }, console) => {
    const read = await readAll(files, ({ requestId }) => requestId === id);
    if (read.isErr()) {
      console.note(read.error);
      return ExitCode.Usage;
    }
    noteSkipped(read.value, console);
    const own = mergeLogs(read.value.map(({ lines }) => lines));
    if (own.length === 0) {
      console.note(
        `no line about ${id}: it reached no node whose log was given, or went as planned`,
      );
      return ExitCode.Refused;
    }
    const lines = context > 0 ? await readAround(files, id, isAround(own, context)) : Ok(own);
    if (lines.isErr()) {
      console.note(lines.error);
      return ExitCode.Usage;
    }
    const outcomes = describeOutcomes(own);
    if (json) {
      console.print(JSON.stringify({ id, lines: lines.value, outcomes }));
    } else {
      lines.value.forEach((line) => console.print(printLine(line)));
      outcomes.forEach((outcome) => console.print(outcome));
    }
    return ExitCode.Ok;
  },
});
