/** Sends requests to gates: directly to the gate of this node, over HTTP to others. */
import { Err } from 'ts-results-es';
import { forwardFailures } from './exchangeFailures.js';
import { Outcome } from '../calls/callHeaders.js';
import { Cancellation, CancelReason } from '../calls/cancellation.js';
import type { GateEndpoint } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import type { PendingInputTracker } from '../utils/pendingInput.js';
import { ConnectionPool } from './connectionPool.js';
import { exchange, ExchangeFailure } from './exchange.js';
import type { Gate } from './gate.js';
import { decodeReply, requestHeaders } from './gateProtocol.js';
import type { ForwardedRequest, GateReply } from './messages.js';
import { FailureCause } from './messages.js';

/** The maximum idle time of connections between nodes; gates keep theirs open longer. */
const MAX_IDLE_MS = 30_000;
const MAX_IDLE_CONNECTIONS = 64;
/** The maximum time to connect to another host, which spans many round trips between zones. */
const CONNECT_TIMEOUT_MS = 200;
/** The allowance for an answer of the gate that is in transit when the deadline passes. */
const ANSWER_GRACE_MS = 90;

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

/** Sends requests to the gates of all hosts. */
export class GateForwarder {
  private readonly pool: ConnectionPool;

  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly input: PendingInputTracker;
      readonly gate: Gate;
      readonly links: SilenceWatch;
    },
    private readonly ownHost: string,
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
   * @returns the reply of the gate, or a failure without a report if none arrived
   */
  async call(endpoint: GateEndpoint, request: ForwardedRequest): Promise<GateReply> {
    const { clock, gate, input, links } = this.services;
    if (endpoint.host === this.ownHost) {
      return gate.serve(request);
    }
    await input.waitUntilRecentlyRead();
    if (request.cancellation.reason !== undefined) {
      const cancelledFailure = { outcome: Outcome.NotRun, cause: FailureCause.CallerGone };
      return { result: Err(cancelledFailure), report: undefined };
    }
    const remainingMs = Math.max(0, request.deadlineAtMs - clock.monotonicMs());
    const exchangeCancellation = new Cancellation();
    const stopCancel = request.cancellation.onCancel(() =>
      exchangeCancellation.cancel(CancelReason.CallerGone),
    );
    // A request that may not be repeated keeps waiting, because its answer may still arrive.
    const stopWatch = links.watch(endpoint.host, endpoint.peerAddress, () => {
      if (request.repeatable) {
        exchangeCancellation.cancel(CancelReason.DeadlinePassed);
      }
    });
    const answer = await exchange(clock, {
      agent: this.pool,
      address: endpoint.gateAddress,
      method: request.method,
      target: request.target,
      headers: {
        ...requestHeaders(clock, request),
        'content-length': `${request.body.length}`,
      },
      body: request.body,
      connectTimeoutMs: Math.min(remainingMs, CONNECT_TIMEOUT_MS),
      timeoutMs: remainingMs + ANSWER_GRACE_MS,
      cancellation: exchangeCancellation,
      isTerse: true,
    });
    stopWatch();
    stopCancel();
    if (answer.isErr()) {
      const isHostSilent = exchangeCancellation.reason === CancelReason.DeadlinePassed;
      const cause = isHostSilent ? ExchangeFailure.Lost : answer.error;
      return { result: Err(forwardFailures[cause]), report: undefined };
    }
    links.markHeard(endpoint.host);
    return decodeReply(answer.value);
  }

  /** Closes all connections. */
  close(): void {
    this.pool.destroy();
  }
}
