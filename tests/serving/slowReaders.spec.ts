import { connect } from 'node:net';
import { SystemClock } from 'lentillb';
import { CallerListener } from 'lentillb/serving/callerListener.js';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { createCallerPresence } from '../support/callerPresence.js';
import { freeAddress } from '../support/freeAddress.js';
import { openListener } from '../support/openListener.js';
import { encodeRequest } from '../support/rawConnection.js';

/** More than the buffers of two sockets hold. */
const BODY = Buffer.alloc(16 * 1024 * 1024, 'a');
const PAUSE_MS = 300;
const HASTE = 5;
/** The pause of a slow reader after each part that it reads, in milliseconds. */
const READ_PAUSE_MS = 10;

/** Lets timers fire early, so that a receiver counts as stalled after a second. */
class HastyClock extends SystemClock {
  override after(delayMs: number, action: () => void): () => void {
    return super.after(delayMs / HASTE, action);
  }
}

const clock = new HastyClock();
let listener: CallerListener;
let address: string;

beforeEach(async () => {
  listener = new CallerListener(
    clock,
    createCallerPresence(clock),
    () => Promise.resolve({ status: 200, headers: {}, body: BODY }),
    { requestIdName: 'x-id' },
  );
  address = await freeAddress();
  await openListener(listener.at('callers', address));
});

afterEach(() => listener.close());

// Guards against planned stops that cut a long answer while its caller still reads it.
it('should get a whole answer though the node begins to stop', async () => {
  const socket = connect(parseAddress(address));
  socket.pause();
  socket.write(encodeRequest({ target: '/', headers: { host: 'a.example' } }));
  await clock.sleep(PAUSE_MS);
  listener.startDraining();
  await listener.stopGracefully();
  let bytes = 0;
  const ended = new Promise((resolve) => {
    socket.on('close', resolve);
    socket.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > BODY.length) {
        resolve(undefined);
      }
    });
  });
  socket.resume();
  await ended;
  socket.destroy();
  expect(bytes).toBeGreaterThan(BODY.length);
});

// Guards against callers that are given up although they read, because their next answer has to wait.
it('should get the answers to pipelined requests one after the other', async () => {
  const socket = connect(parseAddress(address));
  const request = encodeRequest({ target: '/', headers: { host: 'a.example' } });
  socket.write(request + request);
  let bytes = 0;
  await new Promise((resolve) => {
    socket.on('close', resolve);
    socket.on('error', resolve);
    socket.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      socket.pause();
      setTimeout(() => socket.resume(), READ_PAUSE_MS);
      if (bytes > 2 * BODY.length) {
        resolve(undefined);
      }
    });
  });
  socket.destroy();
  expect(bytes).toBeGreaterThan(2 * BODY.length);
});
