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

/** Matches a path independently of the tree, by a regular expression. */
function matches(rule: string, requestPath: string): boolean {
  const source = rule
    .replace(/\/\*\*$/, '(?:/.*)?')
    .replaceAll(/\/\*(?=\/|\(|$)/g, '/[^/]+')
    .replace(/^$/, '/');
  return new RegExp(`^${source === '/' ? '/' : source}$`).test(
    requestPath === '/' && source.startsWith('(') ? '' : requestPath,
  );
}

describe('path tree', () => {
  it('should match the same paths as the equivalent regular expressions', () => {
    fc.assert(
      fc.property(fc.array(pattern, { maxLength: 8 }), path, (patterns, requestPath) => {
        const tree = new PathTree<string>();
        patterns.forEach((rule) => tree.add(rule, rule));
        const expected = patterns.filter((rule) => matches(rule, requestPath));
        expect(tree.match(requestPath).sort()).toEqual([...expected].sort());
      }),
      { seed: 5, numRuns: 1_000 },
    );
  });

  it('should report a pattern as covered only if the other pattern matches all of its paths', () => {
    fc.assert(
      fc.property(pattern, pattern, path, (earlier, later, requestPath) => {
        const tree = new PathTree<string>();
        tree.add(earlier, earlier);
        if (tree.match(later).length > 0 && matches(later, requestPath)) {
          expect(matches(earlier, requestPath)).toBe(true);
        }
      }),
      { seed: 6, numRuns: 2_000 },
    );
  });
});
