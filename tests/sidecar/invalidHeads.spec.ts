import { connect } from 'node:net';
import { decodeHeartbeat } from '@lentillb/platform';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { encodeRequest } from '../support/rawConnection.js';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

let fleet: SidecarFleet;
let front: FleetHost;
let back: FleetHost;

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
  front = await fleet.addHost('front', 'pages');
  back = await fleet.addHost('back', 'letters');
  await fleet.waitUntilServed(front, 'letters');
});

afterEach(() => fleet.close());

/** Returns the first line of the answer. */
function sendRaw(address: string, request: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(parseAddress(address));
    socket.once('error', reject);
    socket.once('data', (chunk) => {
      resolve(chunk.toString('latin1').split('\r\n', 1)[0] ?? '');
      socket.destroy();
    });
    socket.write(request, 'latin1');
  });
}

const headers = { host: 'letters.example', 'x-attempt-id': 'r', 'x-deadline-ms': '900' };

// Guards against nodes that end under a request or an answer that they cannot pass on.
describe('a head that cannot be passed on', () => {
  it.each([
    ['a tab in the path', '/a\tb', {}],
    ['a form feed in the path', '/a\fb', {}],
    ['a space in a header name', '/a', { 'x a': 'b' }],
    ['an empty header name', '/a', { '': 'b' }],
  ])('should be answered 400 where a caller sends %s', async (_, target, odd) => {
    for (const host of [front, back]) {
      const request = encodeRequest({ target, headers: { ...headers, ...odd } });
      expect(await sendRaw(host.callerAddress, request)).toMatch(/^HTTP\/1.1 400/);
    }
    expect((await fleet.send(front, 'letters').answer).status).toBe(200);
  });

  it('should count as no answer where a backend server sends it', async () => {
    back.backendServer.setHandler(({ socket }, { requestId }) => {
      const fields = `x-attempt-id: ${requestId}\r\nx-server-seal: s\r\ncache control: no-store\r\n`;
      socket?.write(`HTTP/1.1 200 OK\r\n${fields}content-length: 4\r\n\r\nbody`);
    });
    for (const host of [front, back]) {
      expect((await fleet.send(host, 'letters').answer).status).toBe(502);
    }
  });

  it('should not come from the identity in a heartbeat', () => {
    const beat = {
      service: 'letters',
      address: back.heartbeat.address,
      capacity: 4,
      state: 'ready',
      'warmup-left': '0ms',
      sequence: 2,
    };
    expect(decodeHeartbeat('i\nx-a: b', beat, new Date()).isErr()).toBe(true);
    expect(decodeHeartbeat('i-1', beat, new Date()).isOk()).toBe(true);
  });
});
