/** Defines requests, answers and failures as they pass through a node. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Result } from 'ts-results-es';
import type { HeaderFields, Outcome } from '../calls/callHeaders.js';
import type { Cancellation } from '../calls/cancellation.js';
import type { FailureCause } from '../calls/failureCause.js';
import type { WaitLimit } from '../admission/slotQueue.js';

/** A request of a caller with its complete body. */
export interface CallerRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingHttpHeaders;
  /** The names and values of all headers in turn; undefined if none is repeated. */
  readonly rawHeaders?: readonly string[];
  readonly body: Buffer;
  readonly cancellation: Cancellation;
  /** The arrival time, in milliseconds of the monotonic clock. */
  readonly arrivedAtMs: number;
}

/** A request that is forwarded to a backend server. */
export interface ForwardedRequest {
  readonly requestId: string;
  readonly method: string;
  /** The path and query as received. */
  readonly target: string;
  /** The headers without hop-by-hop headers. */
  readonly headers: HeaderFields;
  readonly body: Buffer;
  readonly service: string;
  /** The name of the route, by which service times are grouped. */
  readonly route: string;
  /** The priority; 0 is the most urgent. */
  readonly priority: number;
  /** The name of the customer; undefined for requests without one, such as calls made inside runs. */
  readonly customer?: string | undefined;
  /** The priority of the customer, which goes before that of the route; 0 without a customer. */
  readonly customerPriority: number;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** The target latency of the route, in milliseconds. */
  readonly targetLatencyMs: number;
  /** The monotonic time until which an answer has its full value, in milliseconds. */
  readonly targetAtMs: number;
  /** The monotonic time until which an answer has any value, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly waitLimit: WaitLimit;
  /** The number of times the request has been sent to a gate, this time included. */
  readonly transmission: number;
  /** The cancellation, triggered when the caller disconnects. */
  readonly cancellation: Cancellation;
}

/** A complete answer of a backend server. */
export interface BackendAnswer {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

/** The reason why a request got no answer, and whether it may have run. */
export interface ForwardFailure {
  readonly outcome: Outcome;
  readonly cause: FailureCause;
  /** The expected wait for a slot, in milliseconds, if the gate knows it. */
  readonly waitMs?: number;
}

/** The load of a gate at the time of its reply. */
export interface GateReport {
  /** The number of requests that ran or waited. */
  readonly load: number;
  /** The time spent at the backend server, in milliseconds; 0 if it gave no answer. */
  readonly serviceMs: number;
  /** The requests per second that the backend server takes; undefined if it states no limit. */
  readonly limitPerSecond?: number;
}

/** The reply of a gate to a request. */
export interface GateReply {
  readonly result: Result<BackendAnswer, ForwardFailure>;
  readonly report: GateReport | undefined;
  /**
   * The reply that may still arrive from a host that stopped responding. The request keeps running
   * there, so another backend server is tried without giving it up.
   */
  readonly lateReply?: Promise<GateReply>;
}
