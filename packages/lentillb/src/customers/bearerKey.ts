/** Reads the key that a request presents in its `Authorization` header. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { countHeader } from '../utils/messageHead.js';

/** The reasons why a request presents no key. */
export const KeyFault = {
  /** The request has no `Authorization` header. */
  Missing: 'no-key',
  /** The header is repeated, or its value does not have the form `Bearer KEY`. */
  Malformed: 'malformed-key',
} as const;
export type KeyFault = (typeof KeyFault)[keyof typeof KeyFault];

/** The headers of a request. */
export interface PresentedHeaders {
  /** The headers by name; of a repeated `Authorization` header, Node.js keeps only the first. */
  readonly headers: IncomingHttpHeaders;
  /** The names and values of all headers in turn; undefined if none is repeated. */
  readonly rawHeaders?: readonly string[] | undefined;
}

/** The scheme, in any case, and the key after one or more spaces; see RFC 6750, section 2.1. */
const BEARER = /^bearer +([^ ][^]*)$/i;

/**
 * Reads the key of a request.
 *
 * @param request - the headers of the request
 * @returns the key as it was sent, or why there is none
 */
export function readBearerKey({ headers, rawHeaders }: PresentedHeaders): Result<string, KeyFault> {
  const { authorization } = headers;
  if (authorization === undefined) {
    return Err(KeyFault.Missing);
  }
  const isRepeated = rawHeaders !== undefined && countHeader(rawHeaders, 'authorization') > 1;
  const key = isRepeated ? undefined : BEARER.exec(authorization)?.[1];
  return key === undefined ? Err(KeyFault.Malformed) : Ok(key);
}
