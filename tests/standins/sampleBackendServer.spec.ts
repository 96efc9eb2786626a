import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { listenOnLoopback, SampleBackendServer } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

let node: Server;
/** The methods of the requests that the node received. */
let methods: string[];
/** The counts of calls in flight that the node reports, one for each request for it. */
let inFlightCounts: number[];

beforeEach(async () => {
  methods = [];
  inFlightCounts = [];
  node = createServer((request, response) => {
    methods.push(request.method ?? '');
    const inFlight = request.method === 'GET' ? (inFlightCounts.shift() ?? 0) : 0;
    response.end(JSON.stringify({ leaseMs: 60_000, inFlight }));
  });
  await listenOnLoopback(node);
});

afterEach(() => {
  node.close();
  node.closeAllConnections();
});

describe('a sample backend server that stops', () => {
  it('should wait for calls that its node has sent but that have not arrived yet', async () => {
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
    inFlightCounts = [2, 1, 0];
    await server.stop();
    expect(methods).toEqual(['PUT', 'PUT', 'GET', 'GET', 'GET', 'DELETE']);
  });
});
