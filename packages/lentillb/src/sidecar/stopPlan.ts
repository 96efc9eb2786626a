/**
 * Plans the steps of a planned stop, so that they end within the time that the platform allows before
 * it kills the process. The design note 012 has the sum.
 */

/** Time for callers to move to other nodes, in milliseconds: two readiness checks, and a margin. */
const CALLER_MOVE_MS = 2_600;
/** The maximum share of the time of a stop for that. */
const MAX_CALLER_MOVE_SHARE = 0.45;
/** The time reserved for exiting on a busy processor, in milliseconds: a ninth of the usual stop time. */
const EXIT_RESERVE_MS = 700;
/** The maximum share of the time of a stop that is reserved for that. */
const MAX_EXIT_SHARE = 0.2;
/** Time reserved for the longest runs, in milliseconds. Their usual time does not bound them. */
const LONGEST_RUN_MS = 1_200;
/** The maximum share of the time of a stop for that. */
const MAX_LONGEST_RUN_SHARE = 0.2;
/** Time before the end in which connections are no longer accepted, in milliseconds. */
const LAST_ANSWERS_MS = 200;
/** The maximum share of the time of a stop for that. */
const MAX_LAST_ANSWERS_SHARE = 0.05;

/** When each step of a planned stop begins, in milliseconds of the monotonic clock. */
export interface StopPlan {
  /** Callers are told to move, and only what is expected to end in time is taken. */
  readonly startsAtMs: number;
  /** Callers have moved. The gate takes nothing more and gives back what waits. */
  readonly gateClosesAtMs: number;
  /** What comes later is taken only if its own deadline lies before the end. */
  readonly lastTakenAtMs: number;
  /** No connections are accepted any more, even if a run on this host may still make calls. */
  readonly listenerClosesAtMs: number;
  /** What is still in flight is ended, and the process exits. */
  readonly endsAtMs: number;
}

/**
 * Plans a stop.
 *
 * @param startsAtMs - when the stop begins, in milliseconds of the monotonic clock
 * @param timeoutMs - the time after which the platform kills the process, in milliseconds
 * @returns the times of the steps
 */
export function planStop(startsAtMs: number, timeoutMs: number): StopPlan {
  const exitMs = Math.min(EXIT_RESERVE_MS, timeoutMs * MAX_EXIT_SHARE);
  const endsAtMs = startsAtMs + timeoutMs - exitMs;
  return {
    startsAtMs,
    gateClosesAtMs: startsAtMs + Math.min(CALLER_MOVE_MS, timeoutMs * MAX_CALLER_MOVE_SHARE),
    lastTakenAtMs: endsAtMs - Math.min(LONGEST_RUN_MS, timeoutMs * MAX_LONGEST_RUN_SHARE),
    listenerClosesAtMs: endsAtMs - Math.min(LAST_ANSWERS_MS, timeoutMs * MAX_LAST_ANSWERS_SHARE),
    endsAtMs,
  };
}
