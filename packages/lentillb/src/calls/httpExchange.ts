/** Sends a request over HTTP and reports its response, or whether it may have run. */
import type { IncomingHttpHeaders } from 'node:http';
import { Readable } from 'node:stream';
import { Err, Ok } from 'ts-results-es';
import type { Dispatcher } from 'undici';
import type { CallFailure, CallResult } from './call.js';
import { FailureReason, cancellationFailureReasons } from './call.js';
import { hasForwardableHeaders } from '../utils/messageHead.js';
import { isFinalStatus, MIN_FINAL_STATUS } from './answerStatuses.js';
import type { HeaderFields } from './callHeaders.js';
import { CallHeader, parseIntegerHeader, Outcome, forwardedHeaders } from './callHeaders.js';
import type { Cancellation } from './cancellation.js';

/** A request to one origin. */
export interface ExchangeRequest {
  readonly origin: string;
  readonly method: string;
  readonly target: string;
  readonly headers: HeaderFields;
  readonly body: Buffer | Readable | undefined;
  readonly cancellation: Cancellation;
  /**
   * Whether the receiver is a gate. Outcome headers are interpreted only then, since an application
   * can set headers of the same name.
   */
  readonly toGate: boolean;
}

/** The longest response body that is buffered whole before it is forwarded, in bytes. */
const MAX_BUFFERED_BYTES = 64 * 1024;
const MS_PER_SECOND = 1_000;

/** Errors of connections that failed before any byte of the request was written. */
const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function readOutcome(headers: IncomingHttpHeaders): Outcome | undefined {
  const value = headers[CallHeader.Outcome];
  return Object.values(Outcome).find((outcome) => outcome === value);
}

/** Reads from the headers of a gate why a call got no response. */
function readGateFailure(headers: IncomingHttpHeaders, outcome: Outcome): CallFailure {
  const reason =
    Object.values(FailureReason).find((known) => known === headers[CallHeader.Reason]) ??
    FailureReason.ConnectionLost;
  const retryAfterSeconds = parseIntegerHeader(headers, 'retry-after');
  const retryAfterMs =
    retryAfterSeconds === undefined ? undefined : retryAfterSeconds * MS_PER_SECOND;
  return { outcome, reason, message: `refused by the gate: ${reason}`, retryAfterMs };
}

/** Receives a response: buffered if it is short, otherwise as a stream. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
  /** Resolves to the response or the failure of the request. */
  readonly result: Promise<CallResult>;

  private readonly settle: (result: CallResult) => void;

  private controller: Dispatcher.DispatchController | undefined;

  private status = 0;

  private headers: IncomingHttpHeaders = {};

  private chunks: Buffer[] = [];

  private stream: Readable | undefined;

  private readonly removeCancelListener: () => void;

  constructor(private readonly request: ExchangeRequest) {
    let settle: (result: CallResult) => void = () => undefined;
    this.result = new Promise((resolve) => {
      settle = resolve;
    });
    this.settle = settle;
    this.removeCancelListener = request.cancellation.onCancel(() => this.cancel());
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.request.cancellation.reason !== undefined) {
      controller.abort(new Error('the request was cancelled before it was sent'));
    }
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (statusCode < MIN_FINAL_STATUS) {
      return;
    }
    if (!isFinalStatus(statusCode) || !hasForwardableHeaders(headers)) {
      controller.abort(new Error('the status or a header of the response is invalid'));
      return;
    }
    this.status = statusCode;
    this.headers = headers;
    const bytes = parseIntegerHeader(headers, 'content-length');
    if (bytes === undefined || bytes > MAX_BUFFERED_BYTES) {
      this.stream = new Readable({
        read: () => controller.resume(),
        destroy: (error, done) => {
          controller.abort(error ?? new Error('the receiver of the response disconnected'));
          done(error);
        },
      });
      this.settleWithResponse(this.stream);
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
    this.removeCancelListener();
    if (this.stream === undefined) {
      const [first] = this.chunks;
      const body =
        this.chunks.length === 1 && first !== undefined ? first : Buffer.concat(this.chunks);
      this.settleWithResponse(body);
    } else {
      this.stream.push(null);
    }
  }

  onResponseError(_: Dispatcher.DispatchController, error: Error): void {
    this.removeCancelListener();
    if (this.stream === undefined) {
      this.settle(Err(this.toCallFailure(error)));
    } else if (!this.stream.destroyed) {
      this.stream.destroy(error);
    }
  }

  private settleWithResponse(body: Buffer | Readable): void {
    const { headers, status } = this;
    const outcome = this.request.toGate ? readOutcome(headers) : undefined;
    this.settle(
      outcome === undefined
        ? Ok({ status, headers: forwardedHeaders(headers), body })
        : Err(readGateFailure(headers, outcome)),
    );
  }

  private cancel(): void {
    // A request without a controller still waits for a connection; `onRequestStart` aborts it when
    // it gets one.
    this.controller?.abort(
      new Error(`the request was cancelled: ${this.request.cancellation.reason}`),
    );
    if (this.controller === undefined) {
      this.settle(
        Err(this.toCallFailure(new Error('the request was cancelled before it was sent'))),
      );
    }
  }

  private toCallFailure(error: NodeJS.ErrnoException): CallFailure {
    const { origin } = this.request;
    const { code = error.name, message } = error;
    const cancelled = this.request.cancellation.reason;
    if (this.controller === undefined && cancelled !== undefined) {
      const detail = `${cancelled} before a connection to ${origin} was free; the request was not sent`;
      return {
        outcome: Outcome.NotRun,
        reason: cancellationFailureReasons[cancelled],
        message: detail,
      };
    }
    if (CONNECT_ERROR_CODES.has(code)) {
      const detail = `cannot connect to ${origin}: ${code}; the request was not sent`;
      return { outcome: Outcome.NotRun, reason: FailureReason.ConnectFailed, message: detail };
    }
    return {
      outcome: Outcome.Unknown,
      reason: FailureReason.ConnectionLost,
      message: `exchange with ${origin} failed: ${message || code}; the request may have run`,
    };
  }
}

/**
 * Sends a request and waits for its response, or for the response head if the body is streamed.
 *
 * @param dispatcher - the connection pool to use
 * @param request - the request
 * @returns the response, or a failure that tells whether the request may have run
 */
export function exchange(dispatcher: Dispatcher, request: ExchangeRequest): Promise<CallResult> {
  const handler = new ExchangeHandler(request);
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
