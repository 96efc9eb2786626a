/** Identifies requests with the same content, whatever their identity and the host they arrive at. */
import { createHash } from 'node:crypto';
import { CONTENT_HASH_DIGITS } from '../directory/suspectReport.js';
import type { ForwardedRequest } from './messages.js';

/** The headers that identify a caller; others differ between attempts or hosts. */
const CALLER_HEADERS = ['host', 'authorization', 'cookie'] as const;

/**
 * Hashes what makes two requests the same one: method, path, caller and body.
 *
 * @param request - the request as it is forwarded
 * @returns the hash, equal on every host
 */
export function hashContent({
  body,
  headers,
  method,
  target,
}: Pick<ForwardedRequest, 'body' | 'headers' | 'method' | 'target'>): string {
  const caller = CALLER_HEADERS.map((name) => headers[name] ?? null);
  return createHash('sha256')
    .update(JSON.stringify([method, target, ...caller]))
    .update(body)
    .digest('hex')
    .slice(0, CONTENT_HASH_DIGITS);
}
