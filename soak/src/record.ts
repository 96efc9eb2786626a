/** What callers and backend servers saw in one run of the soak; times are monotonic milliseconds. */
import type { RouteName, Service } from './platformDocuments.js';

/** What became of a request, as its caller saw it. */
export const Told = {
  /** A success of a backend server. */
  Answered: 'answered',
  /** A refusal that says the request did not run. */
  NotRun: 'not-run',
  /** Any other failure. */
  Failed: 'failed',
  /** The connection ended without an answer. */
  Broken: 'broken',
  /** The caller left before an answer came. */
  Left: 'left',
  /** No answer came in time. */
  Silent: 'silent',
  /** No connection could be opened. */
  Unreached: 'unreached',
} as const;
export type Told = (typeof Told)[keyof typeof Told];

/** One request of a caller. */
export interface SentRequest {
  readonly id: string;
  readonly route: RouteName;
  /** The index of the host whose node it was sent to, and which life of it. */
  readonly host: number;
  readonly life: number;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly told: Told;
  /** Whether the answer carries this request's own content. */
  readonly isOwnAnswer: boolean;
  readonly detail: string;
}

/** One run at a backend server. */
export interface ObservedRun {
  readonly requestId: string;
  readonly service: Service;
  readonly backendServer: string;
  /** The index of the host that the backend server is on. */
  readonly host: number;
  readonly atMs: number;
}

/** What a disturbance excuses. */
export const DisturbanceKind = {
  /** A kill or a disturbed connection: bounds of time do not hold. */
  Trouble: 'trouble',
  /** A freeze: bounds of time do not hold, but all that arrived meanwhile is there afterwards. */
  Pause: 'pause',
  /** The store alone; requests already taken must not suffer. */
  Store: 'store',
  /** A planned stop; nothing may be lost, but the next process starts anew. */
  Planned: 'planned',
  /** The soak's own process read late: the times it noted are later than what they are of. */
  LateObservation: 'late-observation',
} as const;
export type DisturbanceKind = (typeof DisturbanceKind)[keyof typeof DisturbanceKind];

/** What is done to the fleet. */
const DONE_TO_FLEET = Object.values(DisturbanceKind).filter(
  (kind) => kind !== DisturbanceKind.LateObservation,
);

/** Something done to a host, or to all of them. */
export interface Disturbance {
  readonly kind: DisturbanceKind;
  /** The index of the host; undefined: all. */
  readonly host: number | undefined;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A backend server whose departure its node confirmed. */
export interface Departure {
  readonly host: number;
  readonly backendServer: string;
  readonly confirmedAtMs: number;
}

/** A version and when the store took it. */
export interface Publication {
  readonly version: number;
  readonly atMs: number;
}

/** The end of a node's process that nobody asked for, or of a planned stop that failed. */
export interface OddEnd {
  readonly host: number;
  readonly detail: string;
}

/** Everything seen in one run of the soak. */
export class SoakRecord {
  readonly requests: SentRequest[] = [];

  readonly runs: ObservedRun[] = [];

  readonly disturbances: Disturbance[] = [];

  readonly departures: Departure[] = [];

  readonly publications: Publication[] = [];

  readonly oddEnds: OddEnd[] = [];

  /** When the last disturbance was over. */
  calmFromMs = Infinity;

  /**
   * @param host - the index of a host
   * @param fromMs - the start of a span
   * @param untilMs - its end
   * @param excusing - the kinds that count
   * @returns whether nothing of these kinds was done to the host in the span
   */
  isCalm(
    host: number,
    fromMs: number,
    untilMs: number,
    excusing: readonly DisturbanceKind[] = DONE_TO_FLEET,
  ): boolean {
    return !this.disturbances.some(
      (one) =>
        excusing.includes(one.kind) &&
        (one.host === undefined || one.host === host) &&
        one.fromMs <= untilMs &&
        one.untilMs >= fromMs,
    );
  }
}
