import fc from 'fast-check';
import type { FormPart, Rule } from 'lentillb/rules/ruleForms.js';
import { ruleForms } from 'lentillb/rules/ruleForms.js';
import { formatRule, parseRuleLine } from 'lentillb/rules/ruleLine.js';
import { describe, expect, it } from 'vitest';

const name = fc.stringMatching(/^[a-z][a-z0-9-]{0,10}$/);
const words = fc.stringMatching(/^[a-zA-Z][a-zA-Z ()]{0,20}[a-z]$/);

/** Generates the values of a field by the label of its codec. */
const arbitraries: Readonly<Record<string, fc.Arbitrary<unknown>>> = {
  NAME: name,
  HEADER: name,
  VALUE: fc.stringMatching(/^[\w.:-]{1,10}$/),
  PATH: fc
    .tuple(fc.array(fc.oneof(name, fc.constant('*')), { maxLength: 4 }), fc.boolean())
    .map(([segments, rest]) => `/${[...segments, ...(rest ? ['**'] : [])].join('/')}`),
  N: fc.integer({ min: 1, max: 10 }),
  'PORT|any': fc.oneof(fc.integer({ min: 1, max: 65_535 }), fc.constant('any')),
  DURATION: fc.oneof(
    fc.integer({ min: 0, max: 9_999 }),
    fc.integer({ min: 1, max: 60 }).map((minutes) => minutes * 60_000),
  ),
  PERCENT: fc.integer({ min: 0, max: 100 }),
};

function arbitraryOf(parts: readonly FormPart[]): fc.Arbitrary<Record<string, unknown>> {
  const fields = parts.flatMap((part) => (typeof part === 'string' ? [] : [part]));
  return fc.record(
    Object.fromEntries(
      fields.map(({ name: field, codec }) => [
        field,
        arbitraries[codec.label] ?? fc.constantFrom(...codec.label.split('|')),
      ]),
    ),
  );
}

const anyRule: fc.Arbitrary<Rule> = fc
  .constantFrom(...Object.keys(ruleForms))
  .chain((kind) =>
    fc
      .tuple(arbitraryOf(ruleForms[kind as keyof typeof ruleForms]), words, words)
      .map(([fields, requester, reason]) => ({ kind, ...fields, comment: { requester, reason } })),
  ) as fc.Arbitrary<Rule>;

describe('rule line', () => {
  it('should parse every formatted rule to the same rule', () => {
    fc.assert(
      fc.property(anyRule, (rule) => {
        expect(parseRuleLine(formatRule(rule)).unwrap()).toEqual(rule);
      }),
      { seed: 3, numRuns: 500 },
    );
  });

  it('should only report faults with a column inside the line', () => {
    fc.assert(
      fc.property(fc.string({ maxLength: 80 }), (line) => {
        const parsed = parseRuleLine(line);
        const columns = parsed.isErr() ? parsed.error.map(({ column }) => column) : [];
        expect(columns.every((column) => column >= 1 && column <= line.length + 1)).toBe(true);
      }),
      { seed: 4, numRuns: 500 },
    );
  });

  it.each([
    ['service a port any', 19, 'rule ends early; add "slots"'],
    ['rout GET / to a', 1, 'unknown word "rout"; start the rule with service, route'],
    [
      'route GET / at a within 2s once priority low # A: b',
      13,
      'unknown word "at"; write "to" here',
    ],
    ['route FETCH / to a within 2s once priority low # A: b', 7, 'unknown word "FETCH"'],
    ['route GET letters to a within 2s once priority low # A: b', 11, 'is no PATH'],
    ['route GET /**/x to a within 2s once priority low # A: b', 11, '"**" only as the last one'],
    ['route GET / to a within 2000ms once priority low # A: b', 25, 'write "2000ms" as "2s"'],
    ['route GET / to a within 2h once priority low # A: b', 25, 'is no DURATION'],
    ['route GET / to a within 2s once priority low extra # A: b', 46, 'unexpected word "extra"'],
    ['retry a attempts 0 budget 10% # A: b', 18, 'write a whole number from 1 to 10'],
    ['retry a attempts 02 budget 10% # A: b', 18, 'write a whole number from 1 to 10'],
    ['retry a attempts 2 budget 110% # A: b', 27, 'write 0% to 100%'],
    ['retry a attempts 2 budget 10%', 30, 'rule has no comment; end it with "# WHO: WHY"'],
    ['retry a attempts 2 budget 10% # because', 31, 'names no requester and reason'],
    ['retry a attempts 2 budget 10% # : because', 31, 'names no requester and reason'],
    ['limit shop a rate 1 concurrency 1 queue 0 # A: b', 7, 'unknown word "shop"'],
    [`# ${'x'.repeat(500)}`, 501, 'shorten it to 500'],
  ])('should reject %j at column %i', (line, column, message) => {
    const faults = parseRuleLine(line).unwrapErr();
    expect(faults.some((fault) => fault.column === column)).toBe(true);
    expect(faults.map((fault) => fault.message).join('\n')).toContain(message);
  });

  it('should return no rule for blank lines and comments', () => {
    expect(['', '   ', '# a note'].map((line) => parseRuleLine(line).unwrap())).toEqual([
      undefined,
      undefined,
      undefined,
    ]);
  });
});
