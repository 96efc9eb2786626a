/** Reads what a backend server states about itself in the headers of an answer. */
import type { LimitStatement } from '../admission/statedLimit.js';
import type { HeaderFields } from '../calls/callHeaders.js';
import type { HeaderNames } from './headerNames.js';

/** What a backend server states about itself in one answer. */
export interface ServerStatement extends LimitStatement {
  /** Whether it is about to leave. */
  readonly leaving: boolean;
}

type AnswerHeaders = Readonly<Partial<HeaderFields>>;

const DECIMAL = /^\d+(\.\d+)?$/;
const LEAVING_VALUE = '1';

/** Returns the values of a header, which Node.js joins by commas if it occurs more than once. */
function valuesOf(headers: AnswerHeaders, name: string): readonly string[] {
  const value = headers[name];
  return value === undefined
    ? []
    : String(value)
        .split(',')
        .map((part) => part.trim());
}

/**
 * Reads the statement of a backend server.
 *
 * @param headers - the headers of its answer
 * @param names - the header names of backend servers
 * @returns the statement, with the lowest limit if the answer states several
 */
export function readStatement(
  headers: AnswerHeaders,
  names: Pick<HeaderNames, 'leaving' | 'requestLimit'>,
): ServerStatement {
  const limits = valuesOf(headers, names.requestLimit);
  const valid = limits.filter((value) => DECIMAL.test(value)).map(Number);
  return {
    limitPerSecond: valid.length === 0 ? undefined : Math.min(...valid),
    hasMalformedLimit: valid.length < limits.length,
    leaving: valuesOf(headers, names.leaving).includes(LEAVING_VALUE),
  };
}
