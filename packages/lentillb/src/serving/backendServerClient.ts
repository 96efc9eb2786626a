/** Sends requests to the backend server on this host and validates its answers. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { forwardFailures } from './exchangeFailures.js';
import { isFinalStatus, promisesNotRun } from '../calls/answerStatuses.js';
import { Outcome, forwardedHeaders } from '../calls/callHeaders.js';
import type { Clock } from '../kernel/clock.js';
import { ConnectionPool } from './connectionPool.js';
import type { ExchangeAnswer } from './exchange.js';
import { ExchangeFailure } from './exchange.js';
import type { HeaderNames } from './headerNames.js';
import type { BackendAnswer, ForwardedRequest, ForwardFailure } from './messages.js';
import { FailureCause } from '../calls/failureCause.js';
import type { RequestSender } from './requestSender.js';
import { Receiver } from './sendRecorder.js';
import type { ServerStatement } from './serverStatement.js';
import { readStatement } from './serverStatement.js';

/** The maximum idle time of a reused connection; backend servers may drop idle ones early. */
const MAX_IDLE_MS = 1_000;
const MAX_IDLE_CONNECTIONS = 64;
/** The maximum time to connect on the same host, in milliseconds. */
const CONNECT_TIMEOUT_MS = 250;
/** The allowance for an answer that is in transit when the deadline passes, in milliseconds. */
const ANSWER_GRACE_MS = 60;
/** The factor on the usual time of a run after which its connection may have gone silent. */
const SUSPICION_FACTOR = 3;
const MIN_SUSPICION_MS = 150;
const MISDIRECTED_REQUEST = 421;
/** The first status that is no success. */
const MIN_FAILURE_STATUS = 300;

/** The address and the run of a backend server. */
export interface BackendTarget {
  /** The address and port that the backend server listens on. */
  readonly address: string;
  /** The identity of the run that the request is for. */
  readonly instanceId: string;
  /** The usual duration of a run of this kind of request, in milliseconds. */
  readonly usualServiceMs: number;
}

/** The callbacks for what happens between this node and its backend server. */
export interface BackendServerListener {
  /** Called when a request is sent, for the first time or again. */
  onSent(): void;
  /**
   * Called before a request is sent again whose connection was lost.
   *
   * @param instanceId - the identity of the run that it was sent to
   * @returns whether the backend server may get it
   */
  mayResend(instanceId: string): boolean;
  /**
   * Called with what a run of the backend server states in an answer of its own.
   *
   * @param statement - the statement
   * @param instanceId - the identity of the run
   * @param sentAtMs - when the request was sent, in milliseconds of the monotonic clock
   */
  onStatement(statement: ServerStatement, instanceId: string, sentAtMs: number): void;
}

/** Sends requests to one backend server over reused connections. */
export class BackendServerClient {
  private readonly pool: ConnectionPool;

  /** The identity of the run that the last request was for. */
  private instanceId: string | undefined;

  /** Whether that run has refused a request with an identity. */
  private hasIdentifiedRefusals = false;

  /**
   * @param clock - the clock for time-outs
   * @param sender - sends the requests
   * @param names - the header names of callers and backend servers
   * @param listener - the callbacks for requests sent and for statements
   */
  constructor(
    private readonly clock: Clock,
    private readonly sender: Pick<RequestSender, 'send'>,
    private readonly names: HeaderNames,
    private readonly listener: BackendServerListener,
  ) {
    this.pool = new ConnectionPool(clock, { idleMs: MAX_IDLE_MS, maxIdle: MAX_IDLE_CONNECTIONS });
  }

  /**
   * Sends a request that has been granted a slot.
   *
   * @param request - the request to send
   * @param target - the address and the run to send it to
   * @returns the answer, or a failure that tells whether the request may have run
   */
  async send(
    request: ForwardedRequest,
    target: BackendTarget,
  ): Promise<Result<BackendAnswer, ForwardFailure>> {
    const first = await this.sendOnce(request, target);
    // A reused connection that was reset either delivered no request, or lost its answer.
    const isConnectionLost = first.isErr() && first.error === ExchangeFailure.KeptConnectionLost;
    if (!isConnectionLost) {
      return this.toResult(request, first);
    }
    this.pool.recordConnectionLoss();
    const isInTime = this.clock.monotonicMs() < request.deadlineAtMs;
    const mayResend = isInTime && request.cancellation.reason === undefined;
    if (!request.repeatable || !mayResend || !this.listener.mayResend(target.instanceId)) {
      return this.toResult(request, first);
    }
    const second = this.toResult(request, await this.sendOnce(request, target));
    const isNotRun = second.isErr() && second.error.outcome === Outcome.NotRun;
    return isNotRun ? this.toResult(request, first) : second;
  }

  /** Closes all connections. */
  close(): void {
    this.pool.destroy();
  }

  private toResult(
    request: ForwardedRequest,
    exchanged: Result<ExchangeAnswer, ExchangeFailure>,
  ): Result<BackendAnswer, ForwardFailure> {
    return exchanged
      .mapErr((cause) => forwardFailures[cause])
      .andThen((received) => this.toBackendAnswer(request, received));
  }

  private async sendOnce(
    request: ForwardedRequest,
    { address, instanceId, usualServiceMs }: BackendTarget,
  ): Promise<Result<ExchangeAnswer, ExchangeFailure>> {
    const sentAtMs = this.clock.monotonicMs();
    const { body, deadlineAtMs, headers, method } = request;
    this.listener.onSent();
    // The run may just be a long one, so its own connection is kept until the deadline.
    const awaited = this.pool.recordRequest(
      address,
      Math.max(MIN_SUSPICION_MS, usualServiceMs * SUSPICION_FACTOR),
    );
    const answer = await this.sender.send(request, {
      receiver: Receiver.BackendServer,
      agent: this.pool,
      address,
      headers: {
        ...headers,
        [this.names.expectedInstance]: instanceId,
        ...(body.length > 0 || method !== 'GET' ? { 'content-length': `${body.length}` } : {}),
      },
      headersAtSend: () => {
        const remainingMs = Math.max(0, Math.floor(deadlineAtMs - this.clock.monotonicMs()));
        return { [this.names.deadlineMs]: `${remainingMs}` };
      },
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      answerGraceMs: ANSWER_GRACE_MS,
      // A copy of a refusal would promise that the next request has not run.
      mayReuse: (answerHeaders, status) =>
        this.isOwnAnswer(request, answerHeaders, status) && !this.isRefusal(answerHeaders, status),
    });
    this.pool.recordEnd(awaited);
    this.trackRun(instanceId);
    if (answer.isOk() && this.isOfExpectedRun(request, answer.value)) {
      const statement = readStatement(answer.value.headers, this.names);
      this.listener.onStatement(statement, instanceId, sentAtMs);
    }
    return answer;
  }

  private trackRun(instanceId: string): void {
    if (instanceId !== this.instanceId) {
      this.instanceId = instanceId;
      this.hasIdentifiedRefusals = false;
    }
  }

  /** Excludes late answers to other requests, and the refusal by which another run answers. */
  private isOfExpectedRun(request: ForwardedRequest, answer: ExchangeAnswer): boolean {
    const isAnswer =
      this.isOwnRefusal(request, answer) ||
      answer.headers[this.names.requestId] === request.requestId;
    return isAnswer && answer.status !== MISDIRECTED_REQUEST;
  }

  private isRefusal(headers: ExchangeAnswer['headers'], status: number): boolean {
    return headers[this.names.notRun] !== undefined || status === MISDIRECTED_REQUEST;
  }

  /**
   * A refusal may lack the identity. On a reused connection it may then be a copy of an earlier one, so
   * it counts only if this run has not identified a refusal before. A run does not misdirect requests
   * on a connection on which it has answered some.
   */
  private isOwnRefusal(request: ForwardedRequest, answer: ExchangeAnswer): boolean {
    const { headers, onReusedConnection, status } = answer;
    if (!this.isRefusal(headers, status)) {
      return false;
    }
    const echoed = headers[this.names.requestId];
    if (echoed !== undefined) {
      return echoed === request.requestId;
    }
    return !onReusedConnection || (status !== MISDIRECTED_REQUEST && !this.hasIdentifiedRefusals);
  }

  private isOwnAnswer(
    request: ForwardedRequest,
    headers: ExchangeAnswer['headers'],
    status: number,
  ): boolean {
    const { requestId, seal } = this.names;
    const isUnsealed = status < MIN_FAILURE_STATUS && headers[seal] === undefined;
    return (
      isFinalStatus(status) &&
      headers[requestId] === request.requestId &&
      headers['content-encoding'] === undefined &&
      !isUnsealed
    );
  }

  private toBackendAnswer(
    request: ForwardedRequest,
    answer: ExchangeAnswer,
  ): Result<BackendAnswer, ForwardFailure> {
    const { body, headers, status } = answer;
    if (this.isOwnRefusal(request, answer)) {
      this.hasIdentifiedRefusals ||= headers[this.names.requestId] !== undefined;
      const cause =
        status === MISDIRECTED_REQUEST ? FailureCause.NotServing : FailureCause.Rejected;
      return Err({ outcome: Outcome.NotRun, cause });
    }
    const isForeignRefusal = this.isRefusal(headers, status);
    if (isForeignRefusal || !this.isOwnAnswer(request, headers, status)) {
      return Err({ outcome: Outcome.Unknown, cause: FailureCause.InvalidAnswer });
    }
    if (promisesNotRun(status)) {
      return Err({ outcome: Outcome.Unknown, cause: FailureCause.UnstatedRefusal });
    }
    const responseHeaders = forwardedHeaders(headers, this.names.requestId);
    return Ok({ status, headers: responseHeaders, body });
  }
}
