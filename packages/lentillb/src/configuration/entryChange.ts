/** Computes, merges and applies the differences between two lists of named entries. */

/** An entry of a configuration that its name identifies. */
interface NamedEntry {
  readonly name: string;
}

/** The difference between a list of entries and a later one. */
export interface EntryChange<Entry extends NamedEntry> {
  /** The entries that are new or changed. */
  readonly changed: readonly Entry[];
  /** The names of the removed entries. */
  readonly removed: readonly string[];
}

/**
 * Computes the difference between two lists.
 *
 * @param base - the entries of the base version
 * @param next - the entries of a later version
 * @param isSame - compares two entries of the same name
 * @returns the change from `base` to `next`
 */
export function diffEntries<Entry extends NamedEntry>(
  base: readonly Entry[],
  next: readonly Entry[],
  isSame: (left: Entry, right: Entry) => boolean,
): EntryChange<Entry> {
  const baseEntries = new Map(base.map((entry) => [entry.name, entry]));
  const changed = next.filter((entry) => {
    const baseEntry = baseEntries.get(entry.name);
    baseEntries.delete(entry.name);
    return baseEntry === undefined || !isSame(baseEntry, entry);
  });
  return { changed, removed: [...baseEntries.keys()] };
}

/**
 * Merges two consecutive changes.
 *
 * @param first - a change
 * @param second - a change based on the list that the first leads to
 * @returns a change with the effect of both
 */
export function mergeEntryChanges<Entry extends NamedEntry>(
  first: EntryChange<Entry>,
  second: EntryChange<Entry>,
): EntryChange<Entry> {
  const removedBySecond = new Set(second.removed);
  const setBySecond = new Set(second.changed.map(({ name }) => name));
  return {
    changed: [
      ...first.changed.filter(({ name }) => !removedBySecond.has(name) && !setBySecond.has(name)),
      ...second.changed,
    ],
    removed: [...first.removed.filter((name) => !setBySecond.has(name)), ...second.removed],
  };
}

/**
 * Applies a change.
 *
 * @param base - the entries of the base version
 * @param change - the change
 * @returns the entries of the later version
 */
export function applyEntryChange<Entry extends NamedEntry>(
  base: readonly Entry[],
  { changed, removed }: EntryChange<Entry>,
): readonly Entry[] {
  const byName = new Map(base.map((entry) => [entry.name, entry]));
  removed.forEach((name) => byName.delete(name));
  changed.forEach((entry) => byName.set(entry.name, entry));
  return [...byName.values()];
}
