/** Computes, applies and formats line-by-line differences between two rule files. */
import { diffArrays } from 'diff';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

/** The replacement of a range of consecutive lines. */
export interface LineEdit {
  /** The first replaced line of the old file, counted from 1; one past the last appends. */
  readonly line: number;
  /** The number of old lines that are removed. */
  readonly remove: number;
  /** The lines that replace them. */
  readonly insert: readonly string[];
}

/**
 * @param before - the old lines
 * @param after - the new lines
 * @returns the edits that turn the old lines into the new ones, in file order
 */
export function diffLines(
  before: readonly string[],
  after: readonly string[],
): readonly LineEdit[] {
  const edits: LineEdit[] = [];
  let line = 1;
  let current: { line: number; remove: number; insert: string[] } | undefined;
  diffArrays([...before], [...after]).forEach((change) => {
    if (!change.added && !change.removed) {
      line += change.value.length;
      current = undefined;
      return;
    }
    if (current === undefined) {
      current = { line, remove: 0, insert: [] };
      edits.push(current);
    }
    if (change.removed) {
      current.remove += change.value.length;
      line += change.value.length;
    } else {
      current.insert.push(...change.value);
    }
  });
  return edits;
}

/**
 * Applies edits to a list that holds one item per line.
 *
 * @param before - the old items
 * @param edits - edits in file order that do not overlap
 * @param create - creates an item from an inserted line
 * @returns the new items, or an error message if the edits do not fit the old items
 */
export function applyEdits<Item>(
  before: readonly Item[],
  edits: readonly LineEdit[],
  create: (text: string) => Item,
): Result<readonly Item[], string> {
  const after: Item[] = [];
  let nextIndex = 0;
  for (const edit of edits) {
    const start = edit.line - 1;
    if (start < nextIndex || start + edit.remove > before.length) {
      return Err(`edit at line ${edit.line} does not fit a file of ${before.length} lines`);
    }
    for (let index = nextIndex; index < start; index += 1) {
      after.push(before[index] as Item);
    }
    edit.insert.forEach((text) => after.push(create(text)));
    nextIndex = start + edit.remove;
  }
  for (let index = nextIndex; index < before.length; index += 1) {
    after.push(before[index] as Item);
  }
  return Ok(after);
}

/**
 * @param before - the old lines
 * @param after - the new lines
 * @returns the difference as text, with `- ` before each removed and `+ ` before each added line
 */
export function formatDifference(
  before: readonly string[],
  after: readonly string[],
): readonly string[] {
  return diffLines(before, after).flatMap((edit) => [
    ...before.slice(edit.line - 1, edit.line - 1 + edit.remove).map((text) => `- ${text}`),
    ...edit.insert.map((text) => `+ ${text}`),
  ]);
}
