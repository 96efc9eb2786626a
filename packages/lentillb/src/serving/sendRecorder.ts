/** Records on what state requests are sent to other processes, and reports those sent too late. */
import type { Cancellation } from '../calls/cancellation.js';
import { CancelReason } from '../calls/cancellation.js';
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import type { PendingInputTracker } from '../utils/pendingInput.js';

/**
 * The time after a send within which the disconnection of the caller is reported, in milliseconds. A
 * disconnection that is read this soon had probably arrived before the send.
 */
const MAX_REPORTED_MS = 50;

/** The processes that requests are sent to. */
export const Receiver = { Gate: 'gate', BackendServer: 'backend-server' } as const;
export type Receiver = (typeof Receiver)[keyof typeof Receiver];

/** A request that has just been sent. */
export interface RecordedSend {
  readonly requestId: string;
  readonly receiver: Receiver;
  readonly cancellation: Cancellation;
  /** Whether other answers have come on the connection before. */
  readonly onReusedConnection: boolean;
}

/** Records the requests that a node sends. */
export class SendRecorder {
  /** The time of the first send in the current turn of the event loop, in milliseconds. */
  private turnStartedMs = 0;

  /** The number of requests sent in the current turn. */
  private sentInTurn = 0;

  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly input: Pick<PendingInputTracker, 'ageMs'>;
      readonly log: DecisionLog;
      readonly metrics: MetricsRegistry;
    },
  ) {}

  /**
   * Records a request that has just been sent, and reports it if its caller turns out to have left.
   *
   * @param sent - the request
   */
  record({ cancellation, onReusedConnection, receiver, requestId }: RecordedSend): void {
    const { clock, input, log, metrics } = this.services;
    const sentAtMs = clock.monotonicMs();
    const inputAgeMs = input.ageMs();
    this.countInTurn(sentAtMs);
    const { sentInTurn } = this;
    const turnMs = sentAtMs - this.turnStartedMs;
    metrics.observe('send_input_age_ms', inputAgeMs, { receiver });
    cancellation.onCancel(() => {
      const leftAfterMs = clock.monotonicMs() - sentAtMs;
      if (cancellation.reason === CancelReason.CallerGone && leftAfterMs <= MAX_REPORTED_MS) {
        log.record(Importance.Notable, 'sent-before-departure-was-read', {
          requestId,
          receiver,
          leftAfterMs: Math.round(leftAfterMs),
          inputAgeMs: Math.round(inputAgeMs),
          turnMs: Math.round(turnMs),
          sentInTurn,
          onReusedConnection,
        });
      }
    });
  }

  private countInTurn(nowMs: number): void {
    if (this.sentInTurn === 0) {
      this.turnStartedMs = nowMs;
      setImmediate(() => {
        this.sentInTurn = 0;
      });
    }
    this.sentInTurn += 1;
  }
}
