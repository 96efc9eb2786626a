/** Sends requests to gates: directly to the gate of this node, over HTTP to others. */
import { Err } from 'ts-results-es';
import { forwardFailures } from './exchangeFailures.js';
import type { Directory, GateEndpoint } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import { WaitLimit } from '../admission/slotQueue.js';
import { Outcome } from '../calls/callHeaders.js';
import { LARGE_BODY_BYTES, reservationHeader } from '../transfers/transferProtocol.js';
import { runInBackground } from '../utils/background.js';
import { ConnectionPool } from './connectionPool.js';
import type { DeliveryMonitor } from './deliveryMonitor.js';
import { LostDelivery } from './deliveryMonitor.js';
import type { SentRequest } from './exchange.js';
import { ExchangeFailure } from './exchange.js';
import type { Gate } from './gate.js';
import type { GateProcesses } from './gateProcesses.js';
import { decodeReply, deliveryKeyOf, descriptionHeader } from './gateProtocol.js';
import type { ListenProbe } from './listenProbe.js';
import type { ForwardedRequest, ForwardFailure, GateReply } from './messages.js';
import { FailureCause } from '../calls/failureCause.js';
import type { RequestSender } from './requestSender.js';
import { Receiver } from './sendRecorder.js';
import type { SuspectGuard } from './suspectGuard.js';

/** The maximum idle time of connections between nodes; gates keep theirs open longer. */
const MAX_IDLE_MS = 30_000;
const MAX_IDLE_CONNECTIONS = 64;
/** The maximum time to connect to another host, which spans many round trips between zones. */
const CONNECT_TIMEOUT_MS = 200;
/** The allowance for an answer of the gate that is in transit when the deadline passes. */
const ANSWER_GRACE_MS = 90;

/** The factor on the expected time of a request after which its node is asked what has become of it. */
const USUAL_TIME_FACTOR = 3;
/** Shortest time after which the node of a request is asked what has become of it, in milliseconds. */
const MIN_USUAL_MS = 150;
/** The maximum share of the remaining time after which it is asked; the rest is for another attempt. */
const MAX_USUAL_SHARE = 0.4;
/** The bandwidth assumed for the body of a request, in bytes per millisecond: a megabit a second. */
const MIN_BYTES_PER_MS = 125;

/** The time for which a request may be unanswered before its connection is watched, in milliseconds. */
const MIN_WATCHED_MS = 80;

const NO_BODY = Buffer.alloc(0);

/** A request to another node whose answer is awaited. */
interface UnansweredRequest {
  readonly endpoint: GateEndpoint;
  readonly request: ForwardedRequest;
  /** The time for which the request was expected to wait and run, in milliseconds. */
  readonly expectedMs: number;
  /** Set once the request has been sent. */
  sent?: SentRequest;
  /** Ends the watch of its connection; set once that is watched. */
  stopWatch?: () => void;
}

/** The failure of an exchange by the fate of its request on a silent connection. */
const failureOfFate: Readonly<Record<LostDelivery, ExchangeFailure>> = {
  [LostDelivery.NotRun]: ExchangeFailure.SilentNotRun,
  [LostDelivery.AnswerLost]: ExchangeFailure.Silent,
};

/** Detects hosts that stop responding while requests to them are in flight. */
export interface SilenceWatch {
  /**
   * Checks whether a host is silent.
   *
   * @param host - the address of the host
   * @returns whether the host has stopped responding
   */
  isSilent(host: string): boolean;
  /**
   * Watches a host while a request to it is in flight.
   *
   * @param host - the address of the host
   * @param peerAddress - the address and port at which its node answers other nodes
   * @param onSilent - called when the host has stopped responding
   * @returns a function that ends the watch
   */
  watch(host: string, peerAddress: string, onSilent: () => void): () => void;
  /**
   * Records that a host responded.
   *
   * @param host - the address of the host
   */
  markHeard(host: string): void;
}

/** Whether a request was not sent for a reason that says nothing about its receiver. */
function isUnsent(failure: ExchangeFailure): boolean {
  return failure === ExchangeFailure.Withdrawn || failure === ExchangeFailure.TooLate;
}

function unreported(failure: ForwardFailure): GateReply {
  return { result: Err(failure), report: undefined };
}

/** Sends requests to the gates of all hosts. */
export class GateForwarder {
  private readonly pool: ConnectionPool;

  /** The requests that have been sent to other nodes and are not answered yet. */
  private readonly unanswered = new Set<UnansweredRequest>();

  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly gate: Pick<Gate, 'serve'>;
      readonly sender: Pick<RequestSender, 'send'>;
      readonly links: SilenceWatch;
      readonly deliveries: Pick<DeliveryMonitor, 'watch'>;
      readonly processes: GateProcesses;
      readonly directory: Pick<Directory, 'announcementOf'>;
      readonly listenProbe: Pick<ListenProbe, 'hasEnded'>;
      readonly suspectGuard: Pick<SuspectGuard, 'recordNodeEnded'>;
      readonly log: DecisionLog;
    },
    private readonly own: {
      readonly host: string;
      readonly zone?: string;
      /** The bandwidth of the link of this host in megabits per second, if known. */
      readonly linkMegabits?: number | undefined;
    },
  ) {
    this.pool = new ConnectionPool(services.clock, {
      idleMs: MAX_IDLE_MS,
      maxIdle: MAX_IDLE_CONNECTIONS,
    });
  }

  /**
   * Asks a gate to run a request.
   *
   * @param endpoint - the gate to send the request to
   * @param request - the request to run
   * @param expectedMs - how long the request is expected to wait and run there, in milliseconds
   * @returns the reply of the gate, or a failure without a report if none arrived
   */
  async call(
    endpoint: GateEndpoint,
    request: ForwardedRequest,
    expectedMs: number,
  ): Promise<GateReply> {
    const { gate, links } = this.services;
    if (endpoint.host === this.own.host) {
      return gate.serve(request);
    }
    let stopWatch: (() => void) | undefined;
    const silence = new Promise<'silent'>((resolve) => {
      stopWatch = links.watch(endpoint.host, endpoint.peerAddress, () => {
        // A request that may not be repeated keeps waiting, because its answer may still arrive.
        if (request.repeatable) {
          resolve('silent');
        }
      });
    });
    const reply = this.exchangeWith(endpoint, request, expectedMs);
    const first = await Promise.race([reply, silence]);
    stopWatch?.();
    return first === 'silent'
      ? { ...unreported(forwardFailures[ExchangeFailure.Lost]), lateReply: reply }
      : first;
  }

  /** Watches the requests that are not answered after a short time. Called every few tens of milliseconds. */
  watchUnanswered(): void {
    this.watchSentBefore(this.services.clock.monotonicMs() - MIN_WATCHED_MS);
  }

  private watchSentBefore(sentBeforeMs: number): void {
    this.unanswered.forEach((unanswered) => {
      const { sent, stopWatch } = unanswered;
      if (sent !== undefined && stopWatch === undefined && sent.sentAtMs <= sentBeforeMs) {
        this.watchDelivery(unanswered, sent);
      }
    });
  }

  /** Closes all connections. */
  close(): void {
    this.pool.destroy();
  }

  private async exchangeWith(
    endpoint: GateEndpoint,
    request: ForwardedRequest,
    expectedMs: number,
  ): Promise<GateReply> {
    const { clock, links, processes, sender } = this.services;
    const startedMs = clock.monotonicMs();
    if (request.body.length >= LARGE_BODY_BYTES && deliveryKeyOf(request) !== undefined) {
      const refusal = await this.reserve(endpoint, request);
      if (refusal !== undefined) {
        return refusal;
      }
    }
    const unanswered: UnansweredRequest = { endpoint, request, expectedMs };
    this.unanswered.add(unanswered);
    const answer = await sender.send(request, {
      receiver: Receiver.Gate,
      agent: this.pool,
      address: endpoint.gateAddress,
      headers: { ...request.headers, 'content-length': `${request.body.length}` },
      headersAtSend: () => descriptionHeader(clock, request),
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      answerGraceMs: ANSWER_GRACE_MS,
      isTerse: true,
      onSent: (sent) => {
        unanswered.sent = sent;
      },
    });
    this.unanswered.delete(unanswered);
    unanswered.stopWatch?.();
    if (answer.isErr()) {
      const failure = forwardFailures[answer.error];
      if (isUnsent(answer.error)) {
        return unreported(failure);
      }
      this.services.log.record(Importance.Notable, 'gate-not-heard', {
        requestId: request.requestId,
        host: endpoint.host,
        cause: failure.cause,
        outcome: failure.outcome,
        waitedMs: Math.round(clock.monotonicMs() - startedMs),
        onReusedConnection: unanswered.sent?.onReusedConnection ?? false,
        hostSilent: links.isSilent(endpoint.host),
      });
      if (failure.cause === FailureCause.ConnectionLost) {
        runInBackground(this.recordEndOfNode(endpoint, request));
      }
      return unreported(failure);
    }
    links.markHeard(endpoint.host);
    processes.record(endpoint.gateAddress, answer.value.headers);
    return decodeReply(answer.value);
  }

  /**
   * Waits until the body of a request may be sent over the link of another host.
   *
   * @param endpoint - the gate of the other host
   * @param request - the request; nothing of it is sent yet
   * @returns the refusal of the gate, or a failure to reach it; undefined if the body may be sent
   */
  private async reserve(
    { gateAddress, zone }: GateEndpoint,
    request: ForwardedRequest,
  ): Promise<GateReply | undefined> {
    const { clock, sender } = this.services;
    const { body, headers, waitLimit } = request;
    const reservation = reservationHeader({
      bytes: body.length,
      senderMegabits: this.own.linkMegabits,
      crossesZones: this.own.zone !== undefined && zone !== this.own.zone,
    });
    // A late reply would leave no time for another host.
    const deadlineAtMs =
      waitLimit === WaitLimit.OnTime
        ? Math.min(request.targetAtMs, request.deadlineAtMs)
        : request.deadlineAtMs;
    const answer = await sender.send(
      { ...request, method: 'GET', target: '/', body: NO_BODY, deadlineAtMs },
      {
        receiver: Receiver.Gate,
        agent: this.pool,
        address: gateAddress,
        headers: { ...headers, 'content-length': '0' },
        headersAtSend: () => ({ ...descriptionHeader(clock, request), ...reservation }),
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        answerGraceMs: 0,
        isTerse: true,
      },
    );
    if (answer.isErr()) {
      return unreported({ ...forwardFailures[answer.error], outcome: Outcome.NotRun });
    }
    const { report, result } = decodeReply(answer.value);
    // Whatever the answer says, nothing of the request has been sent.
    return result.isOk()
      ? undefined
      : { result: Err({ ...result.error, outcome: Outcome.NotRun }), report };
  }

  /**
   * Watches whether the connection of a request goes silent. Most requests are answered before they are
   * watched.
   */
  private watchDelivery(unanswered: UnansweredRequest, sent: SentRequest): void {
    const { endpoint, expectedMs, request } = unanswered;
    const { clock, deliveries, processes } = this.services;
    const { giveUp, sentAtMs, socket } = sent;
    const { gateAddress } = endpoint;
    const key = deliveryKeyOf(request);
    if (key === undefined) {
      return;
    }
    const processId = processes.heardBefore(gateAddress, sentAtMs);
    const usualMs = Math.min(
      Math.max(MIN_USUAL_MS, expectedMs * USUAL_TIME_FACTOR),
      (request.deadlineAtMs - sentAtMs) * MAX_USUAL_SHARE,
    );
    // eslint-disable-next-line no-param-reassign -- the state of one request is recorded in place
    unanswered.stopWatch = deliveries.watch({
      key,
      gateAddress,
      socket,
      sentAtMs,
      processId,
      usualMs: usualMs + request.body.length / MIN_BYTES_PER_MS,
      onLost: (fate, evidence) => {
        this.services.log.record(Importance.Notable, 'request-given-up', {
          requestId: request.requestId,
          transmission: request.transmission,
          host: endpoint.host,
          fate,
          state: evidence.state,
          replyingProcess: evidence.processId,
          expectedProcess: processId,
          inquiries: evidence.inquiries,
          ageMs: Math.round(clock.monotonicMs() - sentAtMs),
          usualMs: Math.round(usualMs),
          onReusedConnection: sent.onReusedConnection,
        });
        this.pool.closeUnheard(gateAddress, sentAtMs);
        // The others to this host are asked for at once.
        this.watchSentBefore(clock.monotonicMs());
        giveUp(failureOfFate[fate]);
      },
    });
  }

  /** Records the request as suspect if the node that it was sent to has ended. */
  private async recordEndOfNode(
    { gateAddress, host }: GateEndpoint,
    request: ForwardedRequest,
  ): Promise<void> {
    const { directory, listenProbe, suspectGuard } = this.services;
    const announcement = directory.announcementOf(host);
    if ((await listenProbe.hasEnded(gateAddress)) && announcement !== undefined) {
      suspectGuard.recordNodeEnded(request, announcement);
    }
  }
}
