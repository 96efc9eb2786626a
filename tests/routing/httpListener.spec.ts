import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { SystemClock } from 'lentillb';
import { Deadline } from 'lentillb/kernel/deadline.js';
import { HttpListener } from 'lentillb/utils/httpListener.js';
import { expect, it } from 'vitest';
import { RawConnection } from '../support/rawConnection.js';

const CONNECTIONS = 20;
const CLOSE_MS = 2_000;
const CONNECT_MS = 5_000;

/** Sends a request on each of several connections, and reports how each ended. */
const CLIENT = `
  const { connect } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  const { connected, count, port } = workerData;
  const flag = new Int32Array(connected);
  const ends = Array.from({ length: count }, () => new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.write('GET / HTTP/1.1\\r\\nhost: a\\r\\nconnection: close\\r\\n\\r\\n');
      Atomics.add(flag, 0, 1);
      Atomics.notify(flag, 0);
    });
    let answer = '';
    socket.on('data', (chunk) => { answer += chunk; });
    socket.on('error', ({ code }) => resolve(code));
    socket.on('end', () => resolve(answer.slice(0, 15)));
  }));
  Promise.all(ends).then((all) => parentPort.postMessage(all));
`;

it('should answer requests on connections that waited to be accepted when it closed', async () => {
  const listener = new HttpListener((_, response) => {
    response.end('answer');
  });
  const port = await listener.listen(0, '127.0.0.1');
  const connected = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
  const workerData = { connected, count: CONNECTIONS, port };
  const client = new Worker(CLIENT, { eval: true, workerData });
  const reported = once(client, 'message');
  const flag = new Int32Array(connected);
  // Blocks the event loop, so that nothing is accepted meanwhile.
  for (let count = 0; count < CONNECTIONS; count = Atomics.load(flag, 0)) {
    expect(Atomics.wait(flag, 0, count, CONNECT_MS)).not.toBe('timed-out');
  }
  const closed = listener.close(Deadline.after(new SystemClock(), CLOSE_MS));
  const [ends] = (await reported) as [readonly string[]];
  await closed;
  await client.terminate();
  expect(new Set(ends)).toEqual(new Set(['HTTP/1.1 200 OK']));
});

it('should not answer a running request with the refusal of bytes that follow it', async () => {
  const clock = new SystemClock();
  let isRunning = false;
  const listener = new HttpListener((request) => {
    request.resume();
    isRunning = true;
  });
  const connection = await RawConnection.open(`127.0.0.1:${await listener.listen(0, '127.0.0.1')}`);
  connection.write({ target: '/', headers: { host: 'a.example' } });
  await expect.poll(() => isRunning).toBe(true);
  connection.write({ method: 'NO METHOD', target: '/', headers: {} });
  await expect.poll(() => connection.isClosed).toBe(true);
  expect(connection.receivedText).toBe('');
  await listener.close(Deadline.after(clock, CLOSE_MS));
});

it('should refuse bytes that are no request', async () => {
  const listener = new HttpListener(() => undefined);
  const connection = await RawConnection.open(`127.0.0.1:${await listener.listen(0, '127.0.0.1')}`);
  connection.write({ method: 'NO METHOD', target: '/', headers: {} });
  await expect.poll(() => connection.receivedText).toContain('HTTP/1.1 400');
  await listener.close(Deadline.after(new SystemClock(), CLOSE_MS));
});
