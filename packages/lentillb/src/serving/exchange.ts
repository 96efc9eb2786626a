/** Sends one HTTP request and reads its complete answer, or tells how the exchange failed. */
import { request as openRequest } from 'node:http';
import type { Agent, ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { Err, Ok, Result } from 'ts-results-es';
import { afterPendingInput } from '../utils/pendingInput.js';
import { parseAddress } from '../utils/networkAddress.js';
import type { HeaderFields } from '../calls/callHeaders.js';
import type { AwaitedRequest, CallerPresence } from '../calls/callerPresence.js';
import type { Cancellation } from '../calls/cancellation.js';
import { CancelReason } from '../calls/cancellation.js';
import type { Clock } from '../kernel/clock.js';
import { runInBackground } from '../utils/background.js';
import { isForwardable } from '../utils/messageHead.js';
import { limitResponseHead } from '../utils/responseLimits.js';
import type { MemoryBudget } from '../memory/memoryBudget.js';
import { AnswerBuffer } from './answerBuffer.js';

/** A request that has been sent, and the connection on which its answer is awaited. */
export interface SentRequest {
  readonly socket: Socket;
  /** The time at which it was sent, in milliseconds of the monotonic clock. */
  readonly sentAtMs: number;
  /** Whether other answers have come on the connection before. */
  readonly onReusedConnection: boolean;
  /**
   * Gives the request up and resets its connection, so that nothing of it arrives later.
   *
   * @param failure - the failure of the exchange
   */
  readonly giveUp: (failure: ExchangeFailure) => void;
}

/** A request and its destination. */
export interface ExchangeRequest {
  readonly agent: Agent;
  /** The address and port of the server. */
  readonly address: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderFields;
  /** Returns further headers, whose values depend on the time at which the request is written. */
  readonly headersAtSend?: () => HeaderFields;
  readonly body: Buffer;
  /** The time limit for the connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** The time limit for the whole exchange, in milliseconds. */
  readonly timeoutMs: number;
  readonly cancellation: Cancellation;
  /** The memory in which the answer is buffered. */
  readonly memory: MemoryBudget;
  /** The deadline of the caller, in milliseconds of the monotonic clock. */
  readonly deadlineAtMs?: number;
  /** Decides whether the request may be written; undefined if no caller awaits the answer. */
  readonly presence?: Pick<CallerPresence, 'confirm' | 'isKnown' | 'refusalOf'>;
  /**
   * Whether to omit headers that HTTP/1.1 implies, because traffic between availability zones is
   * charged.
   */
  readonly isTerse?: boolean;
  /**
   * Returns whether the connection of an answer may be reused. Otherwise another answer may follow on
   * it and be taken for the next one. By default, every connection may be.
   */
  readonly mayReuse?: (headers: IncomingMessage['headers'], status: number) => boolean;
  /** Called once the request has been sent. */
  readonly onSent?: (sent: SentRequest) => void;
}

/** A complete answer. */
export interface ExchangeAnswer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  /** Whether other answers had come on its connection before. */
  readonly onReusedConnection: boolean;
}

/** The reasons why there is no complete answer. */
export const ExchangeFailure = {
  /** The connection was not established, so nothing was sent. */
  NotSent: 'not-sent',
  /** A reused connection was lost before the head of an answer arrived. */
  KeptConnectionLost: 'kept-connection-lost',
  /** The connection ended before the answer was complete. */
  Lost: 'lost',
  /** The answer is not valid HTTP, or exceeds a size limit. */
  Malformed: 'malformed',
  TimedOut: 'timed-out',
  /** The connection has gone silent, and the request has certainly not run. */
  SilentNotRun: 'silent-not-run',
  /** The connection has gone silent, so no answer will come. */
  Silent: 'silent',
  Cancelled: 'cancelled',
  /** The request was cancelled before it was written. */
  Withdrawn: 'withdrawn',
  /** The deadline of the caller passed before the request was written. */
  TooLate: 'too-late',
  /** The request has a target or headers that cannot be written. */
  Unsendable: 'unsendable',
} as const;
export type ExchangeFailure = (typeof ExchangeFailure)[keyof typeof ExchangeFailure];

const PARSE_ERROR = /^HPE_/;

/** The failure of a request that may not be written, by the reason. */
export const refusalFailures: Readonly<Record<CancelReason, ExchangeFailure>> = {
  [CancelReason.DeadlinePassed]: ExchangeFailure.TooLate,
  [CancelReason.CallerGone]: ExchangeFailure.Withdrawn,
  [CancelReason.NodeEnding]: ExchangeFailure.Withdrawn,
  [CancelReason.AnsweredElsewhere]: ExchangeFailure.Withdrawn,
};

function open({
  address,
  agent,
  headers,
  isTerse,
  method,
  target,
}: ExchangeRequest): ClientRequest {
  const options = {
    agent,
    ...parseAddress(address),
    method,
    path: target,
    headers,
    setHost: false,
    // Unless it is set, Node.js derives a TLS server name from the headers of each request.
    servername: '',
  };
  const outgoing = openRequest(options);
  if (isTerse === true) {
    outgoing.removeHeader('connection');
  }
  return outgoing;
}

/**
 * Checks whether an answer has no length of its own.
 *
 * @param headers - the headers of an answer
 * @returns whether only the end of the connection ends the answer
 */
function isUnframed(headers: IncomingMessage['headers']): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

class Exchange {
  readonly result: Promise<Result<ExchangeAnswer, ExchangeFailure>>;

  private settle!: (result: Result<ExchangeAnswer, ExchangeFailure>) => void;

  private readonly cleanups: (() => void)[] = [];

  private sent = false;

  private hasResponse = false;

  private done = false;

  constructor(
    private readonly clock: Clock,
    private readonly request: ExchangeRequest,
    private readonly outgoing: ClientRequest,
  ) {
    this.result = new Promise((resolve) => {
      this.settle = resolve;
    });
    this.outgoing.on('error', (error: NodeJS.ErrnoException) => this.fail(this.failureOf(error)));
    this.outgoing.on('response', (response) => this.readResponse(response));
    limitResponseHead(this.outgoing, () => this.fail(ExchangeFailure.Malformed));
    this.watchConnection();
    this.cleanups.push(
      afterPendingInput(clock, request.timeoutMs, () =>
        this.fail(this.sent ? ExchangeFailure.TimedOut : ExchangeFailure.NotSent),
      ),
      request.cancellation.onCancel(() =>
        this.fail(this.sent ? ExchangeFailure.Cancelled : ExchangeFailure.Withdrawn),
      ),
    );
  }

  private watchConnection(): void {
    this.outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        this.sendOnceConfirmed(socket);
        return;
      }
      const stopTimer = afterPendingInput(this.clock, this.request.connectTimeoutMs, () =>
        this.fail(ExchangeFailure.NotSent),
      );
      this.cleanups.push(stopTimer);
      socket.once('connect', () => {
        stopTimer();
        this.sendOnceConfirmed(socket);
      });
    });
  }

  /** Sends the request on a connection, at once if its caller is known to be there. */
  private sendOnceConfirmed(socket: Socket): void {
    const { presence } = this.request;
    if (presence === undefined) {
      this.send(socket);
    } else if (presence.isKnown()) {
      this.sendUnless(presence.refusalOf(this.awaited), socket);
    } else {
      runInBackground(
        presence.confirm(this.awaited).then((refusal) => this.sendUnless(refusal, socket)),
      );
    }
  }

  private get awaited(): AwaitedRequest {
    const { cancellation, deadlineAtMs = Infinity } = this.request;
    return { cancellation, deadlineAtMs };
  }

  private sendUnless(refusal: CancelReason | undefined, socket: Socket): void {
    if (refusal === undefined) {
      this.send(socket);
    } else {
      this.fail(refusalFailures[refusal]);
    }
  }

  private send(socket: Socket): void {
    if (!this.done) {
      const written = Result.wrap(() => this.setHeaders(this.request.headersAtSend?.() ?? {}));
      if (written.isErr()) {
        this.fail(ExchangeFailure.Unsendable);
        return;
      }
      this.sent = true;
      this.outgoing.end(this.request.body);
      this.request.onSent?.({
        socket,
        sentAtMs: this.clock.monotonicMs(),
        onReusedConnection: this.outgoing.reusedSocket,
        giveUp: (failure) => {
          if (!this.done) {
            this.finish(Err(failure));
            socket.resetAndDestroy();
          }
        },
      });
    }
  }

  private setHeaders(headers: HeaderFields): void {
    Object.keys(headers).forEach((name) => this.outgoing.setHeader(name, headers[name] ?? ''));
  }

  private readResponse(response: IncomingMessage): void {
    this.hasResponse = true;
    if (!isForwardable(response)) {
      this.fail(ExchangeFailure.Malformed);
      return;
    }
    const { mayReuse } = this.request;
    if (mayReuse?.(response.headers, response.statusCode ?? 0) === false) {
      // Destroying the request has no effect any more once its answer is complete.
      this.outgoing.shouldKeepAlive = false;
    }
    let wasReset = false;
    // Data that arrives together with a reset is reported as a regular end. Only the missing remote
    // address reveals the reset.
    const { socket } = this.outgoing;
    if (isUnframed(response.headers)) {
      socket?.prependOnceListener('end', () => {
        wasReset = socket.remoteAddress === undefined;
      });
    }
    const answer = new AnswerBuffer(this.request.memory);
    this.cleanups.push(() => answer.release());
    response.on('data', (chunk: Buffer) => {
      if (!answer.add(chunk)) {
        this.fail(ExchangeFailure.Malformed);
      }
    });
    response.on('error', (error: NodeJS.ErrnoException) => this.fail(this.failureOf(error)));
    response.on('close', () => this.fail(ExchangeFailure.Lost));
    response.on('end', () => {
      if (!response.complete || wasReset) {
        this.fail(ExchangeFailure.Lost);
        return;
      }
      const { headers, statusCode = 0 } = response;
      const body = answer.concat();
      const onReusedConnection = this.outgoing.reusedSocket;
      this.finish(Ok({ status: statusCode, headers, body, onReusedConnection }));
    });
  }

  private failureOf({ code = '' }: NodeJS.ErrnoException): ExchangeFailure {
    if (!this.sent) {
      return ExchangeFailure.NotSent;
    }
    if (PARSE_ERROR.test(code)) {
      return ExchangeFailure.Malformed;
    }
    return this.outgoing.reusedSocket && !this.hasResponse
      ? ExchangeFailure.KeptConnectionLost
      : ExchangeFailure.Lost;
  }

  private fail(failure: ExchangeFailure): void {
    if (!this.done) {
      this.finish(Err(failure));
      this.outgoing.destroy();
    }
  }

  private finish(result: Result<ExchangeAnswer, ExchangeFailure>): void {
    if (this.done) {
      return;
    }
    this.done = true;
    this.cleanups.forEach((cleanup) => cleanup());
    this.settle(result);
  }
}

/**
 * Sends a request and reads its complete answer.
 *
 * @param clock - the clock for time-outs
 * @param request - the request and its destination
 * @returns the answer, or the reason why there is none
 */
export function exchange(
  clock: Clock,
  request: ExchangeRequest,
): Promise<Result<ExchangeAnswer, ExchangeFailure>> {
  const opened = Result.wrap(() => open(request));
  return opened.isErr()
    ? Promise.resolve(Err(ExchangeFailure.Unsendable))
    : new Exchange(clock, request, opened.value).result;
}
