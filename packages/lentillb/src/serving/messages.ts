/** Requests and answers inside a node, and what can become of a request. */
import type { Result } from 'ts-results-es';
import type { HeaderFields, Outcome } from '../calls/callHeaders.js';
import type { Cancellation } from '../calls/cancellation.js';
import type { Patience } from './slotQueue.js';

/** A request on its way to a backend server. */
export interface ForwardedRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query, as received. */
  readonly target: string;
  /** Without those that concern one connection. */
  readonly headers: HeaderFields;
  readonly body: Buffer;
  readonly service: string;
  /** The name of the route, by which the time of a run is measured. */
  readonly route: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  /** How soon the route wants an answer, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Until when an answer has its full value, in milliseconds of the clock. */
  readonly targetAtMs: number;
  /** Until when an answer has any value, in milliseconds of the clock. */
  readonly deadlineAtMs: number;
  readonly patience: Patience;
  /** Cancelled when the caller goes away. */
  readonly cancellation: Cancellation;
}

/** A complete answer of a backend server. */
export interface BackendAnswer {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
  /** Whether it had no length, so that only the end of the connection says that it is whole. */
  readonly unframed: boolean;
}

/** Why a request got no answer. */
export const FailureCause = {
  /** No slot would be free in time. */
  NoSlotInTime: 'no-slot-in-time',
  /** The request waited for a slot and can no longer be answered in time. */
  WaitedTooLong: 'waited-too-long',
  /** The gate's backend server leaves, is gone, or is of another service. */
  NotServing: 'not-serving',
  /** The node in front of the backend server shuts down. */
  ShuttingDown: 'leaving',
  /** The backend server said that it did not run the request. */
  Rejected: 'turned-away',
  /** The connection could not be established. */
  ConnectFailed: 'connect-failed',
  /** The connection ended after the request was sent, without a whole answer. */
  ConnectionLost: 'connection-lost',
  /** What came back is not an answer to this request. */
  InvalidAnswer: 'broken-answer',
  /** The backend server ran the request and failed. */
  RunFailed: 'run-failed',
  DeadlinePassed: 'deadline-passed',
  CallerGone: 'caller-gone',
} as const;
export type FailureCause = (typeof FailureCause)[keyof typeof FailureCause];

/** A request that got no answer, and whether it may have run. */
export interface ForwardFailure {
  readonly outcome: Outcome;
  readonly cause: FailureCause;
  /** How long a request would have waited for a slot, in milliseconds, where the gate knows. */
  readonly waitMs?: number;
}

/** How busy a gate was when it answered. */
export interface GateReport {
  /** Requests that ran or waited. */
  readonly load: number;
  /** How long the backend server took over the request, in milliseconds; 0 where it did not run it. */
  readonly serviceMs: number;
}

/** What a gate says about a request. */
export interface GateReply {
  readonly result: Result<BackendAnswer, ForwardFailure>;
  readonly report: GateReport | undefined;
}
