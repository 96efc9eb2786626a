import type { ServerResponse } from 'node:http';
import type { Run } from '@lentillb/standins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

/** The distance between two cuts, in bytes. */
const CUT_STEP = 9;

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

function headOf(requestId: string, status = '200 OK'): string {
  const fields = `x-attempt-id: ${requestId}\r\nx-server-seal: s\r\ncontent-length: 4\r\n\r\n`;
  return `HTTP/1.1 ${status}\r\n${fields}`;
}

/** Returns what a caller gets for a request that the backend server answers by a function. */
async function receive(answer: (response: ServerResponse, run: Run) => void) {
  back.backendServer.setHandler(answer);
  const { body, status } = await fleet.send(front, 'letters').answer;
  return { body, status };
}

describe('an answer that crosses two nodes', () => {
  it.each([
    ['closed', ({ socket }: ServerResponse, bytes: string) => socket?.end(bytes)],
    [
      'reset',
      ({ socket }: ServerResponse, bytes: string) =>
        socket?.write(bytes, () => socket.resetAndDestroy()),
    ],
  ])('should be no success when its connection is %s within its head', async (_, end) => {
    const { length } = headOf('r-10');
    for (let cut = 0; cut < length; cut += CUT_STEP) {
      const received = await receive((response, { requestId }) =>
        end(response, headOf(requestId).slice(0, cut)),
      );
      expect(received).toEqual({ status: 502, body: '' });
    }
  });

  it.each(['000 None', '099 Odd', '600 Odd'])(
    'should end no node with status %s',
    async (status) => {
      const received = await receive(({ socket }, { requestId }) =>
        socket?.write(`${headOf(requestId, status)}body`),
      );
      expect(received).toEqual({ status: 502, body: '' });
      const next = await receive((response, { requestId }) => {
        response.writeHead(200, { 'x-attempt-id': requestId, 'x-server-seal': 's' }).end('next');
      });
      expect(next).toEqual({ status: 200, body: 'next' });
    },
  );
});
