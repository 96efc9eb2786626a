/** Brings requests to gates: to the own one directly, to others over HTTP. */
import { Err } from 'ts-results-es';
import { forwardFailures } from './exchangeFailures.js';
import { Outcome } from '../calls/callHeaders.js';
import { Cancellation, CancelReason } from '../calls/cancellation.js';
import type { GateEndpoint } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import type { InputWatch } from '../utils/pendingInput.js';
import { ConnectionPool } from './connectionPool.js';
import { exchange, ExchangeFailure } from './exchange.js';
import type { Gate } from './gate.js';
import { decodeReply, requestHeaders } from './gateProtocol.js';
import type { ForwardedRequest, GateReply } from './messages.js';
import { FailureCause } from './messages.js';

/** How long connections between nodes are kept idle, in milliseconds; gates keep theirs longer. */
const MAX_IDLE_MS = 30_000;
const MAX_IDLE_CONNECTIONS = 64;
/** How long a connection to another host may take, in milliseconds: many round trips between zones. */
const CONNECT_TIMEOUT_MS = 200;
/** How long a gate's own answer may be on its way after the deadline, in milliseconds. */
const ANSWER_GRACE_MS = 90;

/** Notices hosts that have gone silent while requests are under way to them. */
export interface SilenceWatch {
  /** @param host - the address of a host @returns whether it has gone silent */
  isSilent(host: string): boolean;
  /**
   * @param host - the address of the host
   * @param peerAddress - where its node answers others
   * @param onSilent - called where it has gone silent
   * @returns ends the watch
   */
  watch(host: string, peerAddress: string, onSilent: () => void): () => void;
  /** @param host - the address of a host that an answer came from */
  hear(host: string): void;
}

/** Reaches the gates of all hosts. */
export class GateDialer {
  private readonly pool: ConnectionPool;

  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly input: InputWatch;
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
   * @param endpoint - the gate
   * @param request - the request
   * @returns what the gate says, or that it could not be asked
   */
  async call(endpoint: GateEndpoint, request: ForwardedRequest): Promise<GateReply> {
    const { clock, gate, input, links } = this.services;
    if (endpoint.host === this.ownHost) {
      return gate.serve(request);
    }
    await input.untilRecent();
    if (request.cancellation.reason !== undefined) {
      const cancelledFailure = { outcome: Outcome.NotRun, cause: FailureCause.CallerGone };
      return { result: Err(cancelledFailure), report: undefined };
    }
    const remainingMs = Math.max(0, request.deadlineAtMs - clock.monotonicMs());
    const exchangeCancellation = new Cancellation();
    const stopCancel = request.cancellation.onCancel(() =>
      exchangeCancellation.cancel(CancelReason.CallerGone),
    );
    // A run that may not be repeated is waited for: its answer may still come.
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
      const wentSilent = exchangeCancellation.reason === CancelReason.DeadlinePassed;
      const cause = wentSilent ? ExchangeFailure.Lost : answer.error;
      return { result: Err(forwardFailures[cause]), report: undefined };
    }
    links.hear(endpoint.host);
    return decodeReply(answer.value);
  }

  /** Closes all connections. */
  close(): void {
    this.pool.destroy();
  }
}
