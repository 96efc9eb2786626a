/** Reads and prints single rule lines. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { FormPart, Rule, RuleComment, RuleKind } from './ruleForms.js';
import { ruleForms } from './ruleForms.js';

/** The longest line accepted, in characters. */
export const MAX_LINE_LENGTH = 500;

/** A fault within one line. */
export interface LineFault {
  /** The column, from 1. */
  readonly column: number;
  readonly message: string;
}

interface Token {
  readonly text: string;
  readonly column: number;
}

const COMMENT_MARK = '#';

const forms: readonly (readonly [RuleKind, readonly FormPart[]])[] = Object.entries(
  ruleForms,
) as unknown as readonly (readonly [RuleKind, readonly FormPart[]])[];

function tokenize(text: string): readonly Token[] {
  return [...text.matchAll(/\S+/g)].map((match) => ({ text: match[0], column: match.index + 1 }));
}

function parseComment(line: string, markIndex: number): Result<RuleComment, LineFault> {
  const [, requester, reason] =
    /^\s*([^:]*?)\s*:\s*(.*?)\s*$/.exec(line.slice(markIndex + 1)) ?? [];
  if (!requester || !reason) {
    const message = 'comment names no requester and reason; write "# WHO: WHY"';
    return Err({ column: markIndex + 1, message });
  }
  return Ok({ requester, reason });
}

function parsePart(part: FormPart, token: Token): Result<unknown, LineFault> {
  if (typeof part !== 'string') {
    return part.codec.parse(token.text).mapErr((message) => ({ column: token.column, message }));
  }
  if (part !== token.text) {
    const message = `unknown word "${token.text}"; write "${part}" here`;
    return Err({ column: token.column, message });
  }
  return Ok(part);
}

function describePart(part: FormPart): string {
  return typeof part === 'string' ? `"${part}"` : part.codec.label;
}

function parseForm(
  parts: readonly FormPart[],
  tokens: readonly Token[],
  endColumn: number,
): Result<Record<string, unknown>, LineFault> {
  const fields: Record<string, unknown> = {};
  for (const [index, part] of parts.entries()) {
    const token = tokens[index];
    if (token === undefined) {
      return Err({ column: endColumn, message: `rule ends early; add ${describePart(part)}` });
    }
    const parsed = parsePart(part, token);
    if (parsed.isErr()) {
      return parsed;
    }
    if (typeof part !== 'string') {
      fields[part.name] = parsed.value;
    }
  }
  const extra = tokens[parts.length];
  if (extra !== undefined) {
    const message = `unexpected word "${extra.text}" after the rule; remove it`;
    return Err({ column: extra.column, message });
  }
  return Ok(fields);
}

function unknownHead(head: Token): LineFault {
  const words = [...new Set(forms.map(([, parts]) => String(parts[0])))];
  const message = `unknown word "${head.text}"; start the rule with ${words.join(', ')}`;
  return { column: head.column, message };
}

function parseTokens(
  tokens: readonly Token[],
  endColumn: number,
): Result<Record<string, unknown>, LineFault> {
  const [head] = tokens;
  const candidates = forms.filter(([, parts]) => parts[0] === head?.text);
  let furthest: LineFault | undefined;
  for (const [kind, parts] of candidates) {
    const parsed = parseForm(parts, tokens, endColumn);
    if (parsed.isOk()) {
      return Ok({ kind, ...parsed.value });
    }
    if (furthest === undefined || parsed.error.column > furthest.column) {
      furthest = parsed.error;
    }
  }
  return Err(furthest ?? unknownHead(head ?? { text: '', column: 1 }));
}

/**
 * Reads one line of a rule file.
 *
 * @param line - the line without its line break
 * @returns the rule, undefined for a line without one, or every fault of the line
 */
export function parseRuleLine(line: string): Result<Rule | undefined, readonly LineFault[]> {
  if (line.length > MAX_LINE_LENGTH) {
    const message = `line is ${line.length} characters long; shorten it to ${MAX_LINE_LENGTH}`;
    return Err([{ column: MAX_LINE_LENGTH + 1, message }]);
  }
  const markIndex = line.indexOf(COMMENT_MARK);
  const code = markIndex < 0 ? line : line.slice(0, markIndex);
  const tokens = tokenize(code);
  if (tokens.length === 0) {
    return Ok(undefined);
  }
  const endColumn = code.trimEnd().length + 1;
  const fields = parseTokens(tokens, endColumn);
  const comment =
    markIndex < 0
      ? Err({ column: endColumn, message: 'rule has no comment; end it with "# WHO: WHY"' })
      : parseComment(line, markIndex);
  if (fields.isOk() && comment.isOk()) {
    return Ok({ ...fields.value, comment: comment.value } as Rule);
  }
  return Err([fields, comment].filter((part) => part.isErr()).map((part) => part.error));
}

/**
 * @param rule - a rule
 * @returns the rule's one spelling, its comment included
 */
export function printRule(rule: Rule): string {
  const values: Readonly<Record<string, unknown>> = { ...rule };
  const parts: readonly FormPart[] = ruleForms[rule.kind];
  const words = parts.map((part) =>
    typeof part === 'string' ? part : part.codec.print(values[part.name]),
  );
  return `${words.join(' ')} # ${rule.comment.requester}: ${rule.comment.reason}`;
}
