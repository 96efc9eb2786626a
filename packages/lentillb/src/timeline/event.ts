/** The typed events of the time line. */

/** What can happen on a node. */
export const EventKind = {
  NodeStarted: 'node-started',
  NodeLeaving: 'node-leaving',
  VersionApplied: 'version-applied',
  RecordRefused: 'record-refused',
  RecordNotUnderstood: 'record-not-understood',
  StateAdopted: 'state-adopted',
  SnapshotWritten: 'snapshot-written',
  LogUnreachable: 'log-unreachable',
  LogReachable: 'log-reachable',
  LogGap: 'log-gap',
  ReaderRoleTaken: 'reader-role-taken',
  ReaderRoleGivenUp: 'reader-role-given-up',
  PeerUp: 'peer-up',
  PeerSilent: 'peer-silent',
  PeerLost: 'peer-lost',
  HostLost: 'host-lost',
  HostLeft: 'host-left',
  ClaimRefuted: 'claim-refuted',
  BackendServerAnnounced: 'backend-server-announced',
  BackendServerDraining: 'backend-server-draining',
  BackendServerGone: 'backend-server-gone',
  BackendServerEjected: 'backend-server-ejected',
  CallShed: 'call-shed',
  CallRetried: 'call-retried',
  RetryBudgetExhausted: 'retry-budget-exhausted',
  OutcomeUnknown: 'outcome-unknown',
} as const;
export type EventKind = (typeof EventKind)[keyof typeof EventKind];

/** What an event is about; the fields that do not apply are left out. */
export interface EventSubject {
  /** The offset in the configuration stream. */
  readonly offset?: number;
  /** The configuration version. */
  readonly version?: number;
  /** The other host. */
  readonly peer?: string;
  readonly service?: string;
  readonly backendServer?: string;
  readonly requestId?: string;
  /** One line for the reader: why, and what follows. */
  readonly detail?: string;
}

/** One event, stamped with where and when. */
export interface TimelineEvent extends EventSubject {
  readonly kind: EventKind;
  readonly host: string;
  readonly zone: string;
  readonly incarnation: number;
  /** Position in the host's own order of events, from 1. */
  readonly sequence: number;
  /** Wall-clock time, ISO 8601. */
  readonly at: string;
  /** Monotonic time of the host, in milliseconds. */
  readonly monotonicMs: number;
}
