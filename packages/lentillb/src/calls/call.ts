/** Types for a call that passes through a node, and for its result. */
import { Readable } from 'node:stream';
import type { Result } from 'ts-results-es';
import type { Deadline } from '../kernel/deadline.js';
import type { Priority } from '../rules/ruleForms.js';
import { AdmissionRefusal } from './admissionQueue.js';
import type { HeaderFields } from './callHeaders.js';
import { Outcome } from './callHeaders.js';
import type { Cancellation } from './cancellation.js';
import { CancelReason } from './cancellation.js';

/** A request as it is forwarded. */
export interface CallRequest {
  readonly requestId: string;
  readonly method: string;
  /** The path and query, as received. */
  readonly target: string;
  readonly headers: HeaderFields;
  /** The whole body if it is short, otherwise a stream that can be sent only once. */
  readonly body: Buffer | Readable | undefined;
  readonly service: string;
  readonly backendServer: string;
  readonly priority: Priority;
  readonly deadline: Deadline;
  /** The number of times the call has been sent, including this attempt. */
  readonly attempt: number;
  /** The cancellation, triggered when the caller disconnects or the deadline passes. */
  readonly cancellation: Cancellation;
}

/** A response of a backend server. */
export interface CallResponse {
  readonly status: number;
  readonly headers: HeaderFields;
  /** The whole body if it is short, otherwise a stream that fails if the response is truncated. */
  readonly body: Buffer | Readable;
}

/**
 * Runs an action once a response has been forwarded, or has failed.
 *
 * @param answer - the response
 * @param action - called once; immediately if the body is already buffered
 */
export function onForwarded({ body }: CallResponse, action: () => void): void {
  if (body instanceof Readable) {
    body.once('close', action);
  } else {
    action();
  }
}

/** The reason a call got no response. */
export const FailureReason = {
  NoConfiguration: 'no-configuration',
  NoRoute: 'no-route',
  NoBackendServer: 'no-backend-server',
  UnknownBackendServer: 'unknown-backend-server',
  Draining: 'draining',
  Full: 'full',
  RateLimited: 'rate-limited',
  DeadlinePassed: 'deadline-passed',
  CallerGone: 'caller-gone',
  ConnectFailed: 'connect-failed',
  ConnectionLost: 'connection-lost',
} as const;
export type FailureReason = (typeof FailureReason)[keyof typeof FailureReason];

/** Maps the reason a call was not admitted to its failure reason. */
export const admissionFailureReasons: Record<AdmissionRefusal, FailureReason> = {
  [AdmissionRefusal.Full]: FailureReason.Full,
  [AdmissionRefusal.DeadlinePassed]: FailureReason.DeadlinePassed,
  [AdmissionRefusal.Cancelled]: FailureReason.CallerGone,
};

/** Maps the reason a call was cancelled to its failure reason. */
export const cancellationFailureReasons: Record<CancelReason, FailureReason> = {
  [CancelReason.DeadlinePassed]: FailureReason.DeadlinePassed,
  [CancelReason.CallerGone]: FailureReason.CallerGone,
  [CancelReason.AnsweredElsewhere]: FailureReason.CallerGone,
  [CancelReason.NodeEnding]: FailureReason.Draining,
};

/** A call that got no response. */
export interface CallFailure {
  readonly outcome: Outcome;
  readonly reason: FailureReason;
  /** A one-line message for the caller: what happened, and what to do. */
  readonly message: string;
  /** The delay after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
}

/**
 * Creates the failure of a call that may not be forwarded any more.
 *
 * @param refusal - the reason
 * @returns the failure, with the outcome `NotRun`
 */
export function cancelledBeforeForwarding(refusal: CancelReason): CallFailure {
  const reason = cancellationFailureReasons[refusal];
  return { outcome: Outcome.NotRun, reason, message: `${reason}; the call was not forwarded` };
}

/** The result of a call: a response or a failure. */
export type CallResult = Result<CallResponse, CallFailure>;
