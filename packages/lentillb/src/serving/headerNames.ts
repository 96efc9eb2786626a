/** Holds the names of the headers that callers, nodes and backend servers exchange. */
export interface HeaderNames {
  /** Names the header with the identity of a caller's request. */
  readonly requestId: string;
  /** Names the header with the time that the caller waits for an answer, in milliseconds. */
  readonly deadlineMs: string;
  /** Names the header by which a backend server proves that an answer is its own. */
  readonly seal: string;
  /** Names the header with the identity of the backend server run that a request is for. */
  readonly expectedInstance: string;
  /** Names the header that a backend server sets in the answer to a request it did not run. */
  readonly notRun: string;
  /** Names the header with the service on whose host the request originated. */
  readonly callerService: string;
}
