import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { listenOnLoopback, Relay, RelayFault } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { freeAddress } from '../support/freeAddress.js';
import { waitFor } from '../support/testNode.js';

const DELAY_MS = 80;
/** The time that data gets to cross loopback. */
const LOOPBACK_TRANSFER_MS = 40;

const clock = new SystemClock();

let server: Server;
let relay: Relay;
let received: string;
let echoed: string;
let socket: Socket;
let isConnectionLost: boolean;

/** Waits until both sides have received the given data; a timeout error shows that data. */
function waitForData(sides: { received?: string; echoed?: string }): Promise<void> {
  return waitFor(
    () => received === (sides.received ?? received) && echoed === (sides.echoed ?? echoed),
    JSON.stringify(sides),
  );
}

beforeEach(async () => {
  received = '';
  echoed = '';
  isConnectionLost = false;
  server = createServer((connection) => {
    connection.on('error', () => undefined);
    connection.on('data', (chunk: Buffer) => {
      received += chunk.toString();
      connection.write(chunk);
    });
  });
  const target = await listenOnLoopback(server);
  relay = new Relay(clock, () => target, DELAY_MS);
  const address = await freeAddress();
  await relay.listen(address);
  socket = connect(Number(address.split(':')[1]), '127.0.0.1');
  socket.on('error', () => {
    isConnectionLost = true;
  });
  socket.on('data', (chunk: Buffer) => {
    echoed += chunk.toString();
  });
  socket.write('a');
  await waitForData({ received: 'a', echoed: 'a' });
});

afterEach(() => {
  socket.destroy();
  relay.close();
  server.close();
});

describe('relay of the soak test', () => {
  it('should hold data back in both directions, and deliver it after the fault', async () => {
    relay.setFault(RelayFault.StallBoth);
    socket.write('b');
    await clock.sleep(LOOPBACK_TRANSFER_MS);
    expect({ received, echoed, isConnectionLost }).toEqual({
      received: 'a',
      echoed: 'a',
      isConnectionLost: false,
    });
    relay.setFault(undefined);
    await waitForData({ received: 'ab', echoed: 'ab' });
  });

  it('should hold data back in one direction only', async () => {
    relay.setFault(RelayFault.StallToDownstream);
    socket.write('b');
    await waitForData({ received: 'ab' });
    await clock.sleep(LOOPBACK_TRANSFER_MS);
    expect(echoed).toBe('a');
    relay.setFault(RelayFault.StallToUpstream);
    socket.write('c');
    await waitForData({ echoed: 'ab' });
    await clock.sleep(LOOPBACK_TRANSFER_MS);
    expect(received).toBe('ab');
  });

  it('should delay data and keep its order', async () => {
    relay.setFault(RelayFault.Delay);
    const sentMs = clock.monotonicMs();
    socket.write('b');
    await waitForData({ received: 'ab' });
    expect(clock.monotonicMs() - sentMs).toBeGreaterThanOrEqual(DELAY_MS - 1);
    socket.write('c');
    await waitForData({ received: 'abc' });
  });

  it('should refuse new connections and keep open ones after it has stopped listening', async () => {
    const port = socket.remotePort ?? 0;
    relay.stopListening();
    socket.write('b');
    await waitForData({ received: 'ab', echoed: 'ab' });
    const late = connect(port, '127.0.0.1');
    const [error] = (await once(late, 'error')) as [NodeJS.ErrnoException];
    expect(error.code).toBe('ECONNREFUSED');
  });

  it('should reset connections', async () => {
    relay.setFault(RelayFault.Reset);
    await waitFor(() => isConnectionLost, 'the connection to be lost');
  });
});
