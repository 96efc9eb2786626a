/** Names the reasons why a forwarded request got no answer. */

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
