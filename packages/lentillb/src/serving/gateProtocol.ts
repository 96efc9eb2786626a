/** Encodes requests and replies between two nodes as HTTP with additional headers. */
import type { IncomingHttpHeaders } from 'node:http';
import { Err, Ok } from 'ts-results-es';
import { isFinalStatus, promisesNotRun } from '../calls/answerStatuses.js';
import type { HeaderFields } from '../calls/callHeaders.js';
import { Outcome, forwardedHeaders } from '../calls/callHeaders.js';
import type { Cancellation } from '../calls/cancellation.js';
import type { Clock } from '../kernel/clock.js';
import { decodeEscapes } from '../utils/decodeEscapes.js';
import type { ExchangeAnswer } from './exchange.js';
import type { HeaderNames } from './headerNames.js';
import type { ForwardedRequest, GateReply, GateReport } from './messages.js';
import { FailureCause } from '../calls/failureCause.js';
import { WaitLimit } from '../admission/slotQueue.js';

// The names are short because traffic between zones is charged by the byte.
const REQUEST_HEADER = 'lentillb-q';
const REPORT_HEADER = 'lentillb-r';
const FAILURE_HEADER = 'lentillb-failure';
const PROCESS_HEADER = 'lentillb-p';
/** The longest identity of a request that another node can be asked for; bounds the length of an inquiry. */
const MAX_REQUEST_ID_LENGTH = 400;

const HttpStatus = { Unavailable: 503 } as const;

const waitLimits = Object.values(WaitLimit);

/**
 * Describes a request to another node. The times in the description count from now.
 *
 * @param clock - the clock that the times in the request refer to
 * @param request - the request to send
 * @returns the header with the description, to be sent with those of the caller
 */
export function descriptionHeader(clock: Clock, request: ForwardedRequest): HeaderFields {
  const nowMs = clock.monotonicMs();
  const hasCustomer = request.customer !== undefined;
  const fields = [
    encodeURIComponent(request.service),
    encodeURIComponent(request.route),
    `${request.priority}`,
    request.repeatable ? '1' : '0',
    `${Math.round(request.targetLatencyMs)}`,
    `${Math.round(request.targetAtMs - nowMs)}`,
    `${Math.round(request.deadlineAtMs - nowMs)}`,
    request.waitLimit,
    ...(request.transmission > 1 || hasCustomer ? [`${request.transmission}`] : []),
    ...(hasCustomer ? [`${request.customerPriority}`] : []),
  ];
  return { [REQUEST_HEADER]: fields.join(' ') };
}

/** A request as it arrives at the node of a backend server. */
export interface ArrivedRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  readonly cancellation: Cancellation;
  /** The arrival time, in milliseconds of the monotonic clock. */
  readonly arrivedAtMs: number;
}

/**
 * Decodes a request from another node.
 *
 * @param names - the header names of callers
 * @param arrived - the request as it arrived
 * @returns the decoded request, or undefined if it does not follow this protocol
 */
export function decodeRequest(
  names: HeaderNames,
  { arrivedAtMs, body, cancellation, headers, method, target }: ArrivedRequest,
): ForwardedRequest | undefined {
  const value = headers[REQUEST_HEADER];
  const [serviceText, routeText, priorityText, repeatable, ...rest] =
    typeof value === 'string' ? value.split(' ') : [];
  const [service, route] = [serviceText, routeText].map((text) => text && decodeEscapes(text));
  const [priority, targetLatencyMs, targetMs, deadlineMs] = [priorityText, ...rest.slice(0, 3)].map(
    Number,
  ) as [number, number, number, number];
  const waitLimit = waitLimits.find((one) => one === rest[3]);
  const transmission = Number(rest[4] ?? 1);
  const customerPriority = Number(rest[5] ?? 0);
  const isNumeric = Number.isFinite(priority + targetLatencyMs + targetMs + deadlineMs);
  if (service === undefined || route === undefined || waitLimit === undefined || !isNumeric) {
    return undefined;
  }
  const requestId = headers[names.requestId];
  // A caller may send the header of the customer itself, where the configuration has no customers.
  const customer = rest[5] === undefined ? undefined : headers[names.customer];
  return {
    requestId: typeof requestId === 'string' ? requestId : '',
    method,
    target,
    headers: forwardedHeaders(headers),
    body,
    service,
    route,
    priority,
    customer: typeof customer === 'string' ? customer : undefined,
    customerPriority: Number.isInteger(customerPriority) ? customerPriority : 0,
    repeatable: repeatable === '1',
    targetLatencyMs,
    targetAtMs: arrivedAtMs + targetMs,
    deadlineAtMs: arrivedAtMs + deadlineMs,
    waitLimit,
    transmission: Number.isInteger(transmission) ? transmission : 1,
    cancellation,
  };
}

/**
 * Returns the key under which the node of the gate remembers a request.
 *
 * @param request - the request
 * @returns the key; undefined if the caller gave the request no identity, or one that is too long
 */
export function deliveryKeyOf({
  requestId,
  transmission,
}: Pick<ForwardedRequest, 'requestId' | 'transmission'>): string | undefined {
  const isUsable = requestId !== '' && requestId.length <= MAX_REQUEST_ID_LENGTH;
  return isUsable ? `${transmission} ${requestId}` : undefined;
}

/**
 * Names the process that replies. Sent once on each connection, since it stays the same there.
 *
 * @param processId - the identity of the process
 * @returns the header
 */
export function processHeader(processId: number): HeaderFields {
  return { [PROCESS_HEADER]: processId.toString(36) };
}

/**
 * Reads the identity of the process that replied.
 *
 * @param headers - the headers of its answer
 * @returns the identity; undefined if the answer does not name it
 */
export function processIdOf(headers: IncomingHttpHeaders): number | undefined {
  const value = headers[PROCESS_HEADER];
  const processId = typeof value === 'string' ? Number.parseInt(value, 36) : NaN;
  return Number.isInteger(processId) ? processId : undefined;
}

/** A reply in its HTTP form. */
export interface EncodedReply {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

function encodeReport({ limitPerSecond, load, serviceMs }: GateReport): string {
  const limit = limitPerSecond === undefined ? [] : [limitPerSecond];
  return [load, Math.round(serviceMs), ...limit].join(' ');
}

/**
 * Encodes the reply of a gate.
 *
 * @param reply - the reply of the gate
 * @returns the HTTP answer to the other node
 */
export function encodeReply({ report, result }: GateReply): EncodedReply {
  const reported: HeaderFields =
    report === undefined ? {} : { [REPORT_HEADER]: encodeReport(report) };
  if (result.isOk()) {
    const { body, headers, status } = result.value;
    return { status, headers: { ...headers, ...reported }, body };
  }
  const { cause, outcome, waitMs } = result.error;
  const fields = [outcome, cause, ...(waitMs === undefined ? [] : [`${Math.round(waitMs)}`])];
  return {
    status: HttpStatus.Unavailable,
    headers: { ...reported, [FAILURE_HEADER]: fields.join(' ') },
    body: Buffer.alloc(0),
  };
}

/** The reply to a request that the node of the gate has no memory for, and that has not run. */
export const memoryRefusalReply: EncodedReply = encodeReply({
  result: Err({ outcome: Outcome.NotRun, cause: FailureCause.NoMemory }),
  report: undefined,
});

function decodeReport(headers: IncomingHttpHeaders): GateReport | undefined {
  const value = headers[REPORT_HEADER];
  const [load, serviceMs, limitPerSecond] =
    typeof value === 'string' ? value.split(' ').map(Number) : [];
  if (load === undefined || serviceMs === undefined) {
    return undefined;
  }
  const isNumeric = Number.isFinite(load + serviceMs + (limitPerSecond ?? 0));
  return isNumeric ? { load, serviceMs, limitPerSecond } : undefined;
}

const outcomes = Object.values(Outcome);
const causes = Object.values(FailureCause);
const invalidAnswer = { outcome: Outcome.Unknown, cause: FailureCause.InvalidAnswer };
const unstatedRefusal = { outcome: Outcome.Unknown, cause: FailureCause.UnstatedRefusal };

/**
 * Decodes the reply of another node's gate.
 *
 * @param answer - the HTTP answer of the other node
 * @returns the reply of its gate
 */
export function decodeReply({ body, headers, status }: ExchangeAnswer): GateReply {
  const report = decodeReport(headers);
  const failed = headers[FAILURE_HEADER];
  if (typeof failed === 'string') {
    const [outcome, cause, waitText] = failed.split(' ');
    const waitMs = Number(waitText);
    return {
      report,
      result: Err({
        outcome: outcomes.find((one) => one === outcome) ?? Outcome.Unknown,
        cause: causes.find((one) => one === cause) ?? FailureCause.InvalidAnswer,
        waitMs: Number.isFinite(waitMs) ? waitMs : undefined,
      }),
    };
  }
  if (report === undefined || !isFinalStatus(status)) {
    return { report, result: Err(invalidAnswer) };
  }
  if (promisesNotRun(status)) {
    return { report, result: Err(unstatedRefusal) };
  }
  return { report, result: Ok({ status, headers: forwardedHeaders(headers), body }) };
}
