/**
 * Simulates a sender, the gate that it sends requests to and the connections between them, to check
 * what the sender concludes about its requests against what the gate has done.
 */
import type { Socket } from 'node:net';
import { wireHeaders } from '@lentillb/platform';
import { Outcome } from 'lentillb/calls/callHeaders.js';
import type { DeliveryQuestion, DeliveryReply } from 'lentillb/directory/delivery.js';
import { Cancellation } from 'lentillb/calls/cancellation.js';
import type { LostDelivery } from 'lentillb/serving/deliveryMonitor.js';
import { DeliveryMonitor } from 'lentillb/serving/deliveryMonitor.js';
import {
  decodeStates,
  encodeQuestions,
  inquiryHeaders,
} from 'lentillb/serving/deliveryProtocol.js';
import type { EntryAnswer } from 'lentillb/serving/entry.js';
import { ExchangeFailure } from 'lentillb/serving/exchange.js';
import { GateProcesses } from 'lentillb/serving/gateProcesses.js';
import { deliveryKeyOf, processIdOf } from 'lentillb/serving/gateProtocol.js';
import { GateServer } from 'lentillb/serving/gateServer.js';
import type { ForwardedRequest, GateReply } from 'lentillb/serving/messages.js';
import { FailureCause } from 'lentillb/calls/failureCause.js';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { noBodies, noTransfers } from './noTransfers.js';
import { createForwardedRequest, encodeHeaders } from './forwardedRequest.js';
import { HostClock } from './hostClock.js';

const GATE_ADDRESS = 'gate:1';
const CHECK_INTERVAL_MS = 50;
const USUAL_MS = 150;
/** The age from which requests are watched, in milliseconds. */
const WATCHED_MS = 80;
/** The time for which data of a connection may still arrive after its reset, in milliseconds. */
const MAX_ARRIVAL_AFTER_RESET_MS = 9_000;

/** A request and what the network and the gate do with it; times are in milliseconds. */
export interface SimulatedRequest {
  readonly sentAtMs: number;
  /** The identity that its caller gave it. */
  readonly identity: number;
  /** The time until it arrives at the gate; undefined if its connection has lost it. */
  readonly travelMs: number | undefined;
  /** The duration of its run; undefined if the gate refuses it. */
  readonly runMs: number | undefined;
  /** The time until its answer arrives; undefined if its connection has lost it. */
  readonly returnMs: number | undefined;
}

/** The events of a simulation; times are in milliseconds. */
export interface SimulatedDay {
  readonly requests: readonly SimulatedRequest[];
  /** The travel times of inquiries and of their replies, taken in turn. */
  readonly inquiryTravelsMs: readonly number[];
  /** The time at which the process of the gate is replaced. */
  readonly restartsAtMs: readonly number[];
  /** The time at which the host of the sender is suspended, and the duration. */
  readonly suspensions: readonly { readonly atMs: number; readonly durationMs: number }[];
}

/** The conclusion of the sender about a request, and the times of its runs. */
export interface Conclusion {
  readonly fate: LostDelivery | undefined;
  readonly concludedAtMs: number;
  readonly startedAtMs: number | undefined;
  readonly endedAtMs: number | undefined;
}

interface Process {
  readonly id: number;
  readonly server: GateServer;
}

interface Tracked {
  readonly plan: SimulatedRequest;
  readonly forwarded: ForwardedRequest;
  readonly socket: { bytesRead: number };
  readonly process: Process;
  /** The time at which it was sent, in milliseconds of the sender's monotonic clock. */
  readonly sentAtMs: number;
  isSettled: boolean;
  fate?: LostDelivery;
  concludedAtMs: number;
  startedAtMs?: number;
  endedAtMs?: number;
  endWatch?: () => void;
}

const answered = (body: string): GateReply => ({
  report: { load: 1, serviceMs: 5 },
  result: Ok({ status: 200, headers: {}, body: Buffer.from(body) }),
});
const refused: GateReply = {
  report: { load: 1, serviceMs: 0 },
  result: Err({ outcome: Outcome.NotRun, cause: FailureCause.NoSlotInTime }),
};

async function flush(): Promise<void> {
  for (let turn = 0; turn < 12; turn += 1) {
    await new Promise<void>((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Runs one simulated day. */
export class DeliverySimulation {
  private nowMs = 0;

  private suspendedMs = 0;

  private isSuspended = false;

  private readonly events: { readonly atMs: number; readonly act: () => void }[] = [];

  /** The messages that reached the sender while it was suspended. */
  private readonly unread: (() => void)[] = [];

  private readonly senderClock = new HostClock(
    () => this.nowMs,
    () => this.suspendedMs,
  );

  private readonly gateClock = new HostClock(
    () => this.nowMs,
    () => 0,
  );

  private readonly processes = new GateProcesses(this.senderClock);

  private readonly monitor = new DeliveryMonitor(this.senderClock, (_, questions) =>
    this.inquire(questions),
  );

  private readonly tracked: Tracked[] = [];

  private process: Process;

  private inquiryCount = 0;

  constructor(private readonly day: SimulatedDay) {
    this.process = this.startProcess(1);
  }

  /**
   * @returns what the sender concluded about each request that it sent
   */
  async run(): Promise<readonly Conclusion[]> {
    const { requests, restartsAtMs, suspensions } = this.day;
    requests.forEach((plan) => this.schedule(plan.sentAtMs, () => this.send(plan)));
    restartsAtMs.forEach((atMs) => this.schedule(atMs, () => this.restartGate()));
    suspensions.forEach(({ atMs, durationMs }) =>
      this.schedule(atMs, () => this.suspend(durationMs)),
    );
    const endMs = Math.max(...requests.map(({ sentAtMs }) => sentAtMs)) + 12_000;
    for (let atMs = 0; atMs < endMs; atMs += CHECK_INTERVAL_MS) {
      this.schedule(atMs, () => this.check());
    }
    while (this.events.length > 0) {
      this.events.sort((left, right) => left.atMs - right.atMs);
      const next = this.events.shift();
      this.nowMs = Math.max(this.nowMs, next?.atMs ?? 0);
      next?.act();
      if (this.tracked.length > 0) {
        await flush();
      }
    }
    return this.tracked.map(({ concludedAtMs, endedAtMs, fate, startedAtMs }) => ({
      fate,
      concludedAtMs,
      startedAtMs,
      endedAtMs,
    }));
  }

  private schedule(atMs: number, act: () => void): void {
    this.events.push({ atMs, act });
  }

  private startProcess(id: number): Process {
    const clock = this.gateClock;
    const gate = { serve: (request: ForwardedRequest) => this.serveAtGate(request) };
    return {
      id,
      server: new GateServer(
        { clock, gate, admission: noBodies, transfers: noTransfers },
        { names: wireHeaders, processId: id },
      ),
    };
  }

  /** Replaces the process of the gate, which ends its runs with their connections. */
  private restartGate(): void {
    this.process = this.startProcess(this.process.id + 1);
    this.tracked
      .filter(({ endedAtMs, startedAtMs }) => startedAtMs !== undefined && endedAtMs === undefined)
      .forEach((tracked) => Object.assign(tracked, { endedAtMs: this.nowMs }));
  }

  private suspend(durationMs: number): void {
    if (this.isSuspended) {
      return;
    }
    this.isSuspended = true;
    const startedMs = this.nowMs;
    this.schedule(startedMs + durationMs, () => {
      this.isSuspended = false;
      this.suspendedMs += this.nowMs - startedMs;
      this.unread.splice(0).forEach((read) => read());
    });
  }

  /** Lets the sender read something, at once or when it runs again. */
  private readAtSender(read: () => void): void {
    if (this.isSuspended) {
      this.unread.push(read);
    } else {
      read();
    }
  }

  private check(): void {
    if (this.isSuspended) {
      return;
    }
    const sentBeforeMs = this.senderClock.monotonicMs() - WATCHED_MS;
    this.tracked
      .filter(({ endWatch, isSettled }) => endWatch === undefined && !isSettled)
      .forEach((tracked) => this.watch(tracked, sentBeforeMs));
    this.monitor.inquireOverdue();
  }

  private send(plan: SimulatedRequest): void {
    if (this.isSuspended) {
      this.unread.push(() => this.send(plan));
      return;
    }
    const forwarded = createForwardedRequest(this.senderClock, {
      requestId: `${plan.identity}`,
      headers: { host: 'a.example', [wireHeaders.requestId]: `${plan.identity}` },
      target: `/${this.tracked.length}`,
      deadlineAtMs: this.senderClock.monotonicMs() + 60_000,
    });
    const tracked: Tracked = {
      plan,
      forwarded,
      socket: { bytesRead: 0 },
      process: this.process,
      sentAtMs: this.senderClock.monotonicMs(),
      isSettled: false,
      concludedAtMs: Infinity,
    };
    this.tracked.push(tracked);
    if (plan.travelMs !== undefined) {
      this.schedule(this.nowMs + plan.travelMs, () => this.arrive(tracked));
    }
  }

  private watch(tracked: Tracked, sentBeforeMs: number): void {
    const { forwarded, sentAtMs, socket } = tracked;
    const key = deliveryKeyOf(forwarded);
    if (key === undefined || sentAtMs > sentBeforeMs) {
      return;
    }
    Object.assign(tracked, {
      endWatch: this.monitor.watch({
        key,
        gateAddress: GATE_ADDRESS,
        socket: socket as Socket,
        sentAtMs,
        processId: this.processes.heardBefore(GATE_ADDRESS, sentAtMs),
        usualMs: USUAL_MS,
        onLost: (fate) =>
          Object.assign(tracked, { fate, isSettled: true, concludedAtMs: this.nowMs }),
      }),
    });
  }

  /** Delivers a request to the process that it was sent to, if that still runs. */
  private arrive(tracked: Tracked): void {
    const { concludedAtMs, forwarded, process } = tracked;
    const isTooLate = this.nowMs > concludedAtMs + MAX_ARRIVAL_AFTER_RESET_MS;
    if (process !== this.process || isTooLate) {
      return;
    }
    const { plan } = tracked;
    this.serve(process, encodeHeaders(this.gateClock, forwarded), forwarded.target, (answer) => {
      if (plan.returnMs !== undefined) {
        this.schedule(this.nowMs + plan.returnMs, () =>
          this.readAtSender(() => this.receiveAnswer(tracked, answer)),
        );
      }
    });
  }

  private serve(
    process: Process,
    headers: Readonly<Record<string, string | string[]>>,
    target: string,
    onAnswer: (answer: EntryAnswer) => void,
    body: Buffer = Buffer.alloc(0),
  ): void {
    process.server
      .serve(
        {
          method: 'POST',
          target,
          headers,
          body,
          cancellation: new Cancellation(),
          arrivedAtMs: this.nowMs,
        },
        true,
      )
      .then((answer) => {
        if (process === this.process) {
          onAnswer(answer);
        }
      });
  }

  private receiveAnswer(tracked: Tracked, { headers }: EntryAnswer): void {
    if (tracked.isSettled) {
      return;
    }
    Object.assign(tracked, { isSettled: true });
    Object.assign(tracked.socket, { bytesRead: 1 });
    tracked.endWatch?.();
    this.processes.record(GATE_ADDRESS, headers);
  }

  private serveAtGate({ target }: ForwardedRequest): Promise<GateReply> {
    const tracked = this.tracked[Number(target.slice(1))];
    if (tracked?.plan.runMs === undefined) {
      return Promise.resolve(refused);
    }
    const { runMs } = tracked.plan;
    Object.assign(tracked, { startedAtMs: this.nowMs });
    return new Promise((resolve) => {
      this.schedule(this.nowMs + runMs, () => {
        Object.assign(tracked, { endedAtMs: tracked.endedAtMs ?? this.nowMs });
        resolve(answered('ran'));
      });
    });
  }

  private inquire(
    questions: readonly DeliveryQuestion[],
  ): Promise<Result<DeliveryReply, ExchangeFailure>> {
    return new Promise((resolve) => {
      const fail = (): void => resolve(Err(ExchangeFailure.TimedOut));
      this.schedule(this.nowMs + this.nextTravelMs(), () => {
        const { process } = this;
        const respond = ({ body, headers }: EntryAnswer): void => {
          this.schedule(this.nowMs + this.nextTravelMs(), () =>
            this.readAtSender(() => {
              const states = decodeStates(body, questions.length);
              this.processes.record(GATE_ADDRESS, headers);
              resolve(
                states === undefined
                  ? Err(ExchangeFailure.Malformed)
                  : Ok({ states, processId: processIdOf(headers) }),
              );
            }),
          );
        };
        this.serve(process, inquiryHeaders, '/', respond, encodeQuestions(questions));
        // The end of a process ends its connections.
        this.schedule(this.nowMs + 2_000, () => this.readAtSender(fail));
      });
    });
  }

  private nextTravelMs(): number {
    const { inquiryTravelsMs } = this.day;
    const travelMs = inquiryTravelsMs[this.inquiryCount % inquiryTravelsMs.length] ?? 1;
    this.inquiryCount += 1;
    return travelMs;
  }
}
