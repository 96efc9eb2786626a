import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Relay, RelayFault } from '../../soak/dist/relay.js';
import { freeAddress } from '../support/freeAddress.js';
import { waitFor } from '../support/testNode.js';

const DELAY_MS = 80;
/** Long enough for bytes to cross loopback, in milliseconds. */
const CROSS_MS = 40;

const clock = new SystemClock();

let server: Server;
let relay: Relay;
let received: string;
let echoed: string;
let socket: Socket;
let lost: boolean;

/** Waits until both sides have what they should; the message names them where they have not. */
function until(sides: { received?: string; echoed?: string }): Promise<void> {
  return waitFor(
    () => received === (sides.received ?? received) && echoed === (sides.echoed ?? echoed),
    JSON.stringify(sides),
  );
}

beforeEach(async () => {
  received = '';
  echoed = '';
  lost = false;
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
    lost = true;
  });
  socket.on('data', (chunk: Buffer) => {
    echoed += chunk.toString();
  });
  socket.write('a');
  await until({ received: 'a', echoed: 'a' });
});

afterEach(() => {
  socket.destroy();
  relay.close();
  server.close();
});

describe('a relay of the soak', () => {
  it('should hold everything back while silent, and pass it on afterwards', async () => {
    relay.disturb(RelayFault.Silence);
    socket.write('b');
    await clock.sleep(CROSS_MS);
    expect({ received, echoed, lost }).toEqual({ received: 'a', echoed: 'a', lost: false });
    relay.disturb(undefined);
    await until({ received: 'ab', echoed: 'ab' });
  });

  it('should cut one way only', async () => {
    relay.disturb(RelayFault.CutBack);
    socket.write('b');
    await until({ received: 'ab' });
    await clock.sleep(CROSS_MS);
    expect(echoed).toBe('a');
    relay.disturb(RelayFault.CutForth);
    socket.write('c');
    await until({ echoed: 'ab' });
    await clock.sleep(CROSS_MS);
    expect(received).toBe('ab');
  });

  it('should delay bytes and keep their order', async () => {
    relay.disturb(RelayFault.Delay);
    const sentMs = clock.monotonicMs();
    socket.write('b');
    await until({ received: 'ab' });
    expect(clock.monotonicMs() - sentMs).toBeGreaterThanOrEqual(DELAY_MS - 1);
    socket.write('c');
    await until({ received: 'abc' });
  });

  it('should reset connections', async () => {
    relay.disturb(RelayFault.Reset);
    await waitFor(() => lost, 'the connection to be lost');
  });
});
