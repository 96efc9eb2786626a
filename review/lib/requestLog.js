/** Keeps what was sent, run and answered, for the record of a case. */

/** The requests of a case by attempt id. */
export class RequestLog {
  #requests = new Map();

  #startedAtMs = Date.now();

  /** Notes that a client sends a request to a node. */
  sent(attempt, machine) {
    this.#note(attempt, `sent to ${machine}`);
  }

  /** Notes that a backend begins to work on a request. */
  ran(attempt, machine) {
    this.#note(attempt, `runs at ${machine}`);
  }

  /** Notes the status that a client got, or how its connection ended. */
  answered(attempt, { error, status = error }) {
    this.#note(attempt, `answered ${status}`);
  }

  /** Writes one line for each request. */
  writeTo(record) {
    record(`${this.#requests.size} requests, with times in ms since the case began:`);
    this.#requests.forEach((events, attempt) => record(`request ${attempt}: ${events.join(', ')}`));
  }

  #note(attempt, event) {
    const events = this.#requests.get(attempt) ?? [];
    this.#requests.set(attempt, [...events, `${event} at ${Date.now() - this.#startedAtMs}`]);
  }
}
