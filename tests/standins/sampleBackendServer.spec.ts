import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { listenOnLoopback, SampleBackendServer } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

let node: Server;
let asked: string[];
/** What the node says is under way, one value a question. */
let underWay: number[];

beforeEach(async () => {
  asked = [];
  underWay = [];
  node = createServer((request, response) => {
    asked.push(request.method ?? '');
    const inFlight = request.method === 'GET' ? (underWay.shift() ?? 0) : 0;
    response.end(JSON.stringify({ leaseMs: 60_000, inFlight }));
  });
  await listenOnLoopback(node);
});

afterEach(() => {
  node.close();
  node.closeAllConnections();
});

describe('a sample backend server that leaves', () => {
  it('should wait for calls that its node has sent and that have not reached it yet', async () => {
    const { port } = node.address() as AddressInfo;
    const clock = new SystemClock();
    const server = new SampleBackendServer({
      clock,
      id: 'pages-1',
      service: 'pages',
      slots: 2,
      localPort: port,
    });
    await server.start();
    underWay = [2, 1, 0];
    await server.stop();
    expect(asked).toEqual(['PUT', 'PUT', 'GET', 'GET', 'GET', 'DELETE']);
  });
});
