import { createServer } from 'node:http';
import { gzipSync } from 'node:zlib';
import { listenOnLoopback } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { request } from 'undici';
import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import type { MeshRoute } from 'lentillb/configuration/meshConfiguration.js';
import { Directory } from 'lentillb/directory/directory.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { StateServer } from 'lentillb/peers/stateServer.js';
import { fetchState } from 'lentillb/peers/stateClient.js';
import { TransferProgress } from 'lentillb/utils/transferProgress.js';
import { Repetition } from 'lentillb/rules/ruleForms.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { endlessAnswers, EndlessServer } from '../support/endlessServer.js';
import { freeAddress } from '../support/freeAddress.js';
import { openListener } from '../support/openListener.js';
import { ScriptedServer, SWITCHING } from '../support/scriptedServer.js';

const ROUTE_COUNT = 1_600;
/** The position in the store that the node tells which is asked. */
const POSITION = { era: 3, version: 4, nextOffset: 12 };
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

function routes(priorityOfFirst: number): MeshRoute[] {
  return Array.from({ length: ROUTE_COUNT }, (_, index) => ({
    name: `r-${(index * 7_919).toString(36)}`,
    hostname: `host${(index * 104_729).toString(36)}.example`,
    pathPrefix: `/${(index * 1_299_709).toString(36)}/`,
    destinations: [{ service: 'pages', weight: 1 }],
    repetition: Repetition.Repeat,
    maxBackendServers: 2,
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    priority: index === 0 ? priorityOfFirst : 1,
  }));
}

let listener: StateServer;
let holder: ConfigurationHolder;
let address: string;

async function transferredBytes(heldVersion: number): Promise<number> {
  const { body } = await request(`http://${address}/state?held=${heldVersion}`);
  return (await body.arrayBuffer()).byteLength;
}

beforeEach(async () => {
  holder = new ConfigurationHolder();
  holder.activateIfNewer({ version: 1, routes: routes(1), limits: LIMITS });
  holder.activateIfNewer({ version: 4, routes: routes(2), limits: LIMITS });
  const directory = new Directory();
  directory.merge({
    host: 'h',
    zone: 'z',
    gateAddress: '127.0.0.1:2',
    peerAddress: '127.0.0.1:1',
    incarnation: 1,
    sequence: 1,
  });
  listener = new StateServer(new MetricsRegistry(), holder, directory, () => POSITION);
  address = await freeAddress();
  await openListener(listener.at(address));
});

afterEach(() => listener.close());

describe('state of another node', () => {
  it('should be sent whole to a node without a version, and as a change to one with a version', async () => {
    const whole = (await fetchState(address, 0)).unwrap();
    expect(whole.change).toMatchObject({ baseVersion: 0, version: 4 });
    expect(whole.change?.routes).toHaveLength(ROUTE_COUNT);
    expect(whole.announcements).toHaveLength(1);
    const change = (await fetchState(address, 1)).unwrap();
    expect(change.change).toMatchObject({ baseVersion: 1, version: 4, removed: [] });
    expect(change.change?.routes).toHaveLength(1);
    expect((await fetchState(address, 4)).unwrap().change).toBeUndefined();
  });

  it('should pass a link of 3.5 megabits per second in time with 1,600 routes', async () => {
    const bytesPerMs = (3.5 * 1_000) / 8;
    // The changes for about twenty nodes of a zone must take less than 250 ms together.
    expect(((await transferredBytes(1)) * 20) / bytesPerMs).toBeLessThan(250);
    // The whole state for one starting node must take less than 250 ms.
    expect((await transferredBytes(0)) / bytesPerMs).toBeLessThan(250);
  });

  it('should tell how far the store has been read, also to a node that holds the version', async () => {
    expect((await fetchState(address, 1)).unwrap().position).toEqual(POSITION);
    expect((await fetchState(address, 4)).unwrap().position).toEqual(POSITION);
  });

  it('should be sent without the hosts on request', async () => {
    const fetched = (await fetchState(address, 1, { withHosts: false })).unwrap();
    expect(fetched.announcements).toEqual([]);
    expect(fetched.change).toMatchObject({ baseVersion: 1, version: 4 });
  });

  it('should arrive over a link that carries parts of it for longer than 2 s', async () => {
    const body = gzipSync(JSON.stringify({ announcements: [] }));
    const server = createServer((_, response) => {
      body.forEach((byte, index) => {
        setTimeout(() => response.write(Buffer.from([byte])), (index * 2_600) / body.length);
      });
      setTimeout(() => response.end(), 2_600);
    });
    const progress = new TransferProgress(new SystemClock());
    const fetched = await fetchState(await listenOnLoopback(server), 0, { progress });
    server.close();
    expect(fetched.isOk()).toBe(true);
    expect(progress.bytes).toBe(body.length);
  });

  it('should be an error after 2 s without a byte', async () => {
    const server = createServer(() => undefined);
    const startedMs = performance.now();
    const fetched = await fetchState(await listenOnLoopback(server), 0);
    server.closeAllConnections();
    server.close();
    expect(fetched.unwrapErr()).toContain('timed out');
    expect(performance.now() - startedMs).toBeLessThan(3_000);
  });

  it('should take nothing more from the link once it is cancelled', async () => {
    const server = createServer((_, response) => response.write('x'));
    const progress = new TransferProgress(new SystemClock());
    const fetching = fetchState(await listenOnLoopback(server), 0, { progress });
    await new SystemClock().sleep(100);
    progress.cancel();
    expect((await fetching).isErr()).toBe(true);
    const allClosed = new Promise((resolve) => {
      server.close(resolve);
    });
    expect(await allClosed).toBeUndefined();
  });

  it('should be an error when the response is not compressed', async () => {
    const server = createServer((_, response) => response.end('plain'));
    const fetched = await fetchState(await listenOnLoopback(server), 0);
    server.closeAllConnections();
    server.close();
    expect(fetched.unwrapErr()).toContain('cannot decompress the state of the node');
  });

  it.each(Object.entries(endlessAnswers))(
    'should be an error when the response never ends: %s',
    async (_, answer) => {
      const endless = new EndlessServer(answer);
      const fetching = fetchState(await endless.listen(), 0);
      const fetched = await Promise.race([fetching, new SystemClock().sleep(1_500)]);
      expect(fetched?.isErr()).toBe(true);
      endless.close();
    },
  );

  it('should not wait for ever when the node switches to another protocol', async () => {
    const switching = new ScriptedServer((socket) => socket.write(SWITCHING));
    const fetching = fetchState(`127.0.0.1:${await switching.listen()}`, 0);
    const fetched = await Promise.race([fetching, new SystemClock().sleep(3_000)]);
    switching.close();
    expect(fetched?.isErr()).toBe(true);
  });

  it('should be an error when it exceeds the size limit after decompression', async () => {
    const body = gzipSync(Buffer.alloc(128 * 1024 * 1024));
    const server = createServer((_, response) => response.end(body));
    const fetched = await fetchState(await listenOnLoopback(server), 0);
    server.closeAllConnections();
    server.close();
    expect(fetched.unwrapErr()).toContain('cannot decompress the state of the node');
  });
});
