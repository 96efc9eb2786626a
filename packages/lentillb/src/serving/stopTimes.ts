/** Judges requests against the end of a node that is being stopped. */

/** When the steps of a planned stop begin that requests are judged by, in milliseconds of the clock. */
export interface StopTimes {
  /** By when callers have moved to other nodes. */
  readonly gateClosesAtMs: number;
  /**
   * From when on only requests are taken whose own deadline lies before the end, so that runs that last
   * far longer than usual are not cut.
   */
  readonly lastTakenAtMs: number;
  /** When the node ends. */
  readonly endsAtMs: number;
}

/** The factor on the usual time of a request within which it is expected to end. */
const USUAL_TIME_FACTOR = 1.5;
/**
 * The factor once callers have moved to other nodes: a few runs in a hundred last seven times as long as
 * usual, and an entry may not have seen one of its route.
 */
const LONGEST_TIME_FACTOR = 7;

/**
 * Checks whether a request is expected to end before its node does.
 *
 * @param stop - the times of the stop
 * @param nowMs - the current time, in milliseconds of the clock
 * @param request - how long requests of its route usually take and have taken at most lately, and when
 *   it ends at the latest, in milliseconds
 * @returns whether it may be taken
 */
export function endsInTime(
  stop: StopTimes,
  nowMs: number,
  request: {
    readonly deadlineAtMs: number;
    readonly usualMs: number;
    readonly longestMs: number;
  },
): boolean {
  const { deadlineAtMs, longestMs, usualMs } = request;
  const endsByItself = deadlineAtMs < stop.endsAtMs;
  const mostEndInTime = nowMs <= stop.lastTakenAtMs && nowMs + longestMs <= stop.endsAtMs;
  const haveCallersMoved = nowMs > stop.gateClosesAtMs;
  const factor = endsByItself || !haveCallersMoved ? USUAL_TIME_FACTOR : LONGEST_TIME_FACTOR;
  return (endsByItself || mostEndInTime) && nowMs + usualMs * factor <= stop.endsAtMs;
}
