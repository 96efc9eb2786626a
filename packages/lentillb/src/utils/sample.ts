/** Draws items at random. */
import type { Randomness } from '../kernel/randomness.js';

/**
 * Draws up to `count` different items.
 *
 * @param randomness - the source of the draws
 * @param items - the items to draw from
 * @param count - the maximum number of items
 * @returns the items drawn, in random order
 */
export function sample<Item>(
  randomness: Randomness,
  items: readonly Item[],
  count: number,
): readonly Item[] {
  const rest = [...items];
  return Array.from({ length: Math.min(count, rest.length) }).flatMap(() =>
    rest.splice(randomness.integer(rest.length), 1),
  );
}
