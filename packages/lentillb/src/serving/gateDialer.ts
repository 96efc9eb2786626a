/** Brings requests to gates: to the own one directly, to others over HTTP. */
import { Err } from 'ts-results-es';
import { Outcome } from '../calls/callHeaders.js';
import type { GateEndpoint } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import { ConnectionPool } from './connectionPool.js';
import { exchange, ExchangeFailure } from './exchange.js';
import type { Gate } from './gate.js';
import { decodeReply, requestHeaders } from './gateProtocol.js';
import type { ForwardedRequest, ForwardFailure, GateReply } from './messages.js';
import { FailureCause } from './messages.js';

/** How long connections between nodes are kept idle, in milliseconds; gates keep theirs longer. */
const IDLE_MS = 30_000;
const MAX_IDLE = 64;
/** How long a connection to another host may take, in milliseconds: many round trips between zones. */
const CONNECT_TIMEOUT_MS = 200;
/** How long a gate's own answer may be on its way after the deadline, in milliseconds. */
const ANSWER_GRACE_MS = 90;

function failure(outcome: Outcome, cause: FailureCause): ForwardFailure {
  return { outcome, cause };
}

const failures: Record<ExchangeFailure, ForwardFailure> = {
  [ExchangeFailure.NotSent]: failure(Outcome.NotRun, FailureCause.ConnectFailed),
  [ExchangeFailure.KeptConnectionLost]: failure(Outcome.Unknown, FailureCause.ConnectionLost),
  [ExchangeFailure.Lost]: failure(Outcome.Unknown, FailureCause.ConnectionLost),
  [ExchangeFailure.Malformed]: failure(Outcome.Unknown, FailureCause.BrokenAnswer),
  [ExchangeFailure.TimedOut]: failure(Outcome.Unknown, FailureCause.DeadlinePassed),
  [ExchangeFailure.Cancelled]: failure(Outcome.Unknown, FailureCause.CallerGone),
};

/** Reaches the gates of all hosts. */
export class GateDialer {
  private readonly pool = new ConnectionPool({ idleMs: IDLE_MS, maxIdle: MAX_IDLE });

  constructor(
    private readonly services: { readonly clock: Clock; readonly gate: Gate },
    private readonly ownHost: string,
  ) {}

  /**
   * Asks a gate to run a request.
   *
   * @param endpoint - the gate
   * @param request - the request
   * @returns what the gate says, or that it could not be asked
   */
  async call(endpoint: GateEndpoint, request: ForwardedRequest): Promise<GateReply> {
    const { clock, gate } = this.services;
    if (endpoint.host === this.ownHost) {
      return gate.serve(request);
    }
    const leftMs = Math.max(0, request.deadlineAtMs - clock.monotonicMs());
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
      connectTimeoutMs: Math.min(leftMs, CONNECT_TIMEOUT_MS),
      timeoutMs: leftMs + ANSWER_GRACE_MS,
      cancellation: request.cancellation,
    });
    return answer.isOk()
      ? decodeReply(answer.value)
      : { result: Err(failures[answer.error]), report: undefined };
  }

  /** Closes all connections. */
  close(): void {
    this.pool.destroy();
  }
}
