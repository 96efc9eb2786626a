import { Agent } from 'node:http';
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { Cancellation, CancelReason } from 'lentillb/calls/cancellation.js';
import { MemoryBudget } from 'lentillb/memory/memoryBudget.js';
import { exchange, ExchangeFailure } from 'lentillb/serving/exchange.js';
import { afterEach, describe, expect, it } from 'vitest';
import { sendRequest } from '../support/sendRequest.js';
import { blockEventLoop } from '../support/blockEventLoop.js';

const HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n';
const clock = new SystemClock();

let server: Server | undefined;
let agent: Agent;

async function send(reply: (socket: Socket) => void, cancellation = new Cancellation()) {
  agent = new Agent({ keepAlive: true });
  server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => reply(socket));
  });
  const listening = server;
  const address = await listenOnLoopback(listening);
  return sendRequest(address, { agent, cancellation, timeoutMs: 1_000 });
}

afterEach(() => {
  agent.destroy();
  server?.close();
});

describe('exchange', () => {
  it('should read a complete answer', async () => {
    const result = await send((socket) => socket.write(`${HEAD}Content-Length: 4\r\n\r\nbody`));
    expect(result.unwrap().body.toString()).toBe('body');
  });

  it('should accept an answer without a length as complete when its connection ends', async () => {
    const result = await send((socket) => socket.end(`${HEAD}\r\nbody`));
    expect(result.unwrap().body.toString()).toBe('body');
  });

  it('should not accept an answer without a length as complete when its connection is reset', async () => {
    const result = await send((socket) => {
      socket.write(`${HEAD}\r\nhalf of a bo`, () => socket.resetAndDestroy());
      setImmediate(() => blockEventLoop(50));
    });
    expect(result.unwrapErr()).toBe(ExchangeFailure.Lost);
  });

  it.each([
    ['a truncated body', `${HEAD}Content-Length: 400\r\n\r\nhalf`, ExchangeFailure.Lost],
    [
      'truncated chunks',
      `${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`,
      ExchangeFailure.Lost,
    ],
    ['an answer that is not HTTP', 'SPOILT\r\n\r\n', ExchangeFailure.Malformed],
    ['an empty answer', '', ExchangeFailure.Lost],
  ])('should fail for %s', async (_, bytes, failure) => {
    const result = await send((socket) => socket.end(bytes));
    expect(result.unwrapErr()).toBe(failure);
  });

  it('should report that nothing was sent when the connection is refused', async () => {
    const refused = await exchange(clock, {
      agent: new Agent(),
      address: '127.0.0.1:1',
      method: 'GET',
      target: '/',
      headers: {},
      body: Buffer.alloc(0),
      connectTimeoutMs: 500,
      timeoutMs: 1_000,
      cancellation: new Cancellation(),
      memory: new MemoryBudget(clock),
    });
    expect(refused.unwrapErr()).toBe(ExchangeFailure.NotSent);
  });

  it('should be cancelled when its caller disconnects', async () => {
    const cancellation = new Cancellation();
    let closed = false;
    const result = await send((socket) => {
      socket.once('close', () => {
        closed = true;
      });
      cancellation.cancel(CancelReason.CallerGone);
    }, cancellation);
    expect(result.unwrapErr()).toBe(ExchangeFailure.Cancelled);
    await clock.sleep(50);
    expect(closed).toBe(true);
  });

  it('should read an answer that was pending in the socket at the time-out', async () => {
    const result = await send((socket) => {
      socket.write(`${HEAD}Content-Length: 4\r\n\r\nbody`);
      blockEventLoop(1_200);
    });
    expect(result.unwrap().body.toString()).toBe('body');
  });
});
