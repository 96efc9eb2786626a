/** Differences between two rule files, line by line. */
import { diffArrays } from 'diff';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

/** One replaced run of lines. */
export interface LineEdit {
  /** The first line replaced in the old file, from 1; one past the end appends. */
  readonly line: number;
  /** How many old lines are removed. */
  readonly remove: number;
  /** The lines put in their place. */
  readonly insert: readonly string[];
}

/**
 * @param before - the old lines
 * @param after - the new lines
 * @returns the edits that lead from one to the other, in file order
 */
export function editsBetween(
  before: readonly string[],
  after: readonly string[],
): readonly LineEdit[] {
  const edits: LineEdit[] = [];
  let line = 1;
  let open: { line: number; remove: number; insert: string[] } | undefined;
  diffArrays([...before], [...after]).forEach((run) => {
    if (!run.added && !run.removed) {
      line += run.value.length;
      open = undefined;
      return;
    }
    if (open === undefined) {
      open = { line, remove: 0, insert: [] };
      edits.push(open);
    }
    if (run.removed) {
      open.remove += run.value.length;
      line += run.value.length;
    } else {
      open.insert.push(...run.value);
    }
  });
  return edits;
}

/**
 * Applies edits to a list; items that are inserted are made by the caller.
 *
 * @param before - the old items, one a line
 * @param edits - edits in file order that do not overlap
 * @param create - makes an item from an inserted line
 * @returns the new items, or why the edits do not fit the old ones
 */
export function applyEdits<Item>(
  before: readonly Item[],
  edits: readonly LineEdit[],
  create: (text: string) => Item,
): Result<readonly Item[], string> {
  const after: Item[] = [];
  let consumed = 0;
  for (const edit of edits) {
    const start = edit.line - 1;
    if (start < consumed || start + edit.remove > before.length) {
      return Err(`edit at line ${edit.line} does not fit a file of ${before.length} lines`);
    }
    for (let index = consumed; index < start; index += 1) {
      after.push(before[index] as Item);
    }
    edit.insert.forEach((text) => after.push(create(text)));
    consumed = start + edit.remove;
  }
  for (let index = consumed; index < before.length; index += 1) {
    after.push(before[index] as Item);
  }
  return Ok(after);
}

/**
 * @param before - the old lines
 * @param after - the new lines
 * @returns the difference as operators read it, one removed or added line a line
 */
export function printDifference(
  before: readonly string[],
  after: readonly string[],
): readonly string[] {
  return editsBetween(before, after).flatMap((edit) => [
    ...before.slice(edit.line - 1, edit.line - 1 + edit.remove).map((text) => `- ${text}`),
    ...edit.insert.map((text) => `+ ${text}`),
  ]);
}
