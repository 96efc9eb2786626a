/**
 * Decides when a request may be acted on: only while its caller is known to be there, that is, if the
 * end of the caller's connection would have been read by now, and only before its deadline. The
 * decision holds for the turn of the event loop in which it is made; whatever waits needs another one.
 */
import type { Clock } from '../kernel/clock.js';
import type { PendingInputTracker } from '../utils/pendingInput.js';
import type { Cancellation } from './cancellation.js';
import { CancelReason } from './cancellation.js';

/** The parts of a request by which it is decided whether its caller still awaits an answer. */
export interface AwaitedRequest {
  readonly cancellation: Cancellation;
  /** The deadline, in milliseconds of the monotonic clock. */
  readonly deadlineAtMs: number;
}

/** Decides whether requests may be acted on. */
export class CallerPresence {
  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly input: Pick<PendingInputTracker, 'isCurrent' | 'waitUntilCurrent' | 'waitUntilRead'>;
    },
  ) {}

  /** @returns whether a decision can be made without reading input first */
  isKnown(): boolean {
    return this.services.input.isCurrent();
  }

  /**
   * Waits until the caller of a request that has just been read is known to be there, or to have left.
   */
  awaitArrival(): Promise<void> {
    return this.services.input.waitUntilRead();
  }

  /**
   * Decides whether a request that has just been read may be acted on, after reading what came behind it.
   *
   * @param request - the request
   * @returns the reason why it may not be acted on; undefined if it may be, in this turn
   */
  async confirmArrival(request: AwaitedRequest): Promise<CancelReason | undefined> {
    await this.awaitArrival();
    return this.confirm(request);
  }

  /**
   * Decides whether a request may be sent to another process, after reading pending input if necessary.
   *
   * @param request - the request
   * @returns the reason why it may not be sent; undefined if it may be, in this turn of the event loop
   */
  async confirm(request: AwaitedRequest): Promise<CancelReason | undefined> {
    if (!this.isKnown()) {
      await this.services.input.waitUntilCurrent();
    }
    return this.refusalOf(request);
  }

  /**
   * Judges a request by the input that has been read.
   *
   * @param request - the request
   * @returns the reason why it may not be sent; undefined if there is none
   */
  refusalOf({ cancellation, deadlineAtMs }: AwaitedRequest): CancelReason | undefined {
    if (cancellation.reason !== undefined) {
      return cancellation.reason;
    }
    const isOver = this.services.clock.monotonicMs() >= deadlineAtMs;
    return isOver ? CancelReason.DeadlinePassed : undefined;
  }
}
