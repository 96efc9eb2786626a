/** Classifies the statuses of answers. */

/** The lowest status of a final answer; lower ones are interim answers. */
export const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;
/** The statuses by which a caller learns that its request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Checks the status of an answer. Node.js throws where some others are passed on.
 *
 * @param status - the status
 * @returns whether a final answer can have it
 */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}

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
