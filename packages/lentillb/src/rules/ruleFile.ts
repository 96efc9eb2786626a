/** Reads whole rule files: every line, and what the lines must be to each other. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Fault } from './fault.js';
import { checkReferences } from './ruleChecks.js';
import type { Rule, RuleKind, RuleOf } from './ruleForms.js';
import { parseRuleLine, printRule } from './ruleLine.js';

/** The most lines accepted in one file. */
export const MAX_LINES = 20_000;
/** The largest file accepted, in bytes of UTF-8. */
export const MAX_FILE_BYTES = 2 * 1024 * 1024;

/** A rule with its place in the file. */
export type PlacedRule<Kind extends RuleKind = RuleKind> = Kind extends RuleKind
  ? RuleOf<Kind> & {
      /** The line, from 1. */
      readonly line: number;
    }
  : never;

/** A valid rule file. */
export interface RuleFile {
  /** The whole text, as the operator wrote it. */
  readonly text: string;
  readonly rules: readonly PlacedRule[];
  readonly parsedLines: ParsedLines;
}

/**
 * @param text - the text of a file
 * @returns its lines; an empty text has none, and a final line break starts no line
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
 * @returns the file's text, every line ended by a line break
 */
export function joinLines(lines: readonly string[]): string {
  return lines.map((line) => `${line}\n`).join('');
}

/**
 * @param rules - rules of a file
 * @param kind - the kind of rule wanted
 * @returns the rules of that kind, in file order
 */
export function rulesOf<Kind extends RuleKind>(
  rules: readonly PlacedRule[],
  kind: Kind,
): readonly PlacedRule<Kind>[] {
  return rules.filter((rule) => rule.kind === kind) as unknown as readonly PlacedRule<Kind>[];
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

/** Rule lines read before, by their text; most lines of a version were in the one before it. */
export type ParsedLines = ReadonlyMap<string, Rule | undefined>;

const NOTHING_PARSED: ParsedLines = new Map();

function parseLine(text: string, known: ParsedLines): ReturnType<typeof parseRuleLine> {
  return known.has(text) ? Ok(known.get(text)) : parseRuleLine(text);
}

/**
 * Reads a rule file. A file with any fault is refused whole.
 *
 * @param text - the whole text
 * @param known - lines read before
 * @returns the file, or all its faults in file order
 */
export function parseRuleFile(
  text: string,
  known: ParsedLines = NOTHING_PARSED,
): Result<RuleFile, readonly Fault[]> {
  const lines = splitLines(text);
  const sizeFaults = checkSize(text, lines);
  if (sizeFaults.length > 0) {
    return Err(sizeFaults);
  }
  const faults: Fault[] = [];
  const rules: PlacedRule[] = [];
  const parsedLines = new Map<string, Rule | undefined>();
  lines.forEach((lineText, index) => {
    const line = index + 1;
    const parsed = parseLine(lineText, known);
    if (parsed.isErr()) {
      faults.push(...parsed.error.map((fault) => ({ line, ...fault })));
      return;
    }
    parsedLines.set(lineText, parsed.value);
    if (parsed.value !== undefined) {
      rules.push({ ...parsed.value, line });
    }
  });
  faults.push(...checkReferences(rules));
  faults.sort((left, right) => left.line - right.line || left.column - right.column);
  return faults.length > 0 ? Err(faults) : Ok({ text, rules, parsedLines });
}

/**
 * @param rules - rules in file order
 * @returns the text of a file with just these rules, each in its one spelling
 */
export function printRules(rules: readonly Rule[]): string {
  return joinLines(rules.map(printRule));
}
