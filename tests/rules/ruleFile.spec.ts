import { readdirSync, readFileSync } from 'node:fs';
import { parseRuleFile, formatFault } from 'lentillb';
import { formatRules, MAX_FILE_BYTES, MAX_LINES } from 'lentillb/rules/ruleFile.js';
import { describe, expect, it } from 'vitest';

const BAD_EXAMPLES_DIRECTORY = 'examples/bad';

/** Lists the faults that each bad example must be rejected with. */
const expectedFaults: Readonly<Record<string, readonly string[]>> = {
  'conflicting-split.rules': [
    '4:1: split to "next", which is split itself; name the final service',
    '5:1: split of "browse" adds up to 110%; keep it within 100%',
    '6:1: split to "browse", which is split itself; name the final service',
  ],
  'duplicate.rules': ['2:1: "service holds" stands on line 1 already; keep one of the two'],
  'no-comment.rules': ['1:67: rule has no comment; end it with "# WHO: WHY"'],
  'shadowed-route.rules': [
    '3:1: route is never reached, line 2 takes all its calls; move it above that line',
  ],
  'unknown-limit.rules': [
    '2:1: limit of unknown route "GET /holds/*"; add that route',
    '3:1: limit of unknown group "planners"; add that group',
  ],
  'unknown-service.rules': [
    '2:1: route to unknown service "bokings"; declared services: holds',
    '3:1: retry of unknown service "bokings"; declared services: holds',
  ],
  'unknown-word.rules': ['2:27: unknown word "inside"; write "within" here'],
};

function faultsOf(text: string): readonly string[] {
  const parsed = parseRuleFile(text);
  return parsed.isErr() ? parsed.error.map((fault) => formatFault('', fault).slice(1)) : [];
}

describe('rule file', () => {
  it.each(['muscat', 'riga'])('should accept the rules of %s', (name) => {
    expect(faultsOf(readFileSync(`examples/${name}.rules`, 'utf8'))).toEqual([]);
  });

  it('should list the expected faults of every bad example', () => {
    expect(readdirSync(BAD_EXAMPLES_DIRECTORY).sort()).toEqual(Object.keys(expectedFaults));
  });

  it.each(Object.entries(expectedFaults))('should reject %s with every fault', (name, faults) => {
    expect(faultsOf(readFileSync(`${BAD_EXAMPLES_DIRECTORY}/${name}`, 'utf8'))).toEqual(faults);
  });

  it.each(['muscat', 'riga'])(
    'should parse the formatted rules of %s to the same rules',
    (name) => {
      const { rules } = parseRuleFile(readFileSync(`examples/${name}.rules`, 'utf8')).unwrap();
      const printed = parseRuleFile(formatRules(rules)).unwrap();
      const withoutLines = (list: readonly object[]): readonly object[] =>
        list.map((rule) => ({ ...rule, line: 0 }));
      expect(withoutLines(printed.rules)).toEqual(withoutLines(rules));
    },
  );

  it.each([
    ['too many lines', '\n'.repeat(MAX_LINES + 1), `shorten it to ${MAX_LINES}`],
    ['too many bytes', `# ${'é'.repeat(MAX_FILE_BYTES / 2)}`, `shorten it to ${MAX_FILE_BYTES}`],
  ])('should reject a file with %s', (_, text, message) => {
    expect(faultsOf(text).join('\n')).toContain(message);
  });
});
