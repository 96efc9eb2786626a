/** The names of the headers that callers, nodes and backend servers exchange. */
export interface HeaderNames {
  /** The header with the identity of a caller's request. */
  readonly requestId: string;
  /** The header with the time that the caller waits for an answer, in milliseconds. */
  readonly deadlineMs: string;
  /** The header by which a backend server proves that an answer is its own. */
  readonly seal: string;
  /** The header with the identity of the backend server run that a request is for. */
  readonly expectedInstance: string;
  /** The header that a backend server sets in the answer to a request it did not run. */
  readonly notRun: string;
  /** The header with the service on whose host the request originated. */
  readonly callerService: string;
  /** The header with the name of the customer that a request belongs to. */
  readonly customer: string;
  /** The header in which a backend server states how many requests per second it takes. */
  readonly requestLimit: string;
  /** The header in which a backend server states that it is about to leave. */
  readonly leaving: string;
}
