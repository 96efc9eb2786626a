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

/** Describes a request without a route, and what the node knew of versions newer than its own. */
function describeMissingRoute(line: LogLine): string {
  const { configurationVersion, heardFrom, heardMs, inForceMs, newerVersion } = line;
  const known =
    newerVersion === undefined
      ? 'no newer version was known'
      : `version ${String(newerVersion)} was known from ${String(heardFrom)} for ${String(heardMs)} ms`;
  return configurationVersion === undefined
    ? 'refused: no route matches the request'
    : `refused: no route of version ${String(configurationVersion)} matches the request; ` +
        `it was in force for ${String(inForceMs)} ms, ${known}`;
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
      ? describeMissingRoute(line)
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
