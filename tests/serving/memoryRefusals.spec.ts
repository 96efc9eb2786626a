import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { SystemClock } from 'lentillb';
import { MemoryBudget } from 'lentillb/memory/memoryBudget.js';
import { MemoryUse } from 'lentillb/memory/memoryUse.js';
import { CallerListener } from 'lentillb/serving/callerListener.js';
import { decodeReply, memoryRefusalReply } from 'lentillb/serving/gateProtocol.js';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { createCallerPresence } from '../support/callerPresence.js';
import { freeAddress } from '../support/freeAddress.js';
import { openListener } from '../support/openListener.js';

const clock = new SystemClock();
const HEAD = 'POST / HTTP/1.1\r\nhost: a.example\r\n';
const ANSWER_TIMEOUT_MS = 10_000;

let memory: MemoryBudget;
let listener: CallerListener;
let address: string;
let handled: number;
let sockets: Socket[];

beforeEach(async () => {
  handled = 0;
  sockets = [];
  memory = new MemoryBudget(clock);
  listener = new CallerListener(
    clock,
    createCallerPresence(clock),
    ({ body }) => {
      handled += 1;
      return Promise.resolve({ status: 200, headers: {}, body });
    },
    { requestIdName: 'x-id', memory },
  );
  address = await freeAddress();
  await openListener(listener.at('callers', address));
});

afterEach(() => {
  sockets.forEach((socket) => socket.destroy());
  listener.close();
});

/** Sends data and returns what comes back, up to the end of the first head. */
function exchange(...data: (Buffer | string)[]): Promise<string> {
  const socket = connect(parseAddress(address));
  sockets.push(socket);
  data.forEach((part) => socket.write(part));
  return new Promise((resolve) => {
    let text = '';
    const timer = setTimeout(() => resolve('no answer'), ANSWER_TIMEOUT_MS);
    const finish = (): void => {
      clearTimeout(timer);
      resolve(text);
    };
    socket.on('error', finish);
    socket.on('close', finish);
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString('latin1');
      if (text.includes('\r\n\r\n')) {
        finish();
      }
    });
  });
}

/** Takes all that a use may have. */
function fill(use: MemoryUse): void {
  for (let bytes = memory.roomBytes; bytes >= 1; bytes /= 2) {
    while (memory.tryTake(use, Math.floor(bytes)));
  }
}

// Guards against callers that do not learn that their request was not run.
it('should answer a body for which there is no memory with 503, and not run it', async () => {
  fill(MemoryUse.Bodies);
  const body = Buffer.alloc(900_000, 'b');
  const answer = await exchange(`${HEAD}content-length: 1000000\r\n\r\n`, body);
  expect(answer).toContain(' 503 ');
  expect(answer).toContain('retry-after: 0.500');
  expect(handled).toBe(0);
  expect(await exchange(`${HEAD}content-length: 0\r\n\r\n`)).toContain(' 200 ');
});

it('should answer a request for which there is no memory with 503, and keep its connection', async () => {
  fill(MemoryUse.Requests);
  const answer = await exchange(`${HEAD}content-length: 0\r\n\r\n`);
  expect(answer).toContain(' 503 ');
  expect(answer).not.toContain('connection: close');
  expect(handled).toBe(0);
});

it('should answer a body that stalls with 503 once others need its memory', async () => {
  const stalled = exchange(`${HEAD}content-length: 1000\r\n\r\n`, 'b');
  await clock.sleep(1_500);
  fill(MemoryUse.Bodies);
  expect(await stalled).toContain(' 503 ');
  expect(handled).toBe(0);
});

it('should release everything when connections are closed at any point of a request', async () => {
  const answers = [
    exchange(HEAD),
    exchange(`${HEAD}content-length: 1000\r\n\r\n`, 'b'),
    exchange(`${HEAD}content-length: 0\r\n\r\n`.repeat(200)),
    exchange('no request\r\n\r\n'),
  ];
  await clock.sleep(300);
  expect(memory.heldBytes).toBeGreaterThan(0);
  sockets.forEach((socket) => socket.destroy());
  await Promise.all(answers);
  await clock.sleep(300);
  expect(memory.heldBytes).toBe(0);
  expect(listener.inFlight).toBe(0);
});

it('should tell another node that the request was not run', () => {
  const { body, headers, status } = memoryRefusalReply;
  const reply = decodeReply({
    status,
    headers: Object.fromEntries(
      Object.entries(headers).map(([name, value]) => [name, String(value)]),
    ),
    body,
    onReusedConnection: false,
  });
  expect(reply.result.unwrapErr()).toMatchObject({ outcome: 'not-run', cause: 'no-memory' });
});
