/** Defines the observations of one soak run; all times are monotonic, in milliseconds. */
import type { RouteName, Service } from './platformDocuments.js';

/** The outcomes of a request from the view of its caller. */
export const RequestOutcome = {
  /** A response with a status below 500 arrived. */
  Answered: 'answered',
  /** A response with status 503 arrived, which states that the request did not run. */
  NotRun: 'not-run',
  /** A response with any other error status arrived. */
  Failed: 'failed',
  /** The connection ended before a complete response arrived. */
  ConnectionLost: 'broken',
  /** The caller closed the connection before a response arrived. */
  Aborted: 'left',
  /** No complete response arrived in time. */
  TimedOut: 'silent',
  /** The connection was refused. */
  ConnectFailed: 'unreached',
} as const;
export type RequestOutcome = (typeof RequestOutcome)[keyof typeof RequestOutcome];

/** A request of a caller. */
export interface SentRequest {
  readonly id: string;
  readonly route: RouteName;
  /** The index of the host whose node received the request. */
  readonly host: number;
  /** The number of the node process on that host, counted from 1. */
  readonly processNumber: number;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly outcome: RequestOutcome;
  /** How long the caller waits for a response, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether the response carries the content of this request. */
  readonly isMatchingResponse: boolean;
  readonly detail: string;
}

/** How an execution ended. */
export const ExecutionEnd = {
  /** The backend server sent its answer. */
  Completed: 'completed',
  /** The connection ended while the backend server was at work. */
  Cut: 'cut',
  /** The backend server itself ended, or sent something else than an answer. */
  ServerEnded: 'server-ended',
} as const;
export type ExecutionEnd = (typeof ExecutionEnd)[keyof typeof ExecutionEnd];

/** An execution of a request by a backend server. */
export interface Execution {
  readonly requestId: string;
  readonly service: Service;
  readonly backendServerId: string;
  /** The index of the host that the backend server is on. */
  readonly host: number;
  readonly atMs: number;
  /** How it ended; undefined while it goes on. */
  end?: ExecutionEnd;
}

/** The kinds of disturbance, by the invariants that each may suspend. */
export const DisturbanceKind = {
  /** A process was killed or a connection was faulty: time limits do not apply. */
  Failure: 'trouble',
  /** A process was frozen: time limits do not apply, but the data that arrived meanwhile is kept. */
  Freeze: 'pause',
  /** Connections between nodes were slow and datagrams were not: late, but no reason to end a request. */
  SlowConnections: 'slow-connections',
  /** The store alone was faulty: requests that a node has already accepted are not affected. */
  StoreFault: 'store',
  /** A node or backend server was stopped as planned: no request is lost; its state starts empty. */
  Planned: 'planned',
  /** The process of the soak test was blocked: it recorded events later than they happened. */
  ObserverDelay: 'late-observation',
} as const;
export type DisturbanceKind = (typeof DisturbanceKind)[keyof typeof DisturbanceKind];

/** The kinds of disturbance that affect the fleet itself. */
const FLEET_DISTURBANCE_KINDS = Object.values(DisturbanceKind).filter(
  (kind) => kind !== DisturbanceKind.ObserverDelay,
);

/** The time span in which one host, or all of them, were disturbed. */
export interface Disturbance {
  readonly kind: DisturbanceKind;
  /** The index of the host, or undefined for all hosts. */
  readonly host: number | undefined;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A backend server whose departure its node confirmed. */
export interface Departure {
  readonly host: number;
  readonly backendServerId: string;
  readonly confirmedAtMs: number;
}

/** A planned stop of a node. */
export interface NodeStop {
  readonly host: number;
  /** When its node got the signal first. */
  readonly atMs: number;
}

/** A request limit that a backend server stated in its answers. */
export interface LimitPeriod {
  readonly host: number;
  readonly backendServerId: string;
  readonly perSecond: number;
  /** When an answer stated it first. */
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A backend server that ended because it ran a request with some content. */
export interface ServerEnd {
  readonly content: string;
  readonly backendServerId: string;
  readonly atMs: number;
}

/** A version of the configuration and the time at which the store accepted it. */
export interface Publication {
  readonly version: number;
  readonly atMs: number;
}

/** A node process that exited unrequested, or a planned stop that failed. */
export interface UnexpectedExit {
  readonly host: number;
  readonly detail: string;
}

/** Collects all observations of one soak run. */
export class SoakRecord {
  readonly requests: SentRequest[] = [];

  readonly executions: Execution[] = [];

  readonly disturbances: Disturbance[] = [];

  readonly departures: Departure[] = [];

  readonly nodeStops: NodeStop[] = [];

  readonly limitPeriods: LimitPeriod[] = [];

  readonly serverEnds: ServerEnd[] = [];

  readonly publications: Publication[] = [];

  readonly unexpectedExits: UnexpectedExit[] = [];

  /** The processes that were killed for their memory. */
  readonly memoryExcesses: UnexpectedExit[] = [];

  /** The highest resident memory of a process, in megabytes. */
  peakMemoryMb = 0;

  /** The time at which the last disturbance ended. */
  faultsEndedAtMs = Infinity;

  /**
   * @param host - the index of the host
   * @param fromMs - the start of the time span, in milliseconds
   * @param untilMs - the end of the time span, in milliseconds
   * @param kinds - the kinds of disturbance to look for
   * @returns whether no disturbance of these kinds overlaps the time span on this host
   */
  isUndisturbed(
    host: number,
    fromMs: number,
    untilMs: number,
    kinds: readonly DisturbanceKind[] = FLEET_DISTURBANCE_KINDS,
  ): boolean {
    return !this.disturbances.some(
      (disturbance) =>
        kinds.includes(disturbance.kind) &&
        (disturbance.host === undefined || disturbance.host === host) &&
        disturbance.fromMs <= untilMs &&
        disturbance.untilMs >= fromMs,
    );
  }
}
