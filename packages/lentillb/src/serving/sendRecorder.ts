/** Records on what state requests are sent to other processes, and reports those sent too late. */
import { CancelReason } from '../calls/cancellation.js';
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import type { PendingInputTracker } from '../utils/pendingInput.js';
import type { ForwardedRequest } from './messages.js';

/**
 * The time after a send within which the disconnection of the caller is reported, in milliseconds. A
 * disconnection that is read this soon had probably arrived before the send.
 */
const MAX_REPORTED_MS = 50;

/** The processes that requests are sent to. */
export const Receiver = { Gate: 'gate', BackendServer: 'backend-server' } as const;
export type Receiver = (typeof Receiver)[keyof typeof Receiver];

/** On what state a request was sent. */
export interface RecordedSend {
  /** The time at which it was sent, in milliseconds of the monotonic clock. */
  readonly atMs: number;
  /** The age of the state of the connections then, in milliseconds. */
  readonly inputAgeMs: number;
  /** The number of requests sent since the last poll of the sockets, this one included. */
  readonly sentSincePoll: number;
  /** Whether other answers have come on the connection before. */
  readonly onReusedConnection: boolean;
}

/** Records the requests that a node sends. */
export class SendRecorder {
  /** The poll that was the last one at the last send. */
  private poll = 0;

  /** The number of requests sent since that poll. */
  private sentSincePoll = 0;

  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly input: Pick<PendingInputTracker, 'ageMs' | 'polls'>;
      readonly log: DecisionLog;
      readonly metrics: MetricsRegistry;
    },
  ) {}

  /**
   * Records a request that has just been sent.
   *
   * @param onReusedConnection - whether other answers have come on the connection before
   * @returns the record of it
   */
  record(onReusedConnection: boolean): RecordedSend {
    const { clock, input } = this.services;
    return {
      atMs: clock.monotonicMs(),
      inputAgeMs: input.ageMs(),
      sentSincePoll: this.countSincePoll(),
      onReusedConnection,
    };
  }

  /**
   * Reports a request whose caller turned out to have left, if that was read soon after it was sent.
   *
   * @param request - the request, which has been cancelled
   * @param receiver - the process that it was sent to
   * @param sent - the record of the send
   */
  reportDeparture(
    { cancellation, requestId }: ForwardedRequest,
    receiver: Receiver,
    { atMs, inputAgeMs, onReusedConnection, sentSincePoll }: RecordedSend,
  ): void {
    const { clock, log, metrics } = this.services;
    const leftAfterMs = clock.monotonicMs() - atMs;
    if (cancellation.reason !== CancelReason.CallerGone || leftAfterMs > MAX_REPORTED_MS) {
      return;
    }
    metrics.count('sent_before_departure_was_read', { receiver });
    log.record(Importance.Notable, 'sent-before-departure-was-read', {
      requestId,
      receiver,
      leftAfterMs: Math.round(leftAfterMs),
      inputAgeMs: Math.round(inputAgeMs),
      sentSincePoll,
      onReusedConnection,
    });
  }

  private countSincePoll(): number {
    const { polls } = this.services.input;
    this.sentSincePoll = polls === this.poll ? this.sentSincePoll + 1 : 1;
    this.poll = polls;
    return this.sentSincePoll;
  }
}
