import { createServer as createHttp2Server } from 'node:http2';
import { createServer, Server } from 'node:net';
import { PeerListener } from 'lentillb/mesh/peerListener.js';
import { HttpListener } from 'lentillb/utils/httpListener.js';
import { attemptToListen, listenAt } from 'lentillb/utils/listening.js';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

const LOOPBACK = '127.0.0.1';
const anyPort = { host: LOOPBACK, port: 0 };

let warnings: Error[];
const record = (warning: Error): void => {
  warnings.push(warning);
};

beforeEach(() => {
  warnings = [];
  process.on('warning', record);
});

afterEach(() => {
  process.off('warning', record);
});

const listeners: Readonly<Record<string, () => Promise<unknown>>> = {
  'a server': () => listenAt(createServer(), anyPort),
  'a server of HTTP/2': () => listenAt(createHttp2Server(), anyPort),
  'a listener for calls': () => new HttpListener(() => undefined).listen(0, LOOPBACK),
  'a listener for links of nodes': () => {
    const settings = { peerPort: 0, address: LOOPBACK };
    const services = { announcer: { ports: {} }, settings };
    return new PeerListener(
      services as unknown as ConstructorParameters<typeof PeerListener>[0],
    ).listen();
  },
};

describe('listening', () => {
  it.each(Object.entries(listeners))(
    'should not end the process when connections cannot be accepted: %s',
    async (_, listen) => {
      const listening = vi.spyOn(Server.prototype, 'listen');
      await listen();
      const [server] = listening.mock.contexts as [Server];
      listening.mockRestore();
      server.emit('error', new Error('accept ENFILE'));
      server.emit('error', new Error('accept ENOBUFS'));
      await expect
        .poll(() => warnings.map(String))
        .toEqual(['Error: accept ENFILE', 'Error: accept ENOBUFS']);
      server.close();
    },
  );

  it('should not spoil a server by an attempt that failed', async () => {
    const holder = createServer();
    const port = await listenAt(holder, anyPort);
    const server = createServer();
    const address = { host: LOOPBACK, port };
    expect((await attemptToListen(server, address)).unwrapErr().code).toBe('EADDRINUSE');
    await expect(listenAt(server, address)).rejects.toMatchObject({ code: 'EADDRINUSE', port });
    await new Promise((resolve) => {
      holder.close(resolve);
    });
    expect((await attemptToListen(server, address)).unwrap()).toBe(port);
    expect([server.listenerCount('error'), server.listenerCount('listening')]).toEqual([0, 0]);
    server.close();
  });
});
