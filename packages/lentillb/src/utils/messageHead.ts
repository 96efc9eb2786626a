/**
 * Checks the heads of HTTP messages. The parser of Node.js accepts header names and targets with
 * characters for which every writer throws, so heads are checked where they enter.
 */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';

/** The form of header names; see RFC 9110, section 5.6.2. */
const TOKEN = /^[!#$%&'*+\-.^_`|~\dA-Za-z]+$/;
const INVALID_VALUE_CHARACTER = /[^\t\x20-\x7e\x80-\xff]/;
const INVALID_TARGET_CHARACTER = /[^\x21-\xff]/;

/** The parts of a received message that are checked; answers have no target. */
export type ReceivedHead = Pick<IncomingMessage, 'rawHeaders' | 'url'>;

/**
 * Checks the value of a header field.
 *
 * @param value - the value, with one character for each byte
 * @returns whether a message may have a header with this value
 */
export function isFieldValue(value: string): boolean {
  return !INVALID_VALUE_CHARACTER.test(value);
}

/**
 * Checks a part of the target of a request.
 *
 * @param text - the text, with one character for each byte
 * @returns whether a request may have a target with this part
 */
export function isTargetText(text: string): boolean {
  return !INVALID_TARGET_CHARACTER.test(text);
}

/**
 * Counts how often a message has a header.
 *
 * @param rawHeaders - the names and values of all headers in turn
 * @param name - the name of the header, in lower case
 * @returns the number of headers with this name, in any case
 */
export function countHeader(rawHeaders: readonly string[], name: string): number {
  return rawHeaders.filter((part, index) => index % 2 === 0 && part.toLowerCase() === name).length;
}

/**
 * Checks the head of a received message.
 *
 * @param head - the names and values of all headers in turn, and the target of a request
 * @returns whether a message with this target and these headers can be passed on
 */
export function isForwardable({ rawHeaders, url = '' }: ReceivedHead): boolean {
  return (
    isTargetText(url) &&
    rawHeaders.every((part, index) => (index % 2 === 0 ? TOKEN.test(part) : isFieldValue(part)))
  );
}

/**
 * Checks the headers of an answer.
 *
 * @param headers - the headers by name
 * @returns whether a message can have these headers
 */
export function hasForwardableHeaders(headers: IncomingHttpHeaders): boolean {
  return Object.entries(headers).every(
    ([name, value = '']) => TOKEN.test(name) && [value].flat().every(isFieldValue),
  );
}
