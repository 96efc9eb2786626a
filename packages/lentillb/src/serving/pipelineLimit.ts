/** Bounds the number of pipelined requests that are read in one turn of the event loop. */
import { runInBackground } from '../utils/background.js';
import { waitForPendingInput } from '../utils/pendingInput.js';

/**
 * The number of pipelined requests in one turn of the event loop after which no more are read in it. The
 * parser creates all requests of a read, some thousands, and the memory of those that are refused is free
 * only once their connection has been closed, at the end of the turn.
 */
const MAX_REQUESTS_PER_TURN = 1_000;

/** The connections of a listener, from which reading can be stopped. */
export interface StoppableReading {
  /** Stops reading from all connections. */
  readonly stop: () => void;
  /**
   * Reads on from those connections that are due in the next turn.
   *
   * @returns whether all connections are read again
   */
  readonly goOn: () => boolean;
}

/** Stops reading from the connections of a listener for the rest of a turn. */
export class PipelineLimit {
  private requests = 0;

  private isWaiting = false;

  private isStopped = false;

  /** @param reading - the connections of the listener */
  constructor(private readonly reading: StoppableReading) {}

  /** Counts a request that was read behind another one of its connection. */
  count(): void {
    this.requests += 1;
    if (this.requests === MAX_REQUESTS_PER_TURN) {
      this.isStopped = true;
      this.reading.stop();
    }
    if (!this.isWaiting) {
      this.isWaiting = true;
      runInBackground(this.waitForTurns());
    }
  }

  private async waitForTurns(): Promise<void> {
    do {
      await waitForPendingInput();
      this.requests = 0;
      if (this.isStopped) {
        this.isStopped = !this.reading.goOn();
      }
    } while (this.isStopped);
    this.isWaiting = false;
  }
}
