/** Bounds the number of pipelined requests that are read in one turn of the event loop. */
import { runInBackground } from '../utils/background.js';
import { waitForPendingInput } from '../utils/pendingInput.js';

/**
 * The number of pipelined requests in one turn of the event loop after which no more are read in it. The
 * parser creates all requests of a read, some thousands, and the memory of those that are refused is free
 * only once their connection has been closed, at the end of the turn.
 */
const MAX_REQUESTS_PER_TURN = 1_000;

/** Stops reading from all connections of a listener for the rest of a turn. */
export class PipelineLimit {
  private requests = 0;

  private isWaiting = false;

  /** @param reading - stops reading from all connections, and goes on with it */
  constructor(private readonly reading: { readonly stop: () => void; readonly goOn: () => void }) {}

  /** Counts a request that was read behind another one of its connection. */
  count(): void {
    this.requests += 1;
    if (this.requests === MAX_REQUESTS_PER_TURN) {
      this.reading.stop();
    }
    if (!this.isWaiting) {
      this.isWaiting = true;
      runInBackground(this.waitForTurn());
    }
  }

  private async waitForTurn(): Promise<void> {
    await waitForPendingInput();
    const wasStopped = this.requests >= MAX_REQUESTS_PER_TURN;
    this.requests = 0;
    this.isWaiting = false;
    if (wasStopped) {
      this.reading.goOn();
    }
  }
}
