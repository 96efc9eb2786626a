import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { Cancellation } from 'lentillb/calls/cancellation.js';
import { MemoryBudget } from 'lentillb/memory/memoryBudget.js';
import { BackendServerClient } from 'lentillb/serving/backendServerClient.js';
import { CallerListener } from 'lentillb/serving/callerListener.js';
import { ConnectionPool } from 'lentillb/serving/connectionPool.js';
import { exchange } from 'lentillb/serving/exchange.js';
import type { ForwardedRequest } from 'lentillb/serving/messages.js';
import { wireHeaders } from '@lentillb/platform';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createCallerPresence } from '../support/callerPresence.js';
import { createForwardedRequest } from '../support/forwardedRequest.js';
import { createRequestSender } from '../support/requestSender.js';
import { freeAddress } from '../support/freeAddress.js';
import { encodeResponse, ScriptedServer } from '../support/scriptedServer.js';

/** The idle time after which the backend server resets a connection without announcing it. */
const SERVER_IDLE_TIMEOUT_MS = 60;

const clock = new SystemClock();

let server: Server;
let serverAddress: string;
let connections: number;
let client: BackendServerClient;

/** Resets a connection whose next request arrives after it was idle for too long. */
function resetWhenIdle(socket: Socket): void {
  let lastMs = Infinity;
  socket.prependListener('data', () => {
    if (clock.monotonicMs() - lastMs > SERVER_IDLE_TIMEOUT_MS) {
      socket.resetAndDestroy();
    }
    lastMs = clock.monotonicMs();
  });
}

function forwardedRequest(): ForwardedRequest {
  const headers = { host: 'a.example', [wireHeaders.requestId]: 'r' };
  return createForwardedRequest(clock, { headers });
}

async function send(): Promise<boolean> {
  const target = { address: serverAddress, instanceId: 'i', usualServiceMs: 50 };
  return (await client.send(forwardedRequest(), target)).isOk();
}

beforeEach(async () => {
  connections = 0;
  client = new BackendServerClient(clock, createRequestSender(clock), wireHeaders, {
    onSent: () => undefined,
    mayResend: () => true,
    onStatement: () => undefined,
  });
  server = createServer((_, response) => {
    response.writeHead(200, { [wireHeaders.requestId]: 'r', [wireHeaders.seal]: 'seal' });
    response.end();
  });
  server.on('connection', (socket: Socket) => {
    connections += 1;
    resetWhenIdle(socket);
  });
  serverAddress = await listenOnLoopback(server);
});

afterEach(() => {
  client.close();
  server.closeAllConnections();
  server.close();
});

describe('connections to a backend server', () => {
  it('should be reused while they are intact', async () => {
    expect(await send()).toBe(true);
    expect(await send()).toBe(true);
    expect(connections).toBe(1);
  });

  it('should lose only one non-repeatable request to connections that were reset while idle', async () => {
    expect(await send()).toBe(true);
    await clock.sleep(SERVER_IDLE_TIMEOUT_MS * 2);
    const outcomes = [await send()];
    for (let count = 0; count < 3; count += 1) {
      outcomes.push(await send());
      await clock.sleep(SERVER_IDLE_TIMEOUT_MS * 2);
    }
    expect(outcomes).toEqual([false, true, true, true]);
  });
});

describe('a connection to a backend server that sends a second copy of an answer', () => {
  it('should not be used again when the copy arrived while it was idle', async () => {
    let markSent: (() => void) | undefined;
    const copySent = new Promise<void>((resolve) => {
      markSent = resolve;
    });
    let spoiltPort: number | undefined;
    const scripted = new ScriptedServer((socket, count) => {
      const head = `${wireHeaders.requestId}: r\r\n${wireHeaders.seal}: seal\r\n`;
      if (socket.remotePort === spoiltPort) {
        socket.write('rest of the copy\r\n\r\n');
      }
      socket.write(encodeResponse(`answer ${count}`, head));
      if (count === 1) {
        spoiltPort = socket.remotePort;
        setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nx-late: ', markSent), 30);
      }
    });
    serverAddress = `127.0.0.1:${await scripted.listen()}`;
    expect(await send()).toBe(true);
    await copySent;
    await clock.sleep(20);
    expect(await send()).toBe(true);
    scripted.close();
  });

  it.each([
    ['a rejection that names no request', `HTTP/1.1 503 Busy\r\n${wireHeaders.notRun}: 1`],
    ['the answer to another request', `HTTP/1.1 200 OK\r\n${wireHeaders.requestId}: other`],
  ])('should not be used again after %s', async (_, head) => {
    const ports = new Set<number | undefined>();
    const scripted = new ScriptedServer((socket) => {
      socket.write(`${head}\r\ncontent-length: 0\r\n\r\n`);
      ports.add(socket.remotePort);
    });
    serverAddress = `127.0.0.1:${await scripted.listen()}`;
    expect([await send(), await send()]).toEqual([false, false]);
    expect(ports.size).toBe(2);
    scripted.close();
  });

  it('should not deliver a failure that names no request', async () => {
    const scripted = new ScriptedServer((socket) => {
      socket.write('HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n');
    });
    serverAddress = `127.0.0.1:${await scripted.listen()}`;
    expect(await send()).toBe(false);
    scripted.close();
  });
});

describe('a backend server that never answers what it cannot queue', () => {
  it('should cost one request its answer, and its connection, but no later request', async () => {
    const silentPorts = new Set<number | undefined>();
    const scripted = new ScriptedServer((socket, count) => {
      if (count === 1) {
        silentPorts.add(socket.remotePort);
      }
      if (!silentPorts.has(socket.remotePort)) {
        const head = `${wireHeaders.requestId}: r\r\n${wireHeaders.seal}: seal\r\n`;
        socket.write(encodeResponse('answer', head));
      }
    });
    serverAddress = `127.0.0.1:${await scripted.listen()}`;
    const request = { ...forwardedRequest(), deadlineAtMs: clock.monotonicMs() + 200 };
    const unanswered = await client.send(request, {
      address: serverAddress,
      instanceId: 'i',
      usualServiceMs: 50,
    });
    expect(unanswered.unwrapErr()).toEqual({ outcome: 'unknown', cause: 'deadline-passed' });
    expect([await send(), await send()]).toEqual([true, true]);
    scripted.close();
  });
});

describe('connections to a backend server that go silent for good', () => {
  const CONNECTIONS = 4;
  const IDLE_MS = 200;

  it('should cost one request its answer, and its connection, but no later request', async () => {
    let isSilent = false;
    const silentPorts = new Set<number | undefined>();
    const openPorts = new Set<number | undefined>();
    const scripted = new ScriptedServer((socket) => {
      openPorts.add(socket.remotePort);
      if (!silentPorts.has(socket.remotePort)) {
        const head = `${wireHeaders.requestId}: r\r\n${wireHeaders.seal}: seal\r\n`;
        setTimeout(() => socket.write(encodeResponse('answer', head)), isSilent ? 0 : IDLE_MS / 10);
      }
    });
    serverAddress = `127.0.0.1:${await scripted.listen()}`;
    await Promise.all(Array.from({ length: CONNECTIONS }, send));
    isSilent = true;
    openPorts.forEach((port) => silentPorts.add(port));
    const target = { address: serverAddress, instanceId: 'i', usualServiceMs: 50 };
    const request = { ...forwardedRequest(), deadlineAtMs: clock.monotonicMs() + 1_000 };
    const unanswered = client.send(request, target);
    await clock.sleep(IDLE_MS);
    expect([await send(), await send()]).toEqual([true, true]);
    expect((await unanswered).isErr()).toBe(true);
    scripted.close();
  });
});

describe('connections between nodes', () => {
  it('should omit headers that HTTP/1.1 implies, and be kept alive', async () => {
    const seen: string[] = [];
    const listener = new CallerListener(
      clock,
      createCallerPresence(clock),
      ({ headers }) => {
        seen.push(...Object.keys(headers));
        return Promise.resolve({ status: 200, headers: {}, body: Buffer.from('ran') });
      },
      { requestIdName: wireHeaders.requestId, isTerse: true },
    );
    const address = await freeAddress();
    await listener.listen(address);
    const pool = new ConnectionPool(clock, { idleMs: 1_000, maxIdle: 4 });
    const once = async (): Promise<readonly string[]> => {
      const answer = await exchange(clock, {
        agent: pool,
        address,
        method: 'GET',
        target: '/',
        headers: { host: 'a.example' },
        body: Buffer.alloc(0),
        connectTimeoutMs: 500,
        timeoutMs: 1_000,
        cancellation: new Cancellation(),
        memory: new MemoryBudget(clock),
        isTerse: true,
      });
      return Object.keys(answer.unwrap().headers);
    };
    const answers = [await once(), await once()];
    expect(seen).toEqual(['host', 'host']);
    expect(answers).toEqual([['content-length'], ['content-length']]);
    expect(Object.values(pool.freeSockets).flat()).toHaveLength(1);
    pool.destroy();
    listener.close();
  });
});
