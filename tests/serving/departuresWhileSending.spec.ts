import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { wireHeaders } from '@lentillb/platform';
import { listenOnLoopback } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { BackendServerClient } from 'lentillb/serving/backendServerClient.js';
import { ConnectionPool } from 'lentillb/serving/connectionPool.js';
import type { ForwardedRequest } from 'lentillb/serving/messages.js';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { blockEventLoop } from '../support/blockEventLoop.js';
import { createForwardedRequest } from '../support/forwardedRequest.js';
import { LeavingCallers } from '../support/leavingCallers.js';
import { createRequestSender } from '../support/requestSender.js';
import { recordWrites } from '../support/sentRequests.js';

const CALLER_COUNT = 8;
const CONNECT_MS = 50;

const clock = new SystemClock();

let backend: Server;
let address: string;
let client: BackendServerClient;
let callers: LeavingCallers;
let resets: (socket: Socket) => boolean;

async function createRequest(requestId: string): Promise<ForwardedRequest> {
  const headers = { host: 'a.example', [wireHeaders.requestId]: requestId };
  const cancellation = await callers.connect();
  return createForwardedRequest(clock, { requestId, headers, cancellation, repeatable: true });
}

function send(request: ForwardedRequest): ReturnType<BackendServerClient['send']> {
  return client.send(request, { address, instanceId: 'i', usualServiceMs: 50 });
}

beforeEach(async () => {
  resets = () => false;
  backend = createServer((request, response) => {
    if (resets(request.socket)) {
      request.socket.resetAndDestroy();
      return;
    }
    const requestId = `${request.headers[wireHeaders.requestId]?.toString()}`;
    response.writeHead(200, { [wireHeaders.requestId]: requestId, [wireHeaders.seal]: 'seal' });
    response.end();
  });
  address = await listenOnLoopback(backend);
  callers = new LeavingCallers();
  await callers.start();
  client = new BackendServerClient(clock, createRequestSender(clock), wireHeaders, {
    onSent: () => undefined,
    mayResend: () => true,
    onStatement: () => undefined,
  });
});

afterEach(() => {
  vi.restoreAllMocks();
  callers.close();
  client.close();
  backend.closeAllConnections();
  backend.close();
});

describe('a request whose caller leaves while others are being sent', () => {
  it('should not be sent on a connection that was established together with theirs', async () => {
    const requests: ForwardedRequest[] = [];
    for (let count = 0; count < CALLER_COUNT; count += 1) {
      requests.push(await createRequest(`r-${count}`));
    }
    const written = recordWrites(wireHeaders.requestId, () => {
      if (written.length === 1) {
        callers.leave();
      }
    });
    const sent = requests.map(send);
    // The connections are all established before the first of them is noticed.
    blockEventLoop(CONNECT_MS);
    const results = await Promise.all(sent);
    expect(written.map(({ id }) => id)).toEqual(['r-0']);
    expect(results.slice(1).map((result) => result.unwrapErr())).toEqual(
      Array(CALLER_COUNT - 1).fill({ outcome: 'not-run', cause: 'caller-gone' }),
    );
  });
});

describe('a request whose caller leaves when its kept connection is reset', () => {
  it('should not be sent again', async () => {
    await send(await createRequest('first'));
    const request = await createRequest('r');
    const written = recordWrites(wireHeaders.requestId);
    const loss = vi.spyOn(ConnectionPool.prototype, 'recordConnectionLoss');
    loss.mockImplementation(() => callers.leave());
    resets = () => true;
    const result = await send(request);
    expect(loss).toHaveBeenCalledOnce();
    expect(result.unwrapErr().outcome).toBe('unknown');
    expect(written.map(({ id }) => id)).toEqual(['r']);
  });
});
