import fc from 'fast-check';
import { PathTree } from 'lentillb/rules/pathTree.js';
import { describe, expect, it } from 'vitest';

const segment = fc.constantFrom('a', 'b', '*');
const pattern = fc
  .tuple(fc.array(segment, { maxLength: 3 }), fc.boolean())
  .map(([segments, rest]) => `/${[...segments, ...(rest ? ['**'] : [])].join('/')}`);
const path = fc
  .array(fc.constantFrom('a', 'b', 'c'), { maxLength: 4 })
  .map((segments) => `/${segments.join('/')}`);

/** The same meaning, written as a regular expression. */
function matches(rule: string, given: string): boolean {
  const source = rule
    .replace(/\/\*\*$/, '(?:/.*)?')
    .replaceAll(/\/\*(?=\/|\(|$)/g, '/[^/]+')
    .replace(/^$/, '/');
  return new RegExp(`^${source === '/' ? '/' : source}$`).test(
    given === '/' && source.startsWith('(') ? '' : given,
  );
}

describe('path tree', () => {
  it('should match just the paths its patterns mean', () => {
    fc.assert(
      fc.property(fc.array(pattern, { maxLength: 8 }), path, (patterns, given) => {
        const tree = new PathTree<string>();
        patterns.forEach((rule) => tree.add(rule, rule));
        const expected = patterns.filter((rule) => matches(rule, given));
        expect(tree.match(given).sort()).toEqual([...expected].sort());
      }),
      { seed: 5, numRuns: 1_000 },
    );
  });

  it('should find a pattern covered only where every path it takes is taken', () => {
    fc.assert(
      fc.property(pattern, pattern, path, (earlier, later, given) => {
        const tree = new PathTree<string>();
        tree.add(earlier, earlier);
        if (tree.match(later).length > 0 && matches(later, given)) {
          expect(matches(earlier, given)).toBe(true);
        }
      }),
      { seed: 6, numRuns: 2_000 },
    );
  });
});
