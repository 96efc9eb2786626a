/** Defines requests, answers and failures as they pass through a node. */
import type { Result } from 'ts-results-es';
import type { HeaderFields, Outcome } from '../calls/callHeaders.js';
import type { Cancellation } from '../calls/cancellation.js';
import type { Patience } from './slotQueue.js';

/** Holds a request that is forwarded to a backend server. */
export interface ForwardedRequest {
  readonly requestId: string;
  readonly method: string;
  /** Holds the path and query as received. */
  readonly target: string;
  /** Holds the headers without hop-by-hop headers. */
  readonly headers: HeaderFields;
  readonly body: Buffer;
  readonly service: string;
  /** Holds the name of the route, by which service times are grouped. */
  readonly route: string;
  /** Holds the priority; 0 is the most urgent. */
  readonly priority: number;
  /** Tells whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Holds the target latency of the route, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Holds the monotonic time until which an answer has its full value, in milliseconds. */
  readonly targetAtMs: number;
  /** Holds the monotonic time until which an answer has any value, in milliseconds. */
  readonly deadlineAtMs: number;
  readonly patience: Patience;
  /** Cancels the request when the caller disconnects. */
  readonly cancellation: Cancellation;
}

/** Holds a complete answer of a backend server. */
export interface BackendAnswer {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
  /** Tells whether the answer had no length, so that only the end of the connection ended it. */
  readonly unframed: boolean;
}

/** Lists the reasons why a request got no answer. */
export const FailureCause = {
  /** The gate expected no free slot in time. */
  NoSlotInTime: 'no-slot-in-time',
  /** The request waited for a slot until it could no longer be answered in time. */
  WaitedTooLong: 'waited-too-long',
  /** The backend server of the gate is leaving, has left, or belongs to another service. */
  NotServing: 'not-serving',
  /** The node is shutting down. */
  ShuttingDown: 'leaving',
  /** The backend server stated that it did not run the request. */
  Rejected: 'turned-away',
  /** The connection could not be established. */
  ConnectFailed: 'connect-failed',
  /** The connection ended after the request was sent and before the answer was complete. */
  ConnectionLost: 'connection-lost',
  /** The response is not a valid answer to this request. */
  InvalidAnswer: 'broken-answer',
  /** The backend server ran the request and returned a server error. */
  RunFailed: 'run-failed',
  DeadlinePassed: 'deadline-passed',
  CallerGone: 'caller-gone',
} as const;
export type FailureCause = (typeof FailureCause)[keyof typeof FailureCause];

/** Describes why a request got no answer, and whether it may have run. */
export interface ForwardFailure {
  readonly outcome: Outcome;
  readonly cause: FailureCause;
  /** Holds the expected wait for a slot, in milliseconds, if the gate knows it. */
  readonly waitMs?: number;
}

/** Reports the load of a gate at the time of its reply. */
export interface GateReport {
  /** Holds the number of requests that ran or waited. */
  readonly load: number;
  /** Holds the time spent at the backend server, in milliseconds; 0 if it gave no answer. */
  readonly serviceMs: number;
}

/** Holds the reply of a gate to a request. */
export interface GateReply {
  readonly result: Result<BackendAnswer, ForwardFailure>;
  readonly report: GateReport | undefined;
}
