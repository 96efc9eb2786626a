/** Parses and formats single rule lines. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { FormPart, Rule, RuleComment, RuleKind } from './ruleForms.js';
import { ruleForms } from './ruleForms.js';

/** The maximum length of a line, in characters. */
export const MAX_LINE_LENGTH = 500;

/** A fault within one line. */
export interface LineFault {
  /** The column, counted from 1. */
  readonly column: number;
  readonly message: string;
}

interface Token {
  readonly text: string;
  readonly column: number;
}

const COMMENT_PREFIX = '#';

const forms: readonly (readonly [RuleKind, readonly FormPart[]])[] = Object.entries(
  ruleForms,
) as unknown as readonly (readonly [RuleKind, readonly FormPart[]])[];

function tokenize(text: string): readonly Token[] {
  return [...text.matchAll(/\S+/g)].map((match) => ({ text: match[0], column: match.index + 1 }));
}

function parseComment(line: string, commentIndex: number): Result<RuleComment, LineFault> {
  const [, requester, reason] =
    /^\s*([^:]*?)\s*:\s*(.*?)\s*$/.exec(line.slice(commentIndex + 1)) ?? [];
  if (!requester || !reason) {
    const message = 'comment names no requester and reason; write "# WHO: WHY"';
    return Err({ column: commentIndex + 1, message });
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

function unknownKeyword(keyword: Token): LineFault {
  const words = [...new Set(forms.map(([, parts]) => String(parts[0])))];
  const message = `unknown word "${keyword.text}"; start the rule with ${words.join(', ')}`;
  return { column: keyword.column, message };
}

function parseTokens(
  tokens: readonly Token[],
  endColumn: number,
): Result<Record<string, unknown>, LineFault> {
  const [keyword] = tokens;
  const candidates = forms.filter(([, parts]) => parts[0] === keyword?.text);
  let furthestFault: LineFault | undefined;
  for (const [kind, parts] of candidates) {
    const parsed = parseForm(parts, tokens, endColumn);
    if (parsed.isOk()) {
      return Ok({ kind, ...parsed.value });
    }
    if (furthestFault === undefined || parsed.error.column > furthestFault.column) {
      furthestFault = parsed.error;
    }
  }
  return Err(furthestFault ?? unknownKeyword(keyword ?? { text: '', column: 1 }));
}

/**
 * Parses one line of a rule file.
 *
 * @param line - the line without its line break
 * @returns the rule, undefined if the line has none, or every fault of the line
 */
export function parseRuleLine(line: string): Result<Rule | undefined, readonly LineFault[]> {
  if (line.length > MAX_LINE_LENGTH) {
    const message = `line is ${line.length} characters long; shorten it to ${MAX_LINE_LENGTH}`;
    return Err([{ column: MAX_LINE_LENGTH + 1, message }]);
  }
  const commentIndex = line.indexOf(COMMENT_PREFIX);
  const code = commentIndex < 0 ? line : line.slice(0, commentIndex);
  const tokens = tokenize(code);
  if (tokens.length === 0) {
    return Ok(undefined);
  }
  const endColumn = code.trimEnd().length + 1;
  const fields = parseTokens(tokens, endColumn);
  const comment =
    commentIndex < 0
      ? Err({ column: endColumn, message: 'rule has no comment; end it with "# WHO: WHY"' })
      : parseComment(line, commentIndex);
  if (fields.isOk() && comment.isOk()) {
    return Ok({ ...fields.value, comment: comment.value } as Rule);
  }
  return Err([fields, comment].filter((part) => part.isErr()).map((part) => part.error));
}

/**
 * @param rule - a rule
 * @returns the canonical form of the rule, including its comment
 */
export function formatRule(rule: Rule): string {
  const values: Readonly<Record<string, unknown>> = { ...rule };
  const parts: readonly FormPart[] = ruleForms[rule.kind];
  const words = parts.map((part) =>
    typeof part === 'string' ? part : part.codec.format(values[part.name]),
  );
  return `${words.join(' ')} # ${rule.comment.requester}: ${rule.comment.reason}`;
}
