/** Identifies requests with the same content, whatever their identity and the host they arrive at. */
import { createHash } from 'node:crypto';
import { CONTENT_HASH_DIGITS, TARGET_HASH_DIGITS } from '../directory/suspectReport.js';
import { hash32 } from '../utils/hash.js';
import type { ForwardedRequest } from './messages.js';

/** The headers that identify a caller; others differ between attempts or hosts. */
const CALLER_HEADERS = ['host', 'authorization', 'cookie'] as const;

const HEXADECIMAL = 16;

/** What the content of a request consists of. */
export type RequestContent = Pick<
  ForwardedRequest,
  'body' | 'customer' | 'headers' | 'method' | 'target'
>;

/**
 * Hashes the method and the path of a request, which is much cheaper than its whole content.
 *
 * @param request - the request as it is forwarded
 * @returns the first digits of the hash of its content
 */
export function hashTarget({ method, target }: Pick<RequestContent, 'method' | 'target'>): string {
  return hash32(`${method} ${target}`).toString(HEXADECIMAL).padStart(TARGET_HASH_DIGITS, '0');
}

/**
 * Hashes what makes two requests the same one: method, path, caller and body.
 *
 * @param request - the request as it is forwarded
 * @returns the hash, equal on every host
 */
export function hashContent(request: RequestContent): string {
  const { body, customer, headers, method, target } = request;
  const caller = CALLER_HEADERS.map((name) => headers[name] ?? null);
  // The key of a customer, which would tell its requests from those of others, is not forwarded.
  const owner = customer === undefined ? [] : [customer];
  const digest = createHash('sha256')
    .update(JSON.stringify([method, target, ...caller, ...owner]))
    .update(body)
    .digest('hex');
  return hashTarget(request) + digest.slice(0, CONTENT_HASH_DIGITS - TARGET_HASH_DIGITS);
}
