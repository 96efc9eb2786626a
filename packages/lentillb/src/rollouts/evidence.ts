/** Counts the answers of a backend server while a rollout order is open, for the reports of its gate. */

/** The answers of one route. Arrays keep reports small enough for one packet. */
export interface RouteEvidence {
  readonly routeHash: number;
  readonly answers: number;
  readonly bad: number;
  /** The time of all answers, in milliseconds. */
  readonly totalMs: number;
  /** The sum of the logarithms of the times, and that of their squares, from which their spread follows. */
  readonly logSum: number;
  readonly logSquares: number;
}

/** A route without answers. */
export const NO_ROUTE_EVIDENCE: Omit<RouteEvidence, 'routeHash'> = {
  answers: 0,
  bad: 0,
  totalMs: 0,
  logSum: 0,
  logSquares: 0,
};

/** What a gate has seen of its backend server since it learnt of a rollout order. */
export interface EvidenceReport {
  readonly service: string;
  /** The offset of the rollout order. */
  readonly offset: number;
  readonly host: string;
  /** Identifies the process of the node and the run of the backend server; counts restart with them. */
  readonly run: number;
  readonly version: string;
  /** The stage that the gate knows. */
  readonly stage: number;
  readonly inFlight: number;
  readonly answers: number;
  readonly bad: number;
  /** Whether the gate takes no requests because of bad answers. */
  readonly stopped: boolean;
  readonly routes: readonly RouteEvidence[];
}

/** The outcome of one request. */
export interface ObservedAnswer {
  readonly routeHash: number;
  readonly isBad: boolean;
  /** Whether a bad answer is a failure of the backend server itself, not a deadline that passed. */
  readonly isFailure: boolean;
  readonly durationMs: number;
}

/** A gate stops at this many bad answers in a row. */
const MAX_BAD_IN_ROW = 5;
/** A gate stops at this many bad answers among its last ones. */
const MAX_BAD_AMONG_LAST = 8;
/** The number of last answers that are compared. */
const LAST_ANSWERS = 40;
/** The number of routes in a report, the busiest ones, so that it fits into one packet. */
const MAX_ROUTES_PER_REPORT = 16;
/** The shortest time that is told apart, in milliseconds. */
const MIN_DURATION_MS = 0.5;

/** The answers of one version at one gate. */
export class EvidenceCounter {
  private answers = 0;

  private bad = 0;

  private badInRow = 0;

  private last: boolean[] = [];

  private readonly routes = new Map<number, RouteEvidence>();

  /** The totals of the report. */
  get totals(): Pick<EvidenceReport, 'answers' | 'bad' | 'routes'> {
    const routes = [...this.routes.values()]
      .sort((left, right) => right.answers - left.answers)
      .slice(0, MAX_ROUTES_PER_REPORT);
    return { answers: this.answers, bad: this.bad, routes };
  }

  /** Whether the last answers show that the backend server fails. */
  get showsFailure(): boolean {
    return (
      this.badInRow >= MAX_BAD_IN_ROW || this.last.filter(Boolean).length >= MAX_BAD_AMONG_LAST
    );
  }

  /** Judges only answers from now on by `showsFailure`. */
  forgetLast(): void {
    this.badInRow = 0;
    this.last = [];
  }

  /** @param answer - the outcome of a request */
  record({ durationMs, isBad, isFailure, routeHash }: ObservedAnswer): void {
    const known = this.routes.get(routeHash) ?? NO_ROUTE_EVIDENCE;
    const logarithm = Math.log(Math.max(MIN_DURATION_MS, durationMs));
    const increment = isBad ? 1 : 0;
    this.answers += 1;
    this.bad += increment;
    this.badInRow = isFailure ? this.badInRow + 1 : 0;
    this.last = [...this.last.slice(1 - LAST_ANSWERS), isFailure];
    this.routes.set(routeHash, {
      routeHash,
      answers: known.answers + 1,
      bad: known.bad + increment,
      totalMs: known.totalMs + durationMs,
      logSum: known.logSum + logarithm,
      logSquares: known.logSquares + logarithm * logarithm,
    });
  }
}
