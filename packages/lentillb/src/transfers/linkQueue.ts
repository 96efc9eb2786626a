/**
 * Orders the large request bodies that other nodes send over the link of this host. On a link of 7 Mbit/s
 * a body of 60 KB takes 70 ms, and bodies that arrive together delay each other and every small request
 * behind them. A sender therefore reserves the link before it sends a large body, and a request that
 * would be late is refused while nothing of its body has been sent.
 */
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { SmoothedMean } from '../admission/smoothedMean.js';
import { WaitLimit } from '../admission/slotQueue.js';
import type { Cancellation } from '../calls/cancellation.js';
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';

/** The body that a sender asks to send; times are in milliseconds of the monotonic clock. */
export interface BodyTransfer {
  /** The key by which the request is recognized when it arrives. */
  readonly key: string;
  readonly route: string;
  /** The length of the body, in bytes. */
  readonly bytes: number;
  /** The bandwidth of the sender's link in megabits per second, if known. */
  readonly senderMegabits?: number | undefined;
  /** Whether the sender is in another availability zone. */
  readonly crossesZones?: boolean;
  readonly customerPriority: number;
  readonly priority: number;
  readonly targetAtMs: number;
  readonly deadlineAtMs: number;
  readonly waitLimit: WaitLimit;
  /** The expected time to wait for a slot and run once the body has arrived, in milliseconds. */
  readonly expectedMs: number;
  readonly cancellation: Cancellation;
}

/** The refusal of a transfer. */
export interface TransferRefusal {
  /** The expected wait for the link, in milliseconds. */
  readonly waitMs: number;
}

interface WaitingTransfer {
  readonly transfer: BodyTransfer;
  readonly arrivedAtMs: number;
  readonly settle: (result: Result<undefined, TransferRefusal>) => void;
}

interface ActiveTransfer {
  readonly transfer: BodyTransfer;
  readonly arrivedAtMs: number;
  readonly stopTimer: () => void;
}

/** The bytes that one megabit per second carries in a millisecond. */
const BYTES_PER_MEGABIT_MS = 125;
/** The factor on the usual time of a transfer after which its sender is taken for gone. */
const MAX_TRANSFER_FACTOR = 3;
/** The time that a sender may take to begin, in milliseconds. */
const START_ALLOWANCE_MS = 300;
/** The share of the remaining time within which a late request must finish to wait for the link. */
const MAX_LATE_FINISH_SHARE = 0.5;
/** The maximum number of transfers that wait. */
const MAX_WAITING = 64;
/** The time after which the duration of the last transfer says nothing any more, in milliseconds. */
const MAX_DURATION_AGE_MS = 3_000;

function precedes(left: BodyTransfer, right: BodyTransfer): boolean {
  return (
    (left.customerPriority - right.customerPriority ||
      left.priority - right.priority ||
      left.targetAtMs - right.targetAtMs) < 0
  );
}

/** Decides when large bodies are sent over the incoming link of this host. */
export class LinkQueue {
  private readonly waiting: WaitingTransfer[] = [];

  private readonly active = new Map<string, ActiveTransfer>();

  /** The usual time from reservation to arrival by route, in milliseconds. */
  private readonly durations = new Map<string, { mean: SmoothedMean; measuredAtMs: number }>();

  /**
   * @param services - the clock, the log and the metrics
   * @param linkMegabits - the bandwidth of the link of this host in megabits per second; if it is
   *   unknown, no transfer waits
   */
  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly log: Pick<DecisionLog, 'record'>;
      readonly metrics: Pick<MetricsRegistry, 'count' | 'observe'>;
    },
    private readonly linkMegabits: number | undefined,
  ) {}

  /** The number of transfers that wait for the link. */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /**
   * Waits until a body may be sent.
   *
   * @param transfer - the body and the terms of its request
   * @returns nothing once it may be sent, or the refusal of a request that would not be answered in time
   */
  reserve(transfer: BodyTransfer): Promise<Result<undefined, TransferRefusal>> {
    const arrivedAtMs = this.services.clock.monotonicMs();
    if (this.linkMegabits === undefined) {
      return Promise.resolve(Ok(undefined));
    }
    if (this.waiting.length === 0 && this.hasRoomFor(transfer)) {
      this.start(transfer, arrivedAtMs);
      return Promise.resolve(Ok(undefined));
    }
    const waitMs = this.expectedWaitMs(transfer);
    // Another zone gets what this one leaves: where all are short of room, they would only exchange bodies.
    const isForeign = transfer.crossesZones === true;
    if (isForeign || this.waiting.length >= MAX_WAITING || !this.mayWait(transfer, waitMs)) {
      return Promise.resolve(this.refuse(transfer, waitMs));
    }
    return new Promise((resolve) => {
      const entry: WaitingTransfer = { transfer, arrivedAtMs, settle: resolve };
      const index = this.waiting.findIndex((other) => precedes(transfer, other.transfer));
      this.waiting.splice(index < 0 ? this.waiting.length : index, 0, entry);
      transfer.cancellation.onCancel(() => this.withdraw(entry));
    });
  }

  /**
   * Records that the body of a request has arrived, so that the next one may be sent.
   *
   * @param key - the key of the request
   */
  complete(key: string): void {
    const ended = this.active.get(key);
    if (ended === undefined) {
      return;
    }
    const { arrivedAtMs, stopTimer, transfer } = ended;
    stopTimer();
    this.active.delete(key);
    const nowMs = this.services.clock.monotonicMs();
    const { mean } = this.durations.get(transfer.route) ?? { mean: new SmoothedMean() };
    mean.add(nowMs - arrivedAtMs);
    this.durations.set(transfer.route, { mean, measuredAtMs: nowMs });
    this.services.metrics.observe('body_transfer_ms', nowMs - arrivedAtMs, {
      route: transfer.route,
    });
    this.startNext();
  }

  /**
   * Returns the time that bodies of a route have lately taken to arrive, with the wait for the link.
   *
   * @param route - the name of the route
   * @returns the mean time, in milliseconds; 0 if none has arrived lately
   */
  recentMs(route: string): number {
    const { mean, measuredAtMs = -Infinity } = this.durations.get(route) ?? {};
    const ageMs = this.services.clock.monotonicMs() - measuredAtMs;
    return ageMs < MAX_DURATION_AGE_MS ? (mean?.value ?? 0) : 0;
  }

  /** Whether the link has bandwidth left for a sender, beside the senders whose bodies arrive now. */
  private hasRoomFor(transfer: BodyTransfer): boolean {
    const usedMegabits = [...this.active.values()].reduce(
      (sum, { transfer: other }) => sum + this.megabitsOf(other),
      0,
    );
    const isIdle = this.active.size === 0;
    return isIdle || usedMegabits + this.megabitsOf(transfer) <= (this.linkMegabits ?? Infinity);
  }

  /** The bandwidth that a transfer takes: that of the narrower of the two links. */
  private megabitsOf({ senderMegabits = Infinity }: BodyTransfer): number {
    return Math.min(senderMegabits, this.linkMegabits ?? Infinity);
  }

  private durationMs(transfer: BodyTransfer): number {
    return transfer.bytes / (this.megabitsOf(transfer) * BYTES_PER_MEGABIT_MS);
  }

  /** Estimates the wait behind the bodies that arrive now and those that go first. */
  private expectedWaitMs(transfer: BodyTransfer): number {
    const active = [...this.active.values()].map(({ transfer: other }) => other);
    const ahead = this.waiting
      .map(({ transfer: other }) => other)
      .filter((other) => !precedes(transfer, other));
    return [...active, ...ahead].reduce((sum, other) => sum + this.durationMs(other), 0);
  }

  private mayWait(transfer: BodyTransfer, waitMs: number): boolean {
    const nowMs = this.services.clock.monotonicMs();
    const { deadlineAtMs, expectedMs, targetAtMs, waitLimit } = transfer;
    const finishMs = waitMs + this.durationMs(transfer) + expectedMs;
    return waitLimit === WaitLimit.OnTime
      ? nowMs + finishMs <= Math.min(targetAtMs, deadlineAtMs)
      : finishMs <= (deadlineAtMs - nowMs) * MAX_LATE_FINISH_SHARE;
  }

  private refuse(
    { bytes, key, route }: BodyTransfer,
    waitMs: number,
  ): Result<undefined, TransferRefusal> {
    const { log, metrics } = this.services;
    metrics.count('body_transfers_refused', { route });
    log.record(Importance.Ordinary, 'body-transfer-refused', {
      key,
      route,
      bytes,
      waitMs: Math.round(waitMs),
      waiting: this.waiting.length,
    });
    return Err({ waitMs });
  }

  private withdraw(entry: WaitingTransfer): void {
    const index = this.waiting.indexOf(entry);
    if (index >= 0) {
      this.waiting.splice(index, 1);
      entry.settle(Err({ waitMs: 0 }));
    }
  }

  private start(transfer: BodyTransfer, arrivedAtMs: number): void {
    const timeoutMs = START_ALLOWANCE_MS + this.durationMs(transfer) * MAX_TRANSFER_FACTOR;
    const stopTimer = this.services.clock.after(timeoutMs, () => {
      // The sender has ended, or its request went elsewhere.
      this.active.delete(transfer.key);
      this.startNext();
    });
    this.active.set(transfer.key, { transfer, arrivedAtMs, stopTimer });
  }

  private startNext(): void {
    for (;;) {
      const [next] = this.waiting;
      if (next === undefined || !this.hasRoomFor(next.transfer)) {
        return;
      }
      this.waiting.shift();
      const { arrivedAtMs, settle, transfer } = next;
      const endMs =
        this.services.clock.monotonicMs() + this.durationMs(transfer) + transfer.expectedMs;
      if (endMs > transfer.deadlineAtMs) {
        settle(this.refuse(transfer, 0));
      } else {
        this.start(transfer, arrivedAtMs);
        settle(Ok(undefined));
      }
    }
  }
}
