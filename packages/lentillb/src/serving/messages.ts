/** Defines requests, answers and failures as they pass through a node. */
import type { Result } from 'ts-results-es';
import type { HeaderFields, Outcome } from '../calls/callHeaders.js';
import type { Cancellation } from '../calls/cancellation.js';
import type { WaitLimit } from '../admission/slotQueue.js';

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

/** The reasons why a request got no answer. */
export const FailureCause = {
  /** The gate expected no free slot in time. */
  NoSlotInTime: 'no-slot-in-time',
  /** The request waited for a slot until it could no longer be answered in time. */
  WaitedTooLong: 'waited-too-long',
  /** The backend server of the gate is leaving, has left, or belongs to another service. */
  NotServing: 'not-serving',
  /** The node was restarted, and its backend server has not sent a heartbeat since. */
  Unconfirmed: 'backend-server-unconfirmed',
  /** The node is shutting down. */
  ShuttingDown: 'leaving',
  /** The backend server stated that it did not run the request. */
  Rejected: 'turned-away',
  /** The answer has a status that promises "not run", but the backend server did not state that. */
  UnstatedRefusal: 'unstated-refusal',
  /** The connection could not be established. */
  ConnectFailed: 'connect-failed',
  /** The connection ended after the request was sent and before the answer was complete. */
  ConnectionLost: 'connection-lost',
  /** The backend server ended while it ran the request. */
  ServerEnded: 'backend-server-ended',
  /** The response is not a valid answer to this request. */
  InvalidAnswer: 'broken-answer',
  /** The backend server ran the request and returned a server error. */
  RunFailed: 'run-failed',
  /** Backend servers end under requests with this content. */
  SuspectRequest: 'suspect-request',
  /** The connection to the node of the gate has gone silent. */
  ConnectionSilent: 'connection-silent',
  /** The request has a target or headers that cannot be written. */
  Unsendable: 'unsendable',
  /** The node has no memory for the request. */
  NoMemory: 'no-memory',
  DeadlinePassed: 'deadline-passed',
  CallerGone: 'caller-gone',
} as const;
export type FailureCause = (typeof FailureCause)[keyof typeof FailureCause];

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
