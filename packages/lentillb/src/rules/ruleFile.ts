/** Parses whole rule files: each line, then the consistency between lines. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Fault } from './fault.js';
import { checkConsistency } from './ruleChecks.js';
import type { Rule, RuleKind, RuleOf } from './ruleForms.js';
import { formatRule, parseRuleLine } from './ruleLine.js';

/** The maximum number of lines in one file. */
export const MAX_LINES = 20_000;
/** The maximum size of one file encoded as UTF-8. */
export const MAX_FILE_BYTES = 2 * 1024 * 1024;

/** A rule with its line number in the file. */
export type LocatedRule<Kind extends RuleKind = RuleKind> = Kind extends RuleKind
  ? RuleOf<Kind> & {
      /** The line number, counted from 1. */
      readonly line: number;
    }
  : never;

/** A valid rule file. */
export interface RuleFile {
  /** The whole text as the operator wrote it. */
  readonly text: string;
  readonly rules: readonly LocatedRule[];
  readonly parsedLines: ParsedLines;
}

/**
 * @param text - the text of a file
 * @returns its lines; an empty text has none, and a line break at the end does not start another line
 */
export function splitLines(text: string): readonly string[] {
  if (text === '') {
    return [];
  }
  const lines = text.split('\n');
  if (lines.at(-1) === '') {
    lines.pop();
  }
  return lines;
}

/**
 * @param lines - the lines of a file
 * @returns the text of the file, with a line break at the end of every line
 */
export function joinLines(lines: readonly string[]): string {
  return lines.map((line) => `${line}\n`).join('');
}

/**
 * @param rules - rules of a file
 * @param kind - the kind of rule to select
 * @returns the rules of that kind, in file order
 */
export function rulesOfKind<Kind extends RuleKind>(
  rules: readonly LocatedRule[],
  kind: Kind,
): readonly LocatedRule<Kind>[] {
  return rules.filter((rule) => rule.kind === kind) as unknown as readonly LocatedRule<Kind>[];
}

function checkSize(text: string, lines: readonly string[]): readonly Fault[] {
  const bytes = Buffer.byteLength(text);
  const faults: Fault[] = [];
  if (bytes > MAX_FILE_BYTES) {
    const message = `file has ${bytes} bytes; shorten it to ${MAX_FILE_BYTES}`;
    faults.push({ line: 1, column: 1, message });
  }
  if (lines.length > MAX_LINES) {
    const message = `file has ${lines.length} lines; shorten it to ${MAX_LINES}`;
    faults.push({ line: MAX_LINES + 1, column: 1, message });
  }
  return faults;
}

/**
 * The rules of parsed lines by the text of the line, so that the next version need not parse them
 * again: most lines of a version are the same in the one before it. A line without a rule maps to
 * undefined.
 */
export type ParsedLines = ReadonlyMap<string, Rule | undefined>;

const NO_PARSED_LINES: ParsedLines = new Map();

function parseLine(text: string, previouslyParsed: ParsedLines): ReturnType<typeof parseRuleLine> {
  return previouslyParsed.has(text) ? Ok(previouslyParsed.get(text)) : parseRuleLine(text);
}

/**
 * Parses a rule file. One fault anywhere rejects the whole file.
 *
 * @param text - the whole text
 * @param previouslyParsed - the lines that were parsed with an earlier version
 * @returns the file, or all of its faults in file order
 */
export function parseRuleFile(
  text: string,
  previouslyParsed: ParsedLines = NO_PARSED_LINES,
): Result<RuleFile, readonly Fault[]> {
  const lines = splitLines(text);
  const sizeFaults = checkSize(text, lines);
  if (sizeFaults.length > 0) {
    return Err(sizeFaults);
  }
  const faults: Fault[] = [];
  const rules: LocatedRule[] = [];
  const parsedLines = new Map<string, Rule | undefined>();
  lines.forEach((lineText, index) => {
    const line = index + 1;
    const parsed = parseLine(lineText, previouslyParsed);
    if (parsed.isErr()) {
      faults.push(...parsed.error.map((fault) => ({ line, ...fault })));
      return;
    }
    parsedLines.set(lineText, parsed.value);
    if (parsed.value !== undefined) {
      rules.push({ ...parsed.value, line });
    }
  });
  faults.push(...checkConsistency(rules));
  faults.sort((left, right) => left.line - right.line || left.column - right.column);
  return faults.length > 0 ? Err(faults) : Ok({ text, rules, parsedLines });
}

/**
 * @param rules - rules in file order
 * @returns the text of a file with only these rules, each in its canonical form
 */
export function formatRules(rules: readonly Rule[]): string {
  return joinLines(rules.map(formatRule));
}
