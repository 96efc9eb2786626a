/** Sends one request over HTTP and says truthfully what became of it. */
import type { IncomingHttpHeaders } from 'node:http';
import { Readable } from 'node:stream';
import { Err, Ok } from 'ts-results-es';
import type { Dispatcher } from 'undici';
import type { CallFailure, CallResult } from './call.js';
import { FailureReason, failureReasons } from './call.js';
import type { HeaderFields } from './callHeaders.js';
import { LOWEST_FINAL_STATUS } from './headHandler.js';
import { CallHeader, numberIn, Outcome, passedOnHeaders } from './callHeaders.js';
import type { Cancellation } from './cancellation.js';

/** A request to one origin. */
export interface ExchangeRequest {
  readonly origin: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderFields;
  readonly body: Buffer | Readable | undefined;
  readonly cancellation: Cancellation;
  /** Whether the other side is a gate, whose refusals count; an application's headers do not. */
  readonly toGate: boolean;
}

/** Answers up to this length are taken in whole before they are passed on, in bytes. */
const MAX_WHOLE_BYTES = 64 * 1024;
const MS_PER_SECOND = 1_000;

/** Errors of connections that failed before anything was written. */
const NOTHING_WRITTEN = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function outcomeOf(headers: IncomingHttpHeaders): Outcome | undefined {
  const given = headers[CallHeader.Outcome];
  return Object.values(Outcome).find((outcome) => outcome === given);
}

/** A gate says in a few headers why a call got no answer. */
function refusalOf(headers: IncomingHttpHeaders, outcome: Outcome): CallFailure {
  const reason =
    Object.values(FailureReason).find((known) => known === headers[CallHeader.Reason]) ??
    FailureReason.ConnectionLost;
  const retryAfterSeconds = numberIn(headers, 'retry-after');
  const retryAfterMs =
    retryAfterSeconds === undefined ? undefined : retryAfterSeconds * MS_PER_SECOND;
  return { outcome, reason, message: `refused by the gate: ${reason}`, retryAfterMs };
}

/** Takes one answer in, whole where it is short, else as a stream. */
class Exchange implements Dispatcher.DispatchHandler {
  /** What became of the request. */
  readonly result: Promise<CallResult>;

  private readonly settle: (result: CallResult) => void;

  private controller: Dispatcher.DispatchController | undefined;

  private status = 0;

  private headers: IncomingHttpHeaders = {};

  private chunks: Buffer[] = [];

  private stream: Readable | undefined;

  private readonly forgetCancel: () => void;

  constructor(private readonly request: ExchangeRequest) {
    let settle: (result: CallResult) => void = () => undefined;
    this.result = new Promise((resolve) => {
      settle = resolve;
    });
    this.settle = settle;
    this.forgetCancel = request.cancellation.onCancel(() => this.cancel());
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.request.cancellation.reason !== undefined) {
      controller.abort(new Error('cancelled before it was sent'));
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (statusCode < LOWEST_FINAL_STATUS) {
      return;
    }
    this.status = statusCode;
    this.headers = headers;
    const bytes = numberIn(headers, 'content-length');
    if (bytes === undefined || bytes > MAX_WHOLE_BYTES) {
      this.stream = new Readable({
        read: () => controller.resume(),
        destroy: (error, done) => {
          controller.abort(error ?? new Error('the receiver went away'));
          done(error);
        },
      });
      this.settleWith(this.stream);
    }
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.stream === undefined) {
      this.chunks.push(chunk);
    } else if (!this.stream.push(chunk)) {
      controller.pause();
    }
  }

  onResponseEnd(): void {
    this.forgetCancel();
    if (this.stream === undefined) {
      const [first] = this.chunks;
      const whole =
        this.chunks.length === 1 && first !== undefined ? first : Buffer.concat(this.chunks);
      this.settleWith(whole);
    } else {
      this.stream.push(null);
    }
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    this.forgetCancel();
    if (this.stream === undefined) {
      this.settle(Err(this.failureOf(error)));
    } else if (!this.stream.destroyed) {
      this.stream.destroy(error);
    }
  }

  private settleWith(body: Buffer | Readable): void {
    const { headers, status } = this;
    const outcome = this.request.toGate ? outcomeOf(headers) : undefined;
    this.settle(
      outcome === undefined
        ? Ok({ status, headers: passedOnHeaders(headers), body })
        : Err(refusalOf(headers, outcome)),
    );
  }

  private cancel(): void {
    // Before it is started the request waits for a connection; it is ended when its turn comes.
    this.controller?.abort(new Error(`cancelled: ${this.request.cancellation.reason}`));
    if (this.controller === undefined) {
      this.settle(Err(this.failureOf(new Error('cancelled before it was sent'))));
    }
  }

  private failureOf(error: NodeJS.ErrnoException): CallFailure {
    const { origin } = this.request;
    const { code = error.name, message } = error;
    const cancelled = this.request.cancellation.reason;
    if (this.controller === undefined && cancelled !== undefined) {
      const detail = `${cancelled} before a connection to ${origin} was free; not sent`;
      return { outcome: Outcome.NotRun, reason: failureReasons[cancelled], message: detail };
    }
    if (NOTHING_WRITTEN.has(code)) {
      const detail = `connect to ${origin}: ${code}; the request was not sent`;
      return { outcome: Outcome.NotRun, reason: FailureReason.ConnectFailed, message: detail };
    }
    return {
      outcome: Outcome.Unknown,
      reason: FailureReason.ConnectionLost,
      message: `exchange with ${origin}: ${message || code}; the request may have run`,
    };
  }
}

/**
 * Sends a request and waits for its answer, or for the head of a long one.
 *
 * @param dispatcher - the connections to use
 * @param request - the request
 * @returns the answer, or why there is none and whether the request may have run
 */
export function exchange(dispatcher: Dispatcher, request: ExchangeRequest): Promise<CallResult> {
  const handler = new Exchange(request);
  const { origin, method, target, headers, body } = request;
  dispatcher.dispatch(
    {
      origin,
      path: target,
      method,
      headers,
      body,
      headersTimeout: 0,
      bodyTimeout: 0,
    },
    handler,
  );
  return handler.result;
}
