import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { GossipSocket } from 'lentillb/peers/gossipSocket.js';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { freeAddress } from '../support/freeAddress.js';

/** The broadcast address; a socket may not send to it unless it is permitted to. */
const FORBIDDEN = '255.255.255.255:9';
const ignore = (): void => undefined;

let address: string;
let socket: GossipSocket;
let errors: (string | undefined)[];

function open(): ReturnType<GossipSocket['open']> {
  const onError = ({ code }: NodeJS.ErrnoException): void => {
    errors.push(code);
  };
  return socket.open({ onError, onClosed: ignore });
}

beforeEach(async () => {
  errors = [];
  address = await freeAddress();
  socket = new GossipSocket(address, { onMessage: ignore, onSuspectReports: ignore });
});

afterEach(() => socket.close());

describe('socket for gossip', () => {
  it('should not wait for ever for an address that is taken, and should open it later', async () => {
    const holder = createSocket('udp4');
    const { host, port } = parseAddress(address);
    await once(holder.bind(port, host), 'listening');
    expect((await open()).unwrapErr().code).toBe('EADDRINUSE');
    holder.close();
    await once(holder, 'close');
    expect((await open()).isOk()).toBe(true);
  });

  it('should not take another address by sending before its own is open', async () => {
    socket.sendSuspectReports(address, []);
    expect((await open()).isOk()).toBe(true);
  });

  it('should pass on datagrams of other kinds', async () => {
    const received: [string, Buffer][] = [];
    socket = new GossipSocket(address, {
      onMessage: ignore,
      onSuspectReports: ignore,
      onOtherDatagram: (from, bytes) => received.push([from, bytes]),
    });
    (await open()).unwrap();
    socket.sendDatagram(address, Buffer.from('q1'));
    await expect.poll(() => received).toEqual([[address, Buffer.from('q1')]]);
  });

  it('should not end the process when datagrams cannot be sent', async () => {
    (await open()).unwrap();
    socket.sendSuspectReports(FORBIDDEN, []);
    socket.sendSuspectReports(FORBIDDEN, []);
    await expect.poll(() => errors).toEqual(['EACCES', 'EACCES']);
  });
});
