import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { listenOnLoopback } from '@lentillb/standins';
import { wireHeaders } from '@lentillb/platform';
import { SystemClock } from 'lentillb';
import { BackendServerClient } from 'lentillb/serving/backendServerClient.js';
import { FailureCause } from 'lentillb/calls/failureCause.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createForwardedRequest } from '../support/forwardedRequest.js';
import { createRequestSender } from '../support/requestSender.js';

const clock = new SystemClock();
const OWN_ANSWER = { [wireHeaders.requestId]: 'r', [wireHeaders.seal]: 'seal' };

let server: Server;
let client: BackendServerClient;
let address: string;
let requests: number;
let interrupt = (): void => undefined;

/** Answers the first request, and interrupts the second on the same connection. */
beforeEach(async () => {
  requests = 0;
  client = new BackendServerClient(clock, createRequestSender(clock), wireHeaders, {
    onSent: () => undefined,
    mayResend: () => true,
    onStatement: () => undefined,
  });
  server = createServer((request, response) => {
    requests += 1;
    if (requests === 1) {
      response.writeHead(200, OWN_ANSWER).end();
      return;
    }
    if (requests === 2) {
      interrupt();
      request.socket.destroy();
      return;
    }
    response.writeHead(503, { [wireHeaders.notRun]: '1' }).end();
  });
  address = await listenOnLoopback(server);
});

afterEach(() => {
  client.close();
  server.closeAllConnections();
  server.close();
});

function send() {
  const headers = { host: 'a.example', [wireHeaders.requestId]: 'r' };
  const request = createForwardedRequest(clock, { headers, repeatable: true });
  return client.send(request, { address, instanceId: 'i', usualServiceMs: 50 });
}

describe('backend server client', () => {
  it.each([
    ['refuses connections', () => server.close()],
    ['rejects the request', () => undefined],
  ])(
    'should not report a request as not run after its run was lost and the server then %s',
    async (_, handler) => {
      interrupt = handler;
      expect((await send()).isOk()).toBe(true);
      const failure = (await send()).unwrapErr();
      expect(requests).toBeGreaterThanOrEqual(2);
      expect(failure).toMatchObject({ outcome: 'unknown', cause: FailureCause.ConnectionLost });
    },
  );
});
