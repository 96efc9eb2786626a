/** Writes the result of a call to the HTTP response of its sender. */
import type { ServerResponse } from 'node:http';
import { Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import type { CallResponse, CallFailure } from './call.js';
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

const statusByReason: Partial<Record<FailureReason, number>> = {
  [FailureReason.NoRoute]: HttpStatus.NotFound,
  [FailureReason.RateLimited]: HttpStatus.TooManyRequests,
  [FailureReason.DeadlinePassed]: HttpStatus.GatewayTimeout,
};

function statusOf({ outcome, reason }: CallFailure): number {
  const fallback =
    outcome === Outcome.NotRun ? HttpStatus.ServiceUnavailable : HttpStatus.BadGateway;
  return statusByReason[reason] ?? fallback;
}

/**
 * Responds immediately that a call failed.
 *
 * @param response - the response to write
 * @param failure - the failure of the call
 * @param extraHeaders - additional headers
 */
export function sendFailure(
  response: ServerResponse,
  failure: CallFailure,
  extraHeaders: HeaderFields = {},
): void {
  if (response.destroyed) {
    return;
  }
  const { outcome, reason, message, retryAfterMs } = failure;
  const body = `${JSON.stringify({ outcome, reason, message })}\n`;
  const headers: Record<string, string | string[] | number> = {
    ...extraHeaders,
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
 * Forwards a response completely, or closes the connection so that the receiver detects that the
 * response is incomplete.
 *
 * @param response - the response to write
 * @param answer - the response of the backend server
 * @param extraHeaders - additional headers
 * @returns whether the response was forwarded completely
 */
export async function sendResponse(
  response: ServerResponse,
  answer: CallResponse,
  extraHeaders: HeaderFields = {},
): Promise<boolean> {
  const { body } = answer;
  if (response.destroyed) {
    if (body instanceof Readable) {
      body.destroy();
    }
    return false;
  }
  response.writeHead(answer.status, { ...answer.headers, ...extraHeaders });
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
