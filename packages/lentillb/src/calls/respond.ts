/** Writes what became of a call to the HTTP response of whoever sent it. */
import type { ServerResponse } from 'node:http';
import { Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import type { CallAnswer, CallFailure } from './call.js';
import { FailureReason } from './call.js';
import type { HeaderFields } from './callHeaders.js';
import { CallHeader, Outcome } from './callHeaders.js';

const MS_PER_SECOND = 1_000;

const HttpStatus = {
  NotFound: 404,
  TooManyRequests: 429,
  BadGateway: 502,
  ServiceUnavailable: 503,
  GatewayTimeout: 504,
} as const;

const statuses: Partial<Record<FailureReason, number>> = {
  [FailureReason.NoRoute]: HttpStatus.NotFound,
  [FailureReason.RateLimited]: HttpStatus.TooManyRequests,
  [FailureReason.DeadlinePassed]: HttpStatus.GatewayTimeout,
};

function statusOf({ outcome, reason }: CallFailure): number {
  const fallback =
    outcome === Outcome.NotRun ? HttpStatus.ServiceUnavailable : HttpStatus.BadGateway;
  return statuses[reason] ?? fallback;
}

/**
 * Answers that the call got no answer, at once.
 *
 * @param response - the response to write
 * @param failure - what happened
 * @param extra - further headers
 */
export function respondFailure(
  response: ServerResponse,
  failure: CallFailure,
  extra: HeaderFields = {},
): void {
  if (response.destroyed) {
    return;
  }
  const { outcome, reason, message, retryAfterMs } = failure;
  const body = `${JSON.stringify({ outcome, reason, message })}\n`;
  const headers: Record<string, string | string[] | number> = {
    ...extra,
    [CallHeader.Outcome]: outcome,
    [CallHeader.Reason]: reason,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (retryAfterMs !== undefined) {
    headers['retry-after'] = Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND));
  }
  response.writeHead(statusOf(failure), headers);
  response.end(body);
}

/**
 * Passes an answer on whole, or breaks the connection so that the receiver can tell.
 *
 * @param response - the response to write
 * @param answer - the answer of the backend server
 * @param extra - further headers
 * @returns whether the answer was passed on whole
 */
export async function respondAnswer(
  response: ServerResponse,
  answer: CallAnswer,
  extra: HeaderFields = {},
): Promise<boolean> {
  const { body } = answer;
  if (response.destroyed) {
    if (body instanceof Readable) {
      body.destroy();
    }
    return false;
  }
  response.writeHead(answer.status, { ...answer.headers, ...extra });
  if (!(body instanceof Readable)) {
    response.end(body);
    return true;
  }
  try {
    await pipeline(body, response);
    return true;
  } catch {
    response.destroy();
    return false;
  }
}
