/** Defines the HTTP headers of lentillb, and which other headers are forwarded. */
import type { IncomingHttpHeaders } from 'node:http';

/** The headers that lentillb reads and writes. */
export const CallHeader = {
  /** Whether a failed call may have run, for callers and other nodes. */
  Outcome: 'lentillb-outcome',
  /** The reason a call failed, as one word. */
  Reason: 'lentillb-reason',
  /** The configuration version by which the call was routed. */
  Version: 'lentillb-version',
  /** The time left until the deadline of the call, in milliseconds. */
  DeadlineMs: 'lentillb-deadline-ms',
  /** The number of times the call has been sent, including this attempt. */
  Attempt: 'lentillb-attempt',
  /** Between nodes: the target service. */
  Service: 'lentillb-service',
  /** Between nodes: the target backend server. */
  BackendServer: 'lentillb-backend-server',
  /** Between nodes: the priority of the route. */
  Priority: 'lentillb-priority',
  RequestId: 'x-request-id',
} as const;

/** Whether a call that got no response may have run. */
export const Outcome = {
  /** The call never reached application code. */
  NotRun: 'not-run',
  /** The call may have run. */
  Unknown: 'unknown',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Maps header names to values; repeated headers have an array of values. */
export type HeaderFields = Record<string, string | string[]>;

const OWN_PREFIX = 'lentillb-';

/** Headers that apply to a single connection and are never forwarded. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

const NO_HEADER_NAMES: ReadonlySet<string> = new Set();

function connectionHeaderNames(headers: IncomingHttpHeaders): ReadonlySet<string> {
  const { connection } = headers;
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') {
    return NO_HEADER_NAMES;
  }
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
}

/**
 * Selects the headers to forward.
 *
 * @param headers - the received headers
 * @param omittedName - the name of a header that is not forwarded either, in lower case
 * @returns the headers without hop-by-hop headers and without those of lentillb
 */
export function forwardedHeaders(headers: IncomingHttpHeaders, omittedName?: string): HeaderFields {
  const connectionHeaders = connectionHeaderNames(headers);
  const forwarded: HeaderFields = {};
  Object.keys(headers).forEach((name) => {
    const value = headers[name];
    if (
      value !== undefined &&
      name !== omittedName &&
      !HOP_BY_HOP.has(name) &&
      !connectionHeaders.has(name) &&
      !name.startsWith(OWN_PREFIX)
    ) {
      forwarded[name] = value;
    }
  });
  return forwarded;
}

/**
 * Parses a header as a non-negative integer.
 *
 * @param headers - the received headers
 * @param name - the header name, in lower case
 * @returns the number, or undefined if the header is missing or not an integer of up to 9 digits
 */
export function parseIntegerHeader(headers: IncomingHttpHeaders, name: string): number | undefined {
  const value = headers[name];
  return typeof value === 'string' && /^\d{1,9}$/.test(value) ? Number(value) : undefined;
}
