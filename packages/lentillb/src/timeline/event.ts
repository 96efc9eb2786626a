/** Defines the typed events of the timeline. */

/** The kinds of events that a node records. */
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

/** The subject of an event. Fields that do not apply are left out. */
export interface EventSubject {
  /** The offset in the configuration stream. */
  readonly offset?: number;
  /** The configuration version. */
  readonly version?: number;
  /** The host name of the peer. */
  readonly peer?: string;
  readonly service?: string;
  readonly backendServer?: string;
  readonly requestId?: string;
  /** One line of text that says why it happened and what follows. */
  readonly detail?: string;
}

/** An event with the node that recorded it and the time. */
export interface TimelineEvent extends EventSubject {
  readonly kind: EventKind;
  readonly host: string;
  readonly zone: string;
  readonly incarnation: number;
  /** The position in the order of events of this incarnation, from 1. */
  readonly sequence: number;
  /** The wall-clock time, in ISO 8601. */
  readonly at: string;
  /** The monotonic time of the host, in milliseconds. */
  readonly monotonicMs: number;
}
