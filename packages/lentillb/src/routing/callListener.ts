/** Accepts the requests of callers over HTTP/1.1. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { CallHeader } from '../calls/callHeaders.js';
import { cancelOnDisconnect } from '../calls/callerDisconnect.js';
import { readBody } from '../calls/requestBody.js';
import { sendResponse, sendFailure } from '../calls/respond.js';
import type { Services } from '../kernel/services.js';
import { HttpListener } from '../utils/httpListener.js';

const REQUEST_ID_PATTERN = /^[\w.:-]{1,100}$/;

type Dependencies = Pick<
  Services,
  'announcer' | 'callRouter' | 'clock' | 'logger' | 'metrics' | 'settings'
>;

/** Returns the caller's request id if it is valid, else a new one. */
function requestIdOf({ headers }: IncomingMessage): string {
  const callerRequestId = headers[CallHeader.RequestId];
  return typeof callerRequestId === 'string' && REQUEST_ID_PATTERN.test(callerRequestId)
    ? callerRequestId
    : randomUUID();
}

/** Serves the call port. */
export class CallListener {
  /** The HTTP listener that accepts connections on the call port. */
  readonly http: HttpListener;

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
    this.http = new HttpListener((request, response) => {
      this.handleRequest(request, response);
    });
  }

  /** Starts listening on the configured call port. */
  async listen(): Promise<void> {
    const { announcer, settings } = this.services;
    announcer.ports.callPort = await this.http.listen(settings.callPort, settings.address);
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { callRouter, clock, logger, metrics } = this.services;
    const startedAtMs = clock.monotonicMs();
    const requestId = requestIdOf(request);
    const cancellation = cancelOnDisconnect(request, response);
    const { result, version } = await callRouter.route({
      requestId,
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      headers: request.headers,
      readBody: () => readBody(request),
      cancellation,
    });
    const responseHeaders = {
      [CallHeader.RequestId]: requestId,
      [CallHeader.Version]: String(version),
    };
    const tookMs = clock.monotonicMs() - startedAtMs;
    if (result.isErr()) {
      const { outcome, reason, message } = result.error;
      logger.debug({ requestId, version, outcome, reason, tookMs }, message);
      metrics.count('calls', { outcome, reason });
      sendFailure(response, result.error, responseHeaders);
      return;
    }
    metrics.timing('call_ms', tookMs);
    if (!(await sendResponse(response, result.value, responseHeaders))) {
      logger.warn(
        { requestId, version },
        'answer was incomplete; closed the connection to the caller',
      );
    }
  }
}
