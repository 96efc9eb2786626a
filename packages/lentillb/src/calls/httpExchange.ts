/** Sends one request over HTTP and says truthfully what became of it. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import { Err, Ok } from 'ts-results-es';
import type { Dispatcher } from 'undici';
import type { CallFailure, CallResult } from './call.js';
import { FailureReason } from './call.js';
import type { HeaderFields } from './callHeaders.js';
import { CallHeader, numberIn, Outcome, passedOnHeaders } from './callHeaders.js';

/** A request to one origin. */
export interface ExchangeRequest {
  readonly origin: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderFields;
  readonly body: Buffer | Readable | undefined;
  readonly signal: AbortSignal;
  /** Whether the other side is a gate, whose refusals count; an application's headers do not. */
  readonly toGate: boolean;
}

/** The longest refusal read, in bytes. */
const MAX_REFUSAL_BYTES = 4 * 1024;
const MS_PER_SECOND = 1_000;

/** Errors of connections that failed before anything was written. */
const NOTHING_WRITTEN = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function failureOf(error: NodeJS.ErrnoException, origin: string): CallResult {
  const { code = error.name, message } = error;
  return NOTHING_WRITTEN.has(code)
    ? Err({
        outcome: Outcome.NotRun,
        reason: FailureReason.ConnectFailed,
        message: `connect to ${origin}: ${code}; the request was not sent`,
      })
    : Err({
        outcome: Outcome.Unknown,
        reason: FailureReason.ConnectionLost,
        message: `exchange with ${origin}: ${message || code}; the request may have run`,
      });
}

function outcomeOf(headers: IncomingHttpHeaders): Outcome | undefined {
  const given = headers[CallHeader.Outcome];
  return Object.values(Outcome).find((outcome) => outcome === given);
}

/** A gate says in a few headers and one line why a call got no answer. */
async function readRefusal(
  { headers, body }: Dispatcher.ResponseData,
  outcome: Outcome,
): Promise<CallFailure> {
  const reason =
    Object.values(FailureReason).find((known) => known === headers[CallHeader.Reason]) ??
    FailureReason.ConnectionLost;
  await body.dump({ limit: MAX_REFUSAL_BYTES });
  const retryAfterSeconds = numberIn(headers, 'retry-after');
  const retryAfterMs =
    retryAfterSeconds === undefined ? undefined : retryAfterSeconds * MS_PER_SECOND;
  return { outcome, reason, message: `refused by the gate: ${reason}`, retryAfterMs };
}

/**
 * Sends a request and waits for the head of its answer.
 *
 * @param dispatcher - the connections to use
 * @param request - the request
 * @returns the answer, or why there is none and whether the request may have run
 */
export async function exchange(
  dispatcher: Dispatcher,
  { origin, method, target, headers, body, signal, toGate }: ExchangeRequest,
): Promise<CallResult> {
  try {
    const response = await dispatcher.request({
      origin,
      path: target,
      method,
      headers,
      body,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const outcome = outcomeOf(response.headers);
    if (toGate && outcome !== undefined) {
      return Err(await readRefusal(response, outcome));
    }
    const passed = passedOnHeaders(response.headers);
    return Ok({ status: response.statusCode, headers: passed, body: response.body });
  } catch (error) {
    return failureOf(error as NodeJS.ErrnoException, origin);
  }
}
