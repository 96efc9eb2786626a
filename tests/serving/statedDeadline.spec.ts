import { createServer } from 'node:http';
import type { IncomingHttpHeaders, Server } from 'node:http';
import { wireHeaders } from '@lentillb/platform';
import { listenOnLoopback } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { Cancellation } from 'lentillb/calls/cancellation.js';
import { BackendServerClient } from 'lentillb/serving/backendServerClient.js';
import { GateServer } from 'lentillb/serving/gateServer.js';
import type { ForwardedRequest } from 'lentillb/serving/messages.js';
import { Err } from 'ts-results-es';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { blockEventLoop } from '../support/blockEventLoop.js';
import { createForwardedRequest, encodeHeaders } from '../support/forwardedRequest.js';
import { noBodies, noTransfers } from '../support/noTransfers.js';
import { ManualClock } from '../support/manualClock.js';
import { createRequestSender } from '../support/requestSender.js';

const DEADLINE_MS = 1_000;
const DELAY_MS = 200;

let backend: Server;
let received: IncomingHttpHeaders;
let address: string;

beforeEach(async () => {
  backend = createServer((request, response) => {
    received = request.headers;
    response.end();
  });
  address = await listenOnLoopback(backend);
});

afterEach(() => {
  backend.closeAllConnections();
  backend.close();
});

it('should state the time that is left once the connection to the backend server is established', async () => {
  const clock = new SystemClock();
  const client = new BackendServerClient(clock, createRequestSender(clock), wireHeaders, {
    onSent: () => undefined,
    mayResend: () => false,
    onStatement: () => undefined,
  });
  const request = createForwardedRequest(clock, {
    deadlineAtMs: clock.monotonicMs() + DEADLINE_MS,
  });
  const sent = client.send(request, { address, instanceId: 'i', usualServiceMs: 50 });
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  blockEventLoop(DELAY_MS);
  await sent;
  client.close();
  expect(Number(received[wireHeaders.deadlineMs])).toBeLessThanOrEqual(DEADLINE_MS - DELAY_MS);
});

it('should count the deadline at a gate from when the request arrived there', async () => {
  const clock = new ManualClock();
  const served: ForwardedRequest[] = [];
  const gate = {
    serve: (request: ForwardedRequest) => {
      served.push(request);
      const failure = { outcome: 'not-run', cause: 'leaving' } as const;
      return Promise.resolve({ result: Err(failure), report: undefined });
    },
  };
  const server = new GateServer(
    { clock, gate, admission: noBodies, transfers: noTransfers },
    { names: wireHeaders, processId: 1 },
  );
  const sent = createForwardedRequest(clock, { deadlineAtMs: clock.monotonicMs() + DEADLINE_MS });
  const headers = encodeHeaders(clock, sent) as IncomingHttpHeaders;
  const arrivedAtMs = clock.monotonicMs();
  await clock.advance(DELAY_MS);
  const { body, method, target } = sent;
  const cancellation = new Cancellation();
  await server.serve({ arrivedAtMs, body, cancellation, headers, method, target }, false);
  expect(served).toMatchObject([{ deadlineAtMs: sent.deadlineAtMs, targetAtMs: sent.targetAtMs }]);
});
