import fc from 'fast-check';
import { applyEdits, diffLines, formatDifference } from 'lentillb/rules/lineEdits.js';
import { describe, expect, it } from 'vitest';

const lines = fc.array(fc.constantFrom('a', 'b', 'c', ''), { maxLength: 12 });

describe('line edits', () => {
  it('should turn the old lines into the new lines', () => {
    fc.assert(
      fc.property(lines, lines, (before, after) => {
        const edits = diffLines(before, after);
        expect(applyEdits(before, edits, (text) => text).unwrap()).toEqual(after);
      }),
      { seed: 7, numRuns: 1_000 },
    );
  });

  it('should return no edits for equal lines', () => {
    expect(diffLines(['a', 'b'], ['a', 'b'])).toEqual([]);
  });

  it.each([
    [[{ line: 4, remove: 1, insert: [] }], 'past the end'],
    [[{ line: 2, remove: 3, insert: [] }], 'longer than the file'],
    [
      [
        { line: 2, remove: 1, insert: [] },
        { line: 1, remove: 1, insert: [] },
      ],
      'out of order',
    ],
  ])('should refuse edits that do not fit: %j (%s)', (edits) => {
    expect(applyEdits(['a', 'b', 'c'], edits, (text) => text).isErr()).toBe(true);
  });

  it('should format removed and added lines', () => {
    expect(formatDifference(['a', 'b'], ['a', 'c', 'd'])).toEqual(['- b', '+ c', '+ d']);
  });
});
