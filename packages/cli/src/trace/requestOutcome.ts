/** Says in a sentence what became of a request. */
import type { LogLine } from './logLine.js';

type Sentence = (line: LogLine) => string;

function took({ elapsedMs }: LogLine): string {
  return `after ${String(elapsedMs)} ms`;
}

function compareWithTarget({ late, targetMs }: LogLine): string {
  return late === true
    ? `late: the target latency is ${String(targetMs)} ms`
    : 'within its target latency';
}

/** What each last line of an entry means for the caller. */
const sentences: Readonly<Record<string, Sentence>> = {
  'request-answered': (line) =>
    `answered with ${String(line.status)} ${took(line)}, ${compareWithTarget(line)}`,
  'request-refused': (line) =>
    `refused ${took(line)}, it did not run: ${String(line.cause)}; ` +
    `the caller was asked to return in ${String(line.retryAfterMs)} ms`,
  'request-failed': (line) =>
    line.cause === 'no-route'
      ? 'refused: no route leads where it was addressed'
      : `failed with ${String(line.status)} ${took(line)}, it may have run: ${String(line.cause)}`,
};

/**
 * @param lines - the lines about one request, in order
 * @returns what its caller was told, once for each time the caller sent it
 */
export function describeOutcomes(lines: readonly LogLine[]): readonly string[] {
  return lines.flatMap((line) => {
    const sentence = sentences[line.event];
    return sentence === undefined ? [] : [`${line.host}: ${sentence(line)}`];
  });
}
