/**
 * Computes the configuration from the records of the log. Whether a record is accepted depends
 * only on the records before it, so every node reaches the same verdict without coordination.
 */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { formatFault } from '../rules/fault.js';
import { applyEdits } from '../rules/lineEdits.js';
import type { ParsedLines, LocatedRule, RuleFile } from '../rules/ruleFile.js';
import { joinLines, parseRuleFile } from '../rules/ruleFile.js';
import type { Judgement, SerializableState, PublishRecord } from './configurationRecord.js';
import { digestOf, Verdict } from './configurationRecord.js';

/** Limits how many of the latest judgements a state keeps. */
export const MAX_JUDGEMENTS = 200;

const MAX_FAULTS_IN_NOTE = 3;
const FILE_NAME = 'rules';

/** A line of the rules in force, with the version that added it. */
export interface AcceptedLine {
  readonly text: string;
  readonly version: number;
  readonly author: string;
}

/** The configuration that results from the records of the log up to an offset. */
export interface ConfigurationState {
  /** The offset of the last record judged. */
  readonly through: number;
  /** The offset of the record that is in force; 0 before the first accepted record. */
  readonly version: number;
  readonly lines: readonly AcceptedLine[];
  readonly rules: readonly LocatedRule[];
  /** The parsed lines, reused when the next version is parsed. */
  readonly parsedLines: ParsedLines;
  /** The latest judgements, oldest first. */
  readonly judgements: readonly Judgement[];
}

/** The state before the first record. */
export const EMPTY_STATE: ConfigurationState = {
  through: 0,
  version: 0,
  lines: [],
  rules: [],
  parsedLines: new Map(),
  judgements: [],
};

/**
 * @param state - a state
 * @returns the text of the rule file in force
 */
export function textOf(state: Pick<ConfigurationState, 'lines'>): string {
  return joinLines(state.lines.map((line) => line.text));
}

interface Candidate {
  readonly lines: readonly AcceptedLine[];
  readonly file: RuleFile;
}

interface Refusal {
  readonly verdict: Verdict;
  readonly note: string;
}

function refusal(verdict: Verdict, note: string): Result<never, Refusal> {
  return Err({ verdict, note });
}

function describeConflict(state: ConfigurationState, base: number): string {
  const firstAccepted = state.judgements.find(
    (earlier) => earlier.verdict === Verdict.Accepted && earlier.offset > base,
  );
  const winner =
    firstAccepted === undefined
      ? `version ${state.version}`
      : `${firstAccepted.author}, version ${firstAccepted.offset}`;
  return `edited from version ${base}, but ${winner} was first; edit version ${state.version} instead`;
}

function buildCandidate(
  state: ConfigurationState,
  record: PublishRecord,
  offset: number,
): Result<Candidate, Refusal> {
  const earlier = state.judgements.find((judged) => judged.publishId === record.publishId);
  if (earlier !== undefined) {
    return refusal(Verdict.Repeated, `same publish id as the record at offset ${earlier.offset}`);
  }
  if (record.base !== state.version) {
    return refusal(Verdict.Conflict, describeConflict(state, record.base));
  }
  const lines = applyEdits<AcceptedLine>(state.lines, record.edits, (text) => ({
    text,
    version: offset,
    author: record.author,
  }));
  if (lines.isErr()) {
    return refusal(Verdict.Invalid, lines.error);
  }
  const text = joinLines(lines.value.map((line) => line.text));
  if (digestOf(text) !== record.digest) {
    return refusal(Verdict.Invalid, 'content does not match its digest');
  }
  const file = parseRuleFile(text, state.parsedLines);
  if (file.isErr()) {
    const shown = file.error
      .slice(0, MAX_FAULTS_IN_NOTE)
      .map((fault) => formatFault(FILE_NAME, fault));
    return refusal(Verdict.Invalid, shown.join(' | '));
  }
  return Ok({ lines: lines.value, file: file.value });
}

/**
 * Judges a published record.
 *
 * @param state - the state before the record
 * @param record - the record
 * @param offset - the record's offset
 * @param appendedAt - when the log accepted the record
 * @returns the state after the record; its last judgement is the one on this record
 */
export function judgeRecord(
  state: ConfigurationState,
  record: PublishRecord,
  offset: number,
  appendedAt: Date,
): ConfigurationState {
  const candidate = buildCandidate(state, record, offset);
  const { verdict, note } = candidate.isOk()
    ? { verdict: Verdict.Accepted, note: '' }
    : candidate.error;
  const { publishId, author, base } = record;
  const at = appendedAt.toISOString();
  const judgement: Judgement = { offset, publishId, verdict, author, base, at, note };
  const judgements = [...state.judgements, judgement].slice(-MAX_JUDGEMENTS);
  if (candidate.isErr()) {
    return { ...state, through: offset, judgements };
  }
  const { lines, file } = candidate.value;
  const { rules, parsedLines } = file;
  return { through: offset, version: offset, lines, rules, parsedLines, judgements };
}

/**
 * @param state - a state
 * @returns the state in the form that peers exchange and snapshots store
 */
export function toSerializableState(state: ConfigurationState): SerializableState {
  const { through, version, lines, judgements } = state;
  return { through, version, lines: [...lines], judgements: [...judgements] };
}

/**
 * @param serializable - a state from a peer or a snapshot
 * @returns the state, or why its rules cannot be parsed
 */
export function fromSerializableState(
  serializable: SerializableState,
): Result<ConfigurationState, string> {
  const file = parseRuleFile(textOf(serializable));
  if (file.isErr()) {
    return Err(`state of version ${serializable.version} has faulty rules`);
  }
  const { rules, parsedLines } = file.value;
  return Ok({ ...serializable, rules, parsedLines });
}
