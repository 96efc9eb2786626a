/** Sends requests to the backend server beside this node and judges what comes back. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { forwardFailures } from './exchangeFailures.js';
import { Outcome, passedOnHeaders } from '../calls/callHeaders.js';
import type { Clock } from '../kernel/clock.js';
import { ConnectionPool } from './connectionPool.js';
import type { ExchangeAnswer } from './exchange.js';
import { exchange, ExchangeFailure, isUnframed } from './exchange.js';
import type { HeaderNames } from './headerNames.js';
import type { BackendAnswer, ForwardedRequest, ForwardFailure } from './messages.js';
import { FailureCause } from './messages.js';

/** How long an idle connection is used again, in milliseconds; backend servers may forget them early. */
const IDLE_MS = 1_000;
const MAX_IDLE = 64;
/** How long a connection on the same host may take, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;
/** How long an answer may be on its way after the deadline, in milliseconds. */
const ANSWER_GRACE_MS = 60;
const MISDIRECTED = 421;

/** Where the backend server listens, and which run of it is meant. */
export interface BackendTarget {
  readonly address: string;
  readonly instanceId: string;
}

/** Sends requests to one backend server. */
export class BackendServerClient {
  private readonly pool: ConnectionPool;

  constructor(
    private readonly clock: Clock,
    private readonly names: HeaderNames,
  ) {
    this.pool = new ConnectionPool(clock, { idleMs: IDLE_MS, maxIdle: MAX_IDLE });
  }

  /**
   * Sends a request that holds a slot.
   *
   * @param request - the request
   * @param target - where to, and which run is meant
   * @returns the answer, or whether the request may have run
   */
  async send(
    request: ForwardedRequest,
    target: BackendTarget,
  ): Promise<Result<BackendAnswer, ForwardFailure>> {
    const answer = await this.exchangeWith(request, target);
    return answer
      .mapErr((cause) => forwardFailures[cause])
      .andThen((whole) => this.judge(request, whole));
  }

  /** Closes all connections. */
  close(): void {
    this.pool.destroy();
  }

  private async exchangeWith(
    request: ForwardedRequest,
    target: BackendTarget,
  ): Promise<Result<ExchangeAnswer, ExchangeFailure>> {
    const first = await this.sendOnce(request, target);
    // An idle connection that was reset carried nothing to the backend server, or a lost answer.
    const mayHaveIdled = first.isErr() && first.error === ExchangeFailure.KeptConnectionLost;
    if (!mayHaveIdled) {
      return first;
    }
    this.pool.distrust();
    return request.repeatable ? this.sendOnce(request, target) : first;
  }

  private sendOnce(
    request: ForwardedRequest,
    { address, instanceId }: BackendTarget,
  ): Promise<Result<ExchangeAnswer, ExchangeFailure>> {
    const leftMs = Math.max(0, Math.floor(request.deadlineAtMs - this.clock.monotonicMs()));
    const { body, cancellation, headers, method, target } = request;
    return exchange(this.clock, {
      agent: this.pool,
      address,
      method,
      target,
      headers: {
        ...headers,
        [this.names.deadlineMs]: `${leftMs}`,
        [this.names.expectedInstance]: instanceId,
        ...(body.length > 0 || method !== 'GET' ? { 'content-length': `${body.length}` } : {}),
      },
      body,
      connectTimeoutMs: Math.min(leftMs, CONNECT_TIMEOUT_MS),
      timeoutMs: leftMs + ANSWER_GRACE_MS,
      cancellation,
    });
  }

  private judge(
    request: ForwardedRequest,
    { body, discardConnection, headers, status }: ExchangeAnswer,
  ): Result<BackendAnswer, ForwardFailure> {
    const { notRun, requestId, seal } = this.names;
    const echoed = headers[requestId];
    if (echoed !== undefined && echoed !== request.requestId) {
      discardConnection();
      return Err({ outcome: Outcome.Unknown, cause: FailureCause.BrokenAnswer });
    }
    if (headers[notRun] !== undefined || status === MISDIRECTED) {
      const cause = status === MISDIRECTED ? FailureCause.NotServing : FailureCause.TurnedAway;
      return Err({ outcome: Outcome.NotRun, cause });
    }
    const success = status >= 200 && status < 300;
    const unsealed = headers[seal] === undefined || echoed === undefined;
    if (headers['content-encoding'] !== undefined || (success && unsealed)) {
      discardConnection();
      return Err({ outcome: Outcome.Unknown, cause: FailureCause.BrokenAnswer });
    }
    const unframed = isUnframed(headers);
    const passed = passedOnHeaders(headers);
    delete passed[requestId];
    return Ok({ status, headers: passed, body, unframed });
  }
}
