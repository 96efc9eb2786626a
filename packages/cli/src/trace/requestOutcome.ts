/** Describes the outcome of a request in a sentence. */
import type { LogLine } from './logLine.js';

type DescribeOutcome = (line: LogLine) => string;

function formatElapsed({ elapsedMs }: LogLine): string {
  return `after ${String(elapsedMs)} ms`;
}

function describeLatency({ late, targetMs }: LogLine): string {
  return late === true
    ? `late: the target latency is ${String(targetMs)} ms`
    : 'within its target latency';
}

/** A description of the outcome for each event with which an entry ends a request. */
const outcomeDescriptions: Readonly<Record<string, DescribeOutcome>> = {
  'request-answered': (line) =>
    `answered with ${String(line.status)} ${formatElapsed(line)}, ${describeLatency(line)}`,
  'request-refused': (line) =>
    `refused ${formatElapsed(line)}, it did not run: ${String(line.cause)}; ` +
    `the caller was asked to return in ${String(line.retryAfterMs)} ms`,
  'request-failed': (line) =>
    line.cause === 'no-route'
      ? 'refused: no route matches the request'
      : `failed with ${String(line.status)} ${formatElapsed(line)}, it may have run: ${String(line.cause)}`,
};

/**
 * @param lines - the log lines about one request, in order
 * @returns the outcome that its caller received, once for each time that the caller sent it
 */
export function describeOutcomes(lines: readonly LogLine[]): readonly string[] {
  return lines.flatMap((line) => {
    const describe = outcomeDescriptions[line.event];
    return describe === undefined ? [] : [`${line.host}: ${describe(line)}`];
  });
}
