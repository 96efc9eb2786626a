/**
 * Parses and formats the values of a rule line. Every value has exactly one canonical form, and the
 * parser rejects all others.
 */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

/** Parses and formats one type of value. */
export interface ValueCodec<Value> {
  /** The name of the value in help and error messages. */
  readonly label: string;
  /**
   * @param text - one word of a rule line
   * @returns the value, or a message that states what is wrong and how to correct it
   */
  parse(text: string): Result<Value, string>;
  /**
   * @param value - a value
   * @returns its canonical form
   */
  format(value: Value): string;
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
 * @returns its canonical form: whole minutes if possible, else whole seconds, else milliseconds
 */
export function formatDuration(durationMs: number): string {
  if (durationMs > 0 && durationMs % MS_PER_MINUTE === 0) {
    return `${durationMs / MS_PER_MINUTE}m`;
  }
  if (durationMs % MS_PER_SECOND === 0) {
    return `${durationMs / MS_PER_SECOND}s`;
  }
  return `${durationMs}ms`;
}

function patternCodec(label: string, pattern: RegExp, example: string): ValueCodec<string> {
  return {
    label,
    parse: (text) =>
      pattern.test(text) ? Ok(text) : Err(`"${text}" is no ${label}; write it like ${example}`),
    format: (value) => value,
  };
}

/**
 * @param valueName - the name of the number in error messages
 * @param min - the smallest value accepted
 * @param max - the largest value accepted
 * @returns a codec for whole numbers without leading zeros
 */
export function integerBetween(valueName: string, min: number, max: number): ValueCodec<number> {
  return {
    label: 'N',
    parse: (text) => {
      const value = Number(text);
      const valid = /^(0|[1-9]\d{0,8})$/.test(text) && value >= min && value <= max;
      return valid
        ? Ok(value)
        : Err(`"${text}" is no ${valueName}; write a whole number from ${min} to ${max}`);
    },
    format: String,
  };
}

/**
 * @param words - the accepted words
 * @returns a codec that accepts only these words
 */
export function oneOf<Word extends string>(...words: readonly Word[]): ValueCodec<Word> {
  return {
    label: words.join('|'),
    parse: (text) => {
      const word = words.find((candidate) => candidate === text);
      return word === undefined
        ? Err(`unknown word "${text}"; write ${words.map((choice) => `"${choice}"`).join(' or ')}`)
        : Ok(word);
    },
    format: (word) => word,
  };
}

/** A codec for the name of a service or caller group. */
export const nameCodec = patternCodec('NAME', /^[a-z][a-z0-9-]{0,62}$/, 'letters-intake');

/** A codec for the name of an HTTP header in lower case. */
export const headerNameCodec = patternCodec('HEADER', /^[a-z][a-z0-9-]{0,62}$/, 'x-desk-role');

/** A codec for the value of an HTTP header. */
export const headerValueCodec = patternCodec('VALUE', /^[\w.:;,=/+-]{1,100}$/, 'editor');

/**
 * A codec for the path pattern of a route: literal segments, `*` for one segment, and `**` at the
 * end for any number of segments.
 */
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
  format: (pattern) => pattern,
};

/** A codec for a duration in milliseconds, written in its largest whole unit. */
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
      return Err(`"${text}" is too long; write at most ${formatDuration(MAX_DURATION_MS)}`);
    }
    const canonical = formatDuration(durationMs);
    return canonical === text ? Ok(durationMs) : Err(`write "${text}" as "${canonical}"`);
  },
  format: formatDuration,
};

/** A codec for a whole percentage, written with a percent sign. */
export const percentCodec: ValueCodec<number> = {
  label: 'PERCENT',
  parse: (text) => {
    const value = Number(text.slice(0, -1));
    const valid = /^(0|[1-9]\d{0,2})%$/.test(text) && value <= MAX_PERCENT;
    return valid ? Ok(value) : Err(`"${text}" is no PERCENT; write 0% to 100%`);
  },
  format: (value) => `${value}%`,
};

/** The word written instead of a port number if every backend server chooses its own port. */
export const ANY_PORT = 'any';

/** A codec for the port of a service's backend servers. */
export const portCodec: ValueCodec<number | typeof ANY_PORT> = {
  label: 'PORT|any',
  parse: (text) =>
    text === ANY_PORT ? Ok(ANY_PORT) : integerBetween('PORT', 1, MAX_PORT).parse(text),
  format: String,
};
