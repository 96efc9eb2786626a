import { afterEach, beforeEach, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

const BODY = 'b'.repeat(100_000);

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

// Guards against answers that look complete to their caller where the node ended while it sent them.
it.each(['front', 'back'])(
  'should state the length of an answer that had none, at host %s',
  async (name) => {
    back.backendServer.setHandler(({ socket }, { requestId }) => {
      const fields = `x-attempt-id: ${requestId}\r\nx-server-seal: s\r\nconnection: close\r\n`;
      socket?.end(`HTTP/1.1 200 OK\r\n${fields}\r\n${BODY}`);
    });
    const host = name === 'front' ? front : back;
    const { body, headers, status } = await fleet.send(host, 'letters').answer;
    expect(status).toBe(200);
    expect(headers['content-length']).toBe(`${BODY.length}`);
    expect(body).toBe(BODY);
  },
);
