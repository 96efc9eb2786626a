import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';
import { ListenProbe } from 'lentillb/serving/listenProbe.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

let server: Server;
let address: string;
let connections: number;

beforeEach(async () => {
  connections = 0;
  server = createServer((socket) => {
    connections += 1;
    socket.on('error', () => undefined);
  });
  address = await listenOnLoopback(server);
});

afterEach(() => {
  server.close();
});

describe('listen probe', () => {
  it('should find that a server runs, by one connection for all who ask at once', async () => {
    const probe = new ListenProbe();
    const results = await Promise.all([1, 2, 3].map(() => probe.hasEnded(address)));
    expect(results).toEqual([false, false, false]);
    expect(connections).toBe(1);
  });

  it('should find that a server has ended, and that it runs again', async () => {
    const probe = new ListenProbe();
    await new Promise((resolve) => {
      server.close(resolve);
    });
    expect(await probe.hasEnded(address)).toBe(true);
    const port = Number(address.split(':').at(-1));
    await new Promise<void>((resolve) => {
      server.listen(port, '127.0.0.1', resolve);
    });
    expect(await probe.hasEnded(address)).toBe(false);
  });
});
