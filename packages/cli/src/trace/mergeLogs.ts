/** Puts the lines of several nodes into one order. */
import type { LogLine } from './logLine.js';

/**
 * Takes the earliest first line each time, so that the order within a file is kept even where
 * the clock of its host was set back.
 *
 * @param files - the lines of each file, in its own order
 * @returns all lines in one order
 */
export function mergeLogs(files: readonly (readonly LogLine[])[]): readonly LogLine[] {
  const merged: LogLine[] = [];
  let left = files.filter((lines) => lines.length > 0).map((lines) => [...lines]);
  while (left.length > 0) {
    const earliest = left.reduce((first, other) =>
      Date.parse(other[0]?.time ?? '') < Date.parse(first[0]?.time ?? '') ? other : first,
    );
    merged.push(...earliest.splice(0, 1));
    left = left.filter((lines) => lines.length > 0);
  }
  return merged;
}
