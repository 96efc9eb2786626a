/** Takes requests of callers over HTTP/1.1. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { CallHeader } from '../calls/callHeaders.js';
import { watchCaller } from '../calls/callerWatch.js';
import { readBody } from '../calls/requestBody.js';
import { respondAnswer, respondFailure } from '../calls/respond.js';
import type { Services } from '../kernel/services.js';
import { HttpListener } from '../utils/httpListener.js';

const REQUEST_ID = /^[\w.:-]{1,100}$/;

type Needs = Pick<
  Services,
  'announcer' | 'callRouter' | 'clock' | 'logger' | 'metrics' | 'settings'
>;

/** The caller's request id where it is usable, else a new one. */
function requestIdOf({ headers }: IncomingMessage): string {
  const given = headers[CallHeader.RequestId];
  return typeof given === 'string' && REQUEST_ID.test(given) ? given : randomUUID();
}

/** Listens on the call port. */
export class CallListener {
  /** The HTTP server under it. */
  readonly http: HttpListener;

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
    this.http = new HttpListener((request, response) => {
      this.serve(request, response);
    });
  }

  /** Starts listening on the call port of the settings. */
  async listen(): Promise<void> {
    const { announcer, settings } = this.services;
    announcer.ports.callPort = await this.http.listen(settings.callPort, settings.address);
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { callRouter, clock, logger, metrics } = this.services;
    const startedMs = clock.monotonicMs();
    const requestId = requestIdOf(request);
    const cancellation = watchCaller(request, response);
    const { result, version } = await callRouter.route({
      requestId,
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      headers: request.headers,
      readBody: () => readBody(request),
      cancellation,
    });
    const extra = { [CallHeader.RequestId]: requestId, [CallHeader.Version]: String(version) };
    const tookMs = clock.monotonicMs() - startedMs;
    if (result.isErr()) {
      const { outcome, reason, message } = result.error;
      logger.debug({ requestId, version, outcome, reason, tookMs }, message);
      metrics.count('calls', { outcome, reason });
      respondFailure(response, result.error, extra);
      return;
    }
    metrics.timing('call_ms', tookMs);
    if (!(await respondAnswer(response, result.value, extra))) {
      logger.warn({ requestId, version }, 'answer was cut short; the connection was broken');
    }
  }
}
