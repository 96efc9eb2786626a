/** One HTTP request and its whole answer, and how much is known where there is none. */
import { request as openRequest } from 'node:http';
import type { Agent, ClientRequest, IncomingMessage } from 'node:http';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { afterPendingInput } from '../utils/pendingInput.js';
import { parseAddress } from '../utils/networkAddress.js';
import type { HeaderFields } from '../calls/callHeaders.js';
import type { Cancellation } from '../calls/cancellation.js';
import type { Clock } from '../kernel/clock.js';
import { limitHead } from '../utils/answerLimits.js';
import { AnswerBuffer } from './answerBuffer.js';

/** What to send, and where. */
export interface ExchangeRequest {
  readonly agent: Agent;
  /** Address and port. */
  readonly address: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderFields;
  readonly body: Buffer;
  /** How long the connection may take, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** How long the whole exchange may take, in milliseconds. */
  readonly timeoutMs: number;
  readonly cancellation: Cancellation;
  /** Leaves out what HTTP/1.1 implies: between availability zones every byte is paid for. */
  readonly isTerse?: boolean;
}

/** A whole answer. */
export interface ExchangeAnswer {
  readonly status: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  /** Closes the connection instead of keeping it for further requests. */
  readonly discardConnection: () => void;
}

/** Why there is no whole answer. */
export const ExchangeFailure = {
  /** Nothing was sent. */
  NotSent: 'not-sent',
  /** A kept connection was reset before any byte of an answer. */
  KeptConnectionLost: 'kept-connection-lost',
  /** The connection ended without a whole answer. */
  Lost: 'lost',
  /** What came back is not HTTP, or longer than is kept. */
  Malformed: 'malformed',
  TimedOut: 'timed-out',
  Cancelled: 'cancelled',
} as const;
export type ExchangeFailure = (typeof ExchangeFailure)[keyof typeof ExchangeFailure];

const PARSE_ERROR = /^HPE_/;

/**
 * @param headers - the headers of an answer
 * @returns whether only the end of the connection ends the answer
 */
export function isUnframed(headers: IncomingMessage['headers']): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

class Exchange {
  readonly result: Promise<Result<ExchangeAnswer, ExchangeFailure>>;

  private settle!: (result: Result<ExchangeAnswer, ExchangeFailure>) => void;

  private readonly outgoing: ClientRequest;

  private readonly cleanups: (() => void)[] = [];

  private connected = false;

  private hasResponse = false;

  private done = false;

  constructor(
    private readonly clock: Clock,
    private readonly request: ExchangeRequest,
  ) {
    this.result = new Promise((resolve) => {
      this.settle = resolve;
    });
    this.outgoing = this.open();
    this.outgoing.on('error', (error: NodeJS.ErrnoException) => this.fail(this.failureOf(error)));
    this.outgoing.on('response', (response) => this.readResponse(response));
    limitHead(this.outgoing, () => this.fail(ExchangeFailure.Malformed));
    this.watchConnection();
    this.cleanups.push(
      afterPendingInput(clock, request.timeoutMs, () =>
        this.fail(this.connected ? ExchangeFailure.TimedOut : ExchangeFailure.NotSent),
      ),
      request.cancellation.onCancel(() => this.fail(ExchangeFailure.Cancelled)),
    );
    if (!this.done) {
      this.outgoing.end(request.body);
    }
  }

  private open(): ClientRequest {
    const { address, agent, headers, isTerse, method, target } = this.request;
    const outgoing = openRequest({
      agent,
      ...parseAddress(address),
      method,
      path: target,
      headers,
      setHost: false,
    });
    if (isTerse === true) {
      outgoing.removeHeader('connection');
    }
    return outgoing;
  }

  private watchConnection(): void {
    this.outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        this.connected = true;
        return;
      }
      const stopTimer = afterPendingInput(this.clock, this.request.connectTimeoutMs, () =>
        this.fail(ExchangeFailure.NotSent),
      );
      this.cleanups.push(stopTimer);
      socket.once('connect', () => {
        this.connected = true;
        stopTimer();
      });
    });
  }

  private readResponse(response: IncomingMessage): void {
    this.hasResponse = true;
    let wasReset = false;
    // Data that comes together with a reset is reported as an ordinary end; only the missing
    // address of the other side still tells.
    const { socket } = this.outgoing;
    if (isUnframed(response.headers)) {
      socket?.prependOnceListener('end', () => {
        wasReset = socket.remoteAddress === undefined;
      });
    }
    const answer = new AnswerBuffer();
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
      const discardConnection = (): void => {
        this.outgoing.destroy();
      };
      const body = answer.concat();
      this.finish(Ok({ status: statusCode, headers, body, discardConnection }));
    });
  }

  private failureOf({ code = '' }: NodeJS.ErrnoException): ExchangeFailure {
    if (!this.connected) {
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
    this.cleanups.forEach((end) => end());
    this.settle(result);
  }
}

/**
 * Sends a request and takes in its whole answer.
 *
 * @param clock - the clock that time-outs go by
 * @param request - what to send, and where
 * @returns the answer, or how much is known without one
 */
export function exchange(
  clock: Clock,
  request: ExchangeRequest,
): Promise<Result<ExchangeAnswer, ExchangeFailure>> {
  return new Exchange(clock, request).result;
}
