/** How the values in a rule line are read and printed; each value has exactly one spelling. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

/** Reads and prints one kind of value. */
export interface ValueCodec<Value> {
  /** How help and messages name the value. */
  readonly label: string;
  /**
   * @param text - one word of a rule line
   * @returns the value, or what is wrong and what to do
   */
  parse(text: string): Result<Value, string>;
  /**
   * @param value - a value
   * @returns its one spelling
   */
  print(value: Value): string;
}

const MS_PER_SECOND = 1_000;
const MS_PER_MINUTE = 60_000;
const MAX_DURATION_MS = 60 * MS_PER_MINUTE;
const MAX_PORT = 65_535;
const MAX_PERCENT = 100;
const MAX_PATTERN_LENGTH = 200;

const durationUnits: Readonly<Record<string, number>> = {
  ms: 1,
  s: MS_PER_SECOND,
  m: MS_PER_MINUTE,
};

/**
 * @param durationMs - a duration in milliseconds
 * @returns its one spelling: whole minutes, else whole seconds, else milliseconds
 */
export function printDuration(durationMs: number): string {
  if (durationMs > 0 && durationMs % MS_PER_MINUTE === 0) {
    return `${durationMs / MS_PER_MINUTE}m`;
  }
  if (durationMs % MS_PER_SECOND === 0) {
    return `${durationMs / MS_PER_SECOND}s`;
  }
  return `${durationMs}ms`;
}

function matching(label: string, pattern: RegExp, example: string): ValueCodec<string> {
  return {
    label,
    parse: (text) =>
      pattern.test(text) ? Ok(text) : Err(`"${text}" is no ${label}; write it like ${example}`),
    print: (value) => value,
  };
}

/**
 * @param what - how messages name the number
 * @param least - the smallest value accepted
 * @param most - the largest value accepted
 * @returns a codec for whole numbers without leading zeros
 */
export function integerBetween(what: string, least: number, most: number): ValueCodec<number> {
  return {
    label: 'N',
    parse: (text) => {
      const value = Number(text);
      const valid = /^(0|[1-9]\d{0,8})$/.test(text) && value >= least && value <= most;
      return valid
        ? Ok(value)
        : Err(`"${text}" is no ${what}; write a whole number from ${least} to ${most}`);
    },
    print: String,
  };
}

/**
 * @param words - the words to choose from
 * @returns a codec for one of a few words
 */
export function oneOf<Word extends string>(...words: readonly Word[]): ValueCodec<Word> {
  return {
    label: words.join('|'),
    parse: (text) => {
      const word = words.find((candidate) => candidate === text);
      return word === undefined
        ? Err(`unknown word "${text}"; write ${words.map((known) => `"${known}"`).join(' or ')}`)
        : Ok(word);
    },
    print: (word) => word,
  };
}

/** The name of a service or caller group. */
export const nameCodec = matching('NAME', /^[a-z][a-z0-9-]{0,62}$/, 'letters-intake');

/** The name of an HTTP header, in lower case. */
export const headerNameCodec = matching('HEADER', /^[a-z][a-z0-9-]{0,62}$/, 'x-desk-role');

/** The value of an HTTP header. */
export const headerValueCodec = matching('VALUE', /^[\w.:;,=/+-]{1,100}$/, 'editor');

/** The path of a route: literal segments, `*` for one segment, `**` at the end for the rest. */
export const pathPatternCodec: ValueCodec<string> = {
  label: 'PATH',
  parse: (text) => {
    const valid =
      text.length <= MAX_PATTERN_LENGTH &&
      /^\/(?:(?:[\w.~!$&'()+,;=:@%-]+|\*)(?:\/(?:[\w.~!$&'()+,;=:@%-]+|\*))*)?(?:(?:^|(?<=\/)|\/)\*\*)?$/.test(
        text,
      );
    return valid
      ? Ok(text)
      : Err(
          `"${text}" is no PATH; write segments such as /letters/*/replies, "**" only as the last one`,
        );
  },
  print: (pattern) => pattern,
};

/** A duration in milliseconds, written in its largest whole unit. */
export const durationCodec: ValueCodec<number> = {
  label: 'DURATION',
  parse: (text) => {
    const parts = /^(\d{1,7})(ms|s|m)$/.exec(text);
    const unitMs = durationUnits[parts?.[2] ?? ''];
    if (parts === null || unitMs === undefined) {
      return Err(`"${text}" is no DURATION; write a number and ms, s or m, such as 250ms`);
    }
    const durationMs = Number(parts[1]) * unitMs;
    if (durationMs > MAX_DURATION_MS) {
      return Err(`"${text}" is too long; write at most ${printDuration(MAX_DURATION_MS)}`);
    }
    const spelling = printDuration(durationMs);
    return spelling === text ? Ok(durationMs) : Err(`write "${text}" as "${spelling}"`);
  },
  print: printDuration,
};

/** A share of a hundred, written with a percent sign. */
export const percentCodec: ValueCodec<number> = {
  label: 'PERCENT',
  parse: (text) => {
    const value = Number(text.slice(0, -1));
    const valid = /^(0|[1-9]\d{0,2})%$/.test(text) && value <= MAX_PERCENT;
    return valid ? Ok(value) : Err(`"${text}" is no PERCENT; write 0% to 100%`);
  },
  print: (value) => `${value}%`,
};

/** Stands for a port that each backend server chooses itself. */
export const ANY_PORT = 'any';

/** The port of a service's backend servers. */
export const portCodec: ValueCodec<number | typeof ANY_PORT> = {
  label: 'PORT|any',
  parse: (text) =>
    text === ANY_PORT ? Ok(ANY_PORT) : integerBetween('PORT', 1, MAX_PORT).parse(text),
  print: String,
};
