/** A call on its way through a node, and what can become of it. */
import { Readable } from 'node:stream';
import type { Result } from 'ts-results-es';
import type { Deadline } from '../kernel/deadline.js';
import type { Priority } from '../rules/ruleForms.js';
import { AdmissionRefusal } from './admissionQueue.js';
import type { HeaderFields } from './callHeaders.js';
import { Outcome } from './callHeaders.js';
import type { Cancellation } from './cancellation.js';
import { CancelReason } from './cancellation.js';

/** A request as it is sent on. */
export interface CallRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query, as received. */
  readonly target: string;
  readonly headers: HeaderFields;
  /** The whole body where it is short, else a stream that can be sent only once. */
  readonly body: Buffer | Readable | undefined;
  readonly service: string;
  readonly backendServer: string;
  readonly priority: Priority;
  readonly deadline: Deadline;
  /** How often the call was sent, this time included. */
  readonly attempt: number;
  /** Cancelled when the caller goes away or the deadline passes. */
  readonly cancellation: Cancellation;
}

/** An answer of a backend server. */
export interface CallAnswer {
  readonly status: number;
  readonly headers: HeaderFields;
  /** The whole body where it is short, else a stream that fails where the answer is cut short. */
  readonly body: Buffer | Readable;
}

/**
 * @param answer - an answer
 * @param action - called once the answer has been passed on, or has failed
 */
export function whenPassedOn({ body }: CallAnswer, action: () => void): void {
  if (body instanceof Readable) {
    body.once('close', action);
  } else {
    action();
  }
}

/** Why a call got no answer. */
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

/** Why a call that found no place got no answer. */
export const refusalReasons: Record<AdmissionRefusal, FailureReason> = {
  [AdmissionRefusal.Full]: FailureReason.Full,
  [AdmissionRefusal.DeadlinePassed]: FailureReason.DeadlinePassed,
  [AdmissionRefusal.Cancelled]: FailureReason.CallerGone,
};

/** Why a call that was cancelled got no answer. */
export const failureReasons: Record<CancelReason, FailureReason> = {
  [CancelReason.DeadlinePassed]: FailureReason.DeadlinePassed,
  [CancelReason.CallerGone]: FailureReason.CallerGone,
};

/** A call that got no answer. */
export interface CallFailure {
  readonly outcome: Outcome;
  readonly reason: FailureReason;
  /** One line for the caller: what happened, and what to do. */
  readonly message: string;
  /** When to come back, in milliseconds. */
  readonly retryAfterMs?: number;
}

/**
 * @param request - a call that was given up before it was sent on
 * @returns why it got no answer
 */
export function withdrawn({ cancellation }: CallRequest): CallFailure {
  const reason = failureReasons[cancellation.reason ?? CancelReason.CallerGone];
  return { outcome: Outcome.NotRun, reason, message: `${reason}; the call was not sent on` };
}

/** What became of a call. */
export type CallResult = Result<CallAnswer, CallFailure>;
