/** Merges the log lines of several nodes. */
import type { LogLine } from './logLine.js';

/**
 * Merges lines by time. Only the first remaining line of each file is a candidate, so the order
 * within a file is kept even if the clock of its host was set back.
 *
 * @param files - the lines of each file, in the order of the file
 * @returns all lines in one sequence
 */
export function mergeLogs(files: readonly (readonly LogLine[])[]): readonly LogLine[] {
  const merged: LogLine[] = [];
  let remaining = files.filter((lines) => lines.length > 0).map((lines) => [...lines]);
  while (remaining.length > 0) {
    const earliest = remaining.reduce((first, other) =>
      Date.parse(other[0]?.time ?? '') < Date.parse(first[0]?.time ?? '') ? other : first,
    );
    merged.push(...earliest.splice(0, 1));
    remaining = remaining.filter((lines) => lines.length > 0);
  }
  return merged;
}
