/** Creates requests as an entry forwards them to a gate. */
import type { Clock } from 'lentillb';
import type { HeaderFields } from 'lentillb/calls/callHeaders.js';
import { Cancellation } from 'lentillb/calls/cancellation.js';
import { descriptionHeader } from 'lentillb/serving/gateProtocol.js';
import type { ForwardedRequest } from 'lentillb/serving/messages.js';
import { WaitLimit } from 'lentillb/admission/slotQueue.js';

const TARGET_LATENCY_MS = 500;
const DEADLINE_MS = 1_000;

/**
 * @param clock - the clock that the times in the request refer to
 * @param fields - the fields that differ from a non-repeatable request without a body
 * @returns the request
 */
export function createForwardedRequest(
  clock: Clock,
  fields: Partial<ForwardedRequest> = {},
): ForwardedRequest {
  return {
    requestId: 'r',
    method: 'POST',
    target: '/',
    headers: { host: 'a.example' },
    body: Buffer.alloc(0),
    service: 's',
    route: 'order',
    priority: 1,
    customerPriority: 0,
    repeatable: false,
    targetLatencyMs: TARGET_LATENCY_MS,
    targetAtMs: clock.monotonicMs() + TARGET_LATENCY_MS,
    deadlineAtMs: clock.monotonicMs() + DEADLINE_MS,
    waitLimit: WaitLimit.OnTime,
    transmission: 1,
    cancellation: new Cancellation(),
    ...fields,
  };
}

/**
 * @param clock - the clock that the times in the request refer to
 * @param request - the request
 * @returns the headers with which the node of another host sends the request to a gate
 */
export function encodeHeaders(clock: Clock, request: ForwardedRequest): HeaderFields {
  return { ...request.headers, ...descriptionHeader(clock, request) };
}
