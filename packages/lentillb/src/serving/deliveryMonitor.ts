/**
 * Finds connections to other nodes that have gone silent without a reset, while their hosts are
 * heard. Nothing on a connection tells a long run from a lost request, so the gate of a request that
 * takes longer than usual is asked over another connection what has become of it. This costs nothing
 * while requests are answered in their usual time. A request is given up only once it is certain that
 * it does not run there and will not: a late reply, or none, ends nothing.
 */
import type { Socket } from 'node:net';
import type { Result } from 'ts-results-es';
import type { DeliveryQuestion, DeliveryReply } from '../directory/delivery.js';
import { DeliveryState } from '../directory/delivery.js';
import type { Clock } from '../kernel/clock.js';
import { runInBackground } from '../utils/background.js';
import { waitForPendingInput } from '../utils/pendingInput.js';
import type { ExchangeFailure } from './exchange.js';

/** Shortest and longest time between two inquiries about a request, in milliseconds. */
const MIN_INTERVAL_MS = 80;
const MAX_INTERVAL_MS = 400;
/** The shortest time until the next inquiry about a request that is in progress, in milliseconds. */
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
/**
 * Shortest and longest time between two inquiries at one gate, in milliseconds. An inquiry costs two
 * hosts as much as two requests, and on a busy host new requests become overdue all the time.
 */
const MIN_GATE_INTERVAL_MS = 80;
const MAX_GATE_INTERVAL_MS = 320;
/**
 * The time until a gate is asked again that has sent an answer, in milliseconds; longer than until a
 * segment of the answer that was lost is sent again.
 */
const ENDED_INTERVAL_MS = 300;
/** The maximum number of requests in one inquiry, to bound its length. */
const MAX_QUESTIONS = 128;

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
  /** The request may have run, and its run has ended; its answer will not come. */
  AnswerLost: 'answer-lost',
} as const;
export type LostDelivery = (typeof LostDelivery)[keyof typeof LostDelivery];

/** What a delivery was judged by, for the log. */
export interface DeliveryEvidence {
  readonly state: DeliveryState;
  /** The identity of the process that replied. */
  readonly processId: number | undefined;
  /** How often the gate was asked. */
  readonly inquiries: number;
}

/** A request that has been sent to another node. */
export interface Delivery extends DeliveryQuestion {
  /** The address and port of the gate that it was sent to. */
  readonly gateAddress: string;
  readonly socket: Socket;
  /** When the request was sent, in milliseconds of the monotonic clock. */
  readonly sentAtMs: number;
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

/**
 * Asks a gate what has become of requests.
 *
 * @param gateAddress - the address and port of the gate
 * @param questions - the requests
 * @returns the reply, or why there is none
 */
export type Inquiry = (
  gateAddress: string,
  questions: readonly DeliveryQuestion[],
) => Promise<Result<DeliveryReply, ExchangeFailure>>;

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
  /** When the gate is asked next. */
  inquiryAtMs: number;
  intervalMs: number;
  /** Whether the gate has said before that the answer had been sent. */
  hasEnded: boolean;
  inquiries: number;
}

/** A gate that was asked lately. */
interface AskedGate {
  /** The time until it is asked again, in milliseconds; grows while no request there is lost. */
  readonly intervalMs: number;
  /** When it may be asked again, in milliseconds of the monotonic clock; `Infinity` until it replies. */
  readonly nextAtMs: number;
}

/** Asks what has become of requests that are not answered in their usual time. */
export class DeliveryMonitor {
  private readonly deliveries = new Map<string, MonitoredDelivery>();

  /** The gates that were asked lately. */
  private readonly askedGates = new Map<string, AskedGate>();

  /** The last clock offset that was read; read now and then only. */
  private clockOffset: ClockOffset;

  private previousClockOffset: ClockOffset;

  private readonly reactions: Readonly<
    Record<DeliveryState, (monitored: MonitoredDelivery, evidence: DeliveryEvidence) => void>
  > = {
    [DeliveryState.NotArrived]: () => undefined,
    [DeliveryState.NotRun]: (monitored, evidence) => {
      if (this.isRecent(monitored)) {
        this.lose(monitored, LostDelivery.NotRun, evidence);
      }
    },
    [DeliveryState.InProgress]: (monitored) => {
      const intervalMs = Math.max(IN_PROGRESS_INTERVAL_MS, monitored.delivery.usualMs);
      Object.assign(monitored, { inquiryAtMs: this.clock.monotonicMs() + intervalMs });
    },
    [DeliveryState.Ended]: (monitored, evidence) => {
      // A lost segment of the answer may still be sent again, so a second reply confirms the loss.
      if (monitored.hasEnded) {
        this.lose(monitored, LostDelivery.AnswerLost, evidence);
      }
      const inquiryAtMs = this.clock.monotonicMs() + ENDED_INTERVAL_MS;
      Object.assign(monitored, { hasEnded: true, inquiryAtMs });
    },
  };

  /**
   * @param clock - the clock for the intervals between inquiries
   * @param inquire - asks a gate what has become of requests
   */
  constructor(
    private readonly clock: Clock,
    private readonly inquire: Inquiry,
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
    this.forgetAskedGates(nowMs);
    const overdueByGate = new Map<string, MonitoredDelivery[]>();
    this.deliveries.forEach((monitored) => {
      const { gateAddress } = monitored.delivery;
      if (this.isOverdue(monitored, nowMs) && this.mayAsk(gateAddress, nowMs)) {
        const overdue = overdueByGate.get(gateAddress) ?? [];
        overdueByGate.set(gateAddress, overdue);
        overdue.push(monitored);
      }
    });
    overdueByGate.forEach((overdue, gateAddress) =>
      runInBackground(this.askGate(gateAddress, overdue.slice(0, MAX_QUESTIONS))),
    );
  }

  private forgetAskedGates(nowMs: number): void {
    this.askedGates.forEach(({ nextAtMs }, gateAddress) => {
      if (nextAtMs + MAX_GATE_INTERVAL_MS <= nowMs) {
        this.askedGates.delete(gateAddress);
      }
    });
  }

  private mayAsk(gateAddress: string, nowMs: number): boolean {
    return (this.askedGates.get(gateAddress)?.nextAtMs ?? -Infinity) <= nowMs;
  }

  private isOverdue(monitored: MonitoredDelivery, nowMs: number): boolean {
    return monitored.inquiryAtMs <= nowMs && !this.isHeard(monitored);
  }

  private async askGate(gateAddress: string, asked: readonly MonitoredDelivery[]): Promise<void> {
    const questions = asked.map(({ delivery: { key, processId } }) => ({ key, processId }));
    const lastIntervalMs = this.askedGates.get(gateAddress)?.intervalMs ?? MIN_GATE_INTERVAL_MS / 2;
    const intervalMs = Math.min(MAX_GATE_INTERVAL_MS, lastIntervalMs * 2);
    this.askedGates.set(gateAddress, { intervalMs, nextAtMs: Infinity });
    const reply = await this.inquire(gateAddress, questions);
    const nextAtMs = this.clock.monotonicMs() + intervalMs;
    this.askedGates.set(gateAddress, { intervalMs, nextAtMs });
    // The answers may have arrived as well, and not have been read yet.
    await waitForPendingInput();
    asked.forEach((monitored) => this.scheduleNext(monitored));
    if (reply.isOk()) {
      this.handleReply(asked, reply.value);
    }
  }

  /** Sets when the gate is asked again, unless its reply says otherwise. */
  private scheduleNext(monitored: MonitoredDelivery): void {
    const { inquiries, intervalMs } = monitored;
    Object.assign(monitored, {
      inquiries: inquiries + 1,
      inquiryAtMs: this.clock.monotonicMs() + intervalMs,
      intervalMs: Math.min(MAX_INTERVAL_MS, intervalMs * 2),
    });
  }

  private handleReply(
    asked: readonly MonitoredDelivery[],
    { processId, states }: DeliveryReply,
  ): void {
    asked.forEach((monitored, index) => {
      const state = states[index];
      const { key } = monitored.delivery;
      if (
        state !== undefined &&
        this.deliveries.get(key) === monitored &&
        !this.isHeard(monitored)
      ) {
        this.reactions[state](monitored, { state, processId, inquiries: monitored.inquiries });
      }
    });
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

  private lose(monitored: MonitoredDelivery, fate: LostDelivery, evidence: DeliveryEvidence): void {
    const { gateAddress, onLost } = monitored.delivery;
    this.end(monitored);
    onLost(fate, evidence);
    this.askedGates.delete(gateAddress);
    const nowMs = this.clock.monotonicMs();
    this.deliveries.forEach((other) => {
      const { delivery } = other;
      if (delivery.gateAddress === gateAddress && delivery.sentAtMs <= nowMs - MIN_AGE_MS) {
        Object.assign(other, { inquiryAtMs: Math.min(other.inquiryAtMs, nowMs) });
      }
    });
  }

  private end(monitored: MonitoredDelivery): void {
    const { key } = monitored.delivery;
    if (this.deliveries.get(key) === monitored) {
      this.deliveries.delete(key);
    }
  }
}
