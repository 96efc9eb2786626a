/**
 * Finds connections to other nodes that have gone silent without a reset, while their hosts are
 * heard. Nothing on a connection tells a long run from a lost request, so the node of a request that
 * takes longer than usual is asked by datagram what has become of it. This costs nothing while
 * requests are answered in their usual time.
 */
import type { Socket } from 'node:net';
import type { DeliveryReply } from '../directory/delivery.js';
import { DeliveryState } from '../directory/delivery.js';
import type { Clock } from '../kernel/clock.js';
import { runInBackground } from '../utils/background.js';
import { waitForPendingInput } from '../utils/pendingInput.js';

/** Shortest and longest time between two inquiries about a request, in milliseconds. */
const MIN_INTERVAL_MS = 80;
const MAX_INTERVAL_MS = 400;
/** The time until the next inquiry about a request that is in progress, in milliseconds. */
const IN_PROGRESS_INTERVAL_MS = 300;
/**
 * The age from which a request is asked for at once when another connection to its host has gone
 * silent, in milliseconds: many round trips between zones.
 */
const MIN_AGE_MS = 20;
/**
 * How long after a request was sent a node is believed that it has not run, in milliseconds: half of
 * the time for which gates remember requests.
 */
const MAX_CLAIM_AGE_MS = 5_000;

/** Time between two readings of the clock offset, in milliseconds; longer than until a request is watched. */
const OFFSET_INTERVAL_MS = 1_000;

/** A reading of how far the time of day is ahead of the monotonic clock, both in milliseconds. */
interface ClockOffset {
  readonly offsetMs: number;
  readonly readAtMs: number;
}

/** The possible fates of a request on a silent connection. */
export const LostDelivery = {
  /** The request has not run and will not run at this gate. */
  NotRun: 'not-run',
  /** The request may have run; its answer will not come. */
  AnswerLost: 'answer-lost',
} as const;
export type LostDelivery = (typeof LostDelivery)[keyof typeof LostDelivery];

/** What a delivery was judged by, for the log. */
export interface DeliveryEvidence {
  readonly reply: DeliveryReply;
  /** How often the node was asked. */
  readonly inquiries: number;
}

/** A request that has been sent to another node. */
export interface Delivery {
  /** The key under which it was sent. */
  readonly key: string;
  /** The address and port at which the node answers other nodes. */
  readonly peerAddress: string;
  readonly socket: Socket;
  /** When the request was sent, in milliseconds of the monotonic clock. */
  readonly sentAtMs: number;
  /**
   * The process that was heard at the gate before the request was sent; undefined if none was. If it
   * is heard after the request was sent, too, no other process can have got the request.
   */
  readonly processId: number | undefined;
  /** How long the request usually takes at most, in milliseconds. */
  readonly usualMs: number;
  /**
   * Called once if the connection has gone silent.
   *
   * @param fate - the fate of the request
   * @param evidence - what the fate was judged by
   */
  readonly onLost: (fate: LostDelivery, evidence: DeliveryEvidence) => void;
}

/** What is known of a delivery; times are in milliseconds of the monotonic clock. */
interface MonitoredDelivery {
  readonly delivery: Delivery;
  /**
   * How far the time of day was ahead of the monotonic clock before the request was sent; it grows while
   * a host is suspended.
   */
  readonly clockOffsetMs: number;
  /** What had been received on the connection when the watch began, in bytes. */
  readonly bytesBefore: number;
  /** When the node is asked next. */
  inquiryAtMs: number;
  intervalMs: number;
  /** Whether the node has said before that the answer had been sent. */
  hasEnded: boolean;
  inquiries: number;
}

/** Asks what has become of requests that are not answered in their usual time. */
export class DeliveryMonitor {
  private readonly deliveries = new Map<string, MonitoredDelivery>();

  /** The last clock offset that was read; read now and then only. */
  private clockOffset: ClockOffset;

  private previousClockOffset: ClockOffset;

  private readonly reactions: Readonly<
    Record<DeliveryState, (monitored: MonitoredDelivery, reply: DeliveryReply) => void>
  > = {
    [DeliveryState.NotRun]: (monitored, reply) => {
      const isCertain = monitored.delivery.processId !== undefined && this.isRecent(monitored);
      this.lose(monitored, isCertain ? LostDelivery.NotRun : LostDelivery.AnswerLost, reply);
    },
    [DeliveryState.InProgress]: (monitored) => {
      const inquiryAtMs = this.clock.monotonicMs() + IN_PROGRESS_INTERVAL_MS;
      Object.assign(monitored, { inquiryAtMs });
    },
    [DeliveryState.Ended]: (monitored, reply) => {
      // The answer may still be in transit the first time.
      if (monitored.hasEnded) {
        this.lose(monitored, LostDelivery.AnswerLost, reply);
        return;
      }
      const inquiryAtMs = this.clock.monotonicMs() + MIN_INTERVAL_MS;
      Object.assign(monitored, { hasEnded: true, inquiryAtMs });
    },
  };

  /**
   * @param clock - the clock for the intervals between inquiries
   * @param sendInquiry - asks the node at an address and port for the request with a key
   */
  constructor(
    private readonly clock: Clock,
    private readonly sendInquiry: (peerAddress: string, key: string) => void,
  ) {
    this.clockOffset = { offsetMs: this.readClockOffset(), readAtMs: clock.monotonicMs() };
    this.previousClockOffset = this.clockOffset;
  }

  /**
   * Watches a request that was sent lately, less than the interval between two readings of the offset
   * of the clocks ago.
   *
   * @param delivery - the request
   * @returns a function that ends the watch
   */
  watch(delivery: Delivery): () => void {
    const { key, sentAtMs, socket, usualMs } = delivery;
    if (this.deliveries.has(key)) {
      // Two requests with the same identity cannot be told apart.
      return () => undefined;
    }
    const wasReadBefore = this.clockOffset.readAtMs <= sentAtMs;
    const { offsetMs } = wasReadBefore ? this.clockOffset : this.previousClockOffset;
    const monitored: MonitoredDelivery = {
      delivery,
      clockOffsetMs: offsetMs,
      bytesBefore: socket.bytesRead,
      inquiryAtMs: sentAtMs + usualMs,
      intervalMs: MIN_INTERVAL_MS,
      hasEnded: false,
      inquiries: 0,
    };
    this.deliveries.set(key, monitored);
    return () => this.end(monitored);
  }

  /** Asks for the requests that are overdue. Called every few tens of milliseconds. */
  inquireOverdue(): void {
    const nowMs = this.clock.monotonicMs();
    if (nowMs - this.clockOffset.readAtMs > OFFSET_INTERVAL_MS) {
      this.previousClockOffset = this.clockOffset;
      this.clockOffset = { offsetMs: this.readClockOffset(), readAtMs: nowMs };
    }
    this.deliveries.forEach((monitored) => {
      if (monitored.inquiryAtMs <= nowMs) {
        this.inquire(monitored);
      }
    });
  }

  /**
   * Handles the reply of a node.
   *
   * @param reply - what has become of a request
   */
  receive({ key, processId, state }: DeliveryReply): void {
    const monitored = this.deliveries.get(key);
    if (monitored === undefined) {
      return;
    }
    // Its answer may have arrived as well, and not have been read yet.
    runInBackground(
      waitForPendingInput().then(() => {
        if (this.deliveries.get(key) === monitored && !this.isHeard(monitored)) {
          this.handleReply(monitored, { key, processId, state });
        }
      }),
    );
  }

  private handleReply(monitored: MonitoredDelivery, reply: DeliveryReply): void {
    const { processId, state } = reply;
    const { processId: expectedId } = monitored.delivery;
    if (expectedId !== undefined && expectedId !== processId) {
      // The process that got the request has ended, and its connection with it.
      this.lose(monitored, LostDelivery.AnswerLost, reply);
      return;
    }
    this.reactions[state](monitored, reply);
  }

  /** Whether anything has been received on the connection since the watch began. */
  // eslint-disable-next-line class-methods-use-this -- a helper of the methods above
  private isHeard({ bytesBefore, delivery }: MonitoredDelivery): boolean {
    return delivery.socket.bytesRead > bytesBefore;
  }

  /**
   * Whether the request was sent so lately that its gate remembers it. The time for which this host was
   * suspended counts, too; only the offset of the clocks shows it.
   */
  private isRecent({ clockOffsetMs, delivery }: MonitoredDelivery): boolean {
    const suspendedMs = Math.abs(this.readClockOffset() - clockOffsetMs);
    return this.clock.monotonicMs() - delivery.sentAtMs + suspendedMs < MAX_CLAIM_AGE_MS;
  }

  private readClockOffset(): number {
    return this.clock.now().getTime() - this.clock.monotonicMs();
  }

  private lose(monitored: MonitoredDelivery, fate: LostDelivery, reply: DeliveryReply): void {
    const { onLost, peerAddress } = monitored.delivery;
    this.end(monitored);
    onLost(fate, { reply, inquiries: monitored.inquiries });
    const latestMs = this.clock.monotonicMs() - MIN_AGE_MS;
    [...this.deliveries.values()]
      .filter(({ delivery }) => delivery.peerAddress === peerAddress)
      .filter(({ delivery }) => delivery.sentAtMs <= latestMs)
      .forEach((other) => this.inquire(other));
  }

  private end(monitored: MonitoredDelivery): void {
    const { key } = monitored.delivery;
    if (this.deliveries.get(key) === monitored) {
      this.deliveries.delete(key);
    }
  }

  private inquire(monitored: MonitoredDelivery): void {
    if (this.isHeard(monitored)) {
      return;
    }
    const { key, peerAddress } = monitored.delivery;
    this.sendInquiry(peerAddress, key);
    const { intervalMs } = monitored;
    Object.assign(monitored, {
      inquiries: monitored.inquiries + 1,
      inquiryAtMs: this.clock.monotonicMs() + intervalMs,
      intervalMs: Math.min(MAX_INTERVAL_MS, intervalMs * 2),
    });
  }
}
