import { connect } from 'node:net';
import { SystemClock } from 'lentillb';
import { CallerListener } from 'lentillb/serving/callerListener.js';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { createCallerPresence } from '../support/callerPresence.js';
import { freeAddress } from '../support/freeAddress.js';
import { encodeRequest } from '../support/rawConnection.js';

/** More than the buffers of two sockets hold. */
const BODY = Buffer.alloc(16 * 1024 * 1024, 'a');
const PAUSE_MS = 300;

const clock = new SystemClock();
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
  await listener.listen(address);
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
