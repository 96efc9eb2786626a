/** Names the statuses of HTTP that tell a caller that its request has not run and never will. */

const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Checks what a status promises. Callers send a request again after such a status, so the answer of a
 * backend server that has run the request must not reach its caller with one.
 *
 * @param status - the status of an answer
 * @returns whether the status promises that the request has not run and never will
 */
export function promisesNotRun(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}
