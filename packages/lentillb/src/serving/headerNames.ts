/** The names that callers and backend servers give to the headers the system reads and sets. */
export interface HeaderNames {
  /** The identity of one request of a caller. */
  readonly requestId: string;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs: string;
  /** The backend server's proof that an answer is its own. */
  readonly seal: string;
  /** The run of a backend server that a request is meant for. */
  readonly expectedInstance: string;
  /** Set by a backend server that did not run a request. */
  readonly notRun: string;
  /** The service on whose host a request began. */
  readonly callerService: string;
}
