/** The HTTP headers of the system, and which headers of others are passed on. */
import type { IncomingHttpHeaders } from 'node:http';

/** Headers the system reads and writes. */
export const CallHeader = {
  /** To callers and between nodes: what is known of a call that failed. */
  Outcome: 'lentillb-outcome',
  /** Why a call failed, one word. */
  Reason: 'lentillb-reason',
  /** The configuration version that decided. */
  Version: 'lentillb-version',
  /** How long the call may still take, in milliseconds. */
  DeadlineMs: 'lentillb-deadline-ms',
  /** How often this call was sent, this time included. */
  Attempt: 'lentillb-attempt',
  /** Between nodes: the service and backend server meant, and the priority of the route. */
  Service: 'lentillb-service',
  BackendServer: 'lentillb-backend-server',
  Priority: 'lentillb-priority',
  RequestId: 'x-request-id',
} as const;

/** What is known of a call that got no answer. */
export const Outcome = {
  /** It certainly never reached application code. */
  NotRun: 'not-run',
  /** It may have run. */
  Unknown: 'unknown',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Header names and values, several values where a header was repeated. */
export type HeaderFields = Record<string, string | string[]>;

const OWN_PREFIX = 'lentillb-';

/** Headers that belong to one connection and are never passed on. */
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

const NO_NAMES: ReadonlySet<string> = new Set();

function connectionNames(headers: IncomingHttpHeaders): ReadonlySet<string> {
  const { connection } = headers;
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') {
    return NO_NAMES;
  }
  return new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
}

/**
 * @param headers - the headers received
 * @returns those to pass on: none of one connection, none of this system's own
 */
export function passedOnHeaders(headers: IncomingHttpHeaders): HeaderFields {
  const named = connectionNames(headers);
  const passed: HeaderFields = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (
      value !== undefined &&
      !HOP_BY_HOP.has(name) &&
      !named.has(name) &&
      !name.startsWith(OWN_PREFIX)
    ) {
      passed[name] = value;
    }
  });
  return passed;
}

/**
 * @param headers - the headers received
 * @param name - the header wanted
 * @returns its whole number, or undefined where there is none
 */
export function numberIn(headers: IncomingHttpHeaders, name: string): number | undefined {
  const value = headers[name];
  return typeof value === 'string' && /^\d{1,9}$/.test(value) ? Number(value) : undefined;
}
