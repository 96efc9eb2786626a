import { MemoryLog } from '@lentillb/standins';
import type { RunningNode } from '@lentillb/node';
import { SystemClock } from 'lentillb';
import { request } from 'undici';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { createLogRecord, createPublishRecord } from '../support/configurationRecords.js';
import type { Script } from '../support/scriptedServer.js';
import { encodeResponse, ScriptedServer } from '../support/scriptedServer.js';
import { startTestNode, waitFor } from '../support/testNode.js';

const RUN_MS = 1_500;
const SERVICES = ['pages', 'orders'];
const RULES = SERVICES.flatMap((service) => [
  `service ${service} port any slots 2 connections 16 ramp 0s drain 5s # Test: ${service}`,
  `route GET /${service} to ${service} within 5s once priority normal # Test: ${service}`,
  '',
]).join('\n');

const clock = new SystemClock();
const servers: ScriptedServer[] = [];
let other: RunningNode;
let stopping: RunningNode;

async function announce(
  node: RunningNode,
  service: string,
  script: Script,
): Promise<ScriptedServer> {
  const server = new ScriptedServer(script);
  servers.push(server);
  const port = await server.listen();
  const announcement = { id: service, service, address: '127.0.0.1', port, slots: 2 };
  node.services.backendServerRegistry.announce({ ...announcement, state: 'ready' });
  await waitFor(
    () =>
      [other, stopping].every(
        ({ services }) => services.fleetView.endpointsOf(service).length === 1,
      ),
    `both nodes to know the backend server of ${service}`,
  );
  return server;
}

async function statusOf(node: RunningNode, service: string): Promise<number> {
  const { body, statusCode } = await request(`${node.callUrl}/${service}`);
  await body.dump();
  return statusCode;
}

beforeEach(async () => {
  const log = new MemoryLog({ clock, retentionMs: 3_600_000, appendsPerSecond: 100 });
  const start = (host: string): Promise<RunningNode> =>
    startTestNode({ host, leaseMs: 60_000, drainMs: 5_000 }, { replacements: { log } });
  [other, stopping] = await Promise.all([start('other'), start('stopping')]);
  await waitFor(
    () => [other, stopping].every(({ services }) => services.fleet.present().length === 2),
    'the two nodes to discover each other',
  );
  const record = createPublishRecord({ base: 0, before: '', after: `${RULES}\n` });
  [other, stopping].forEach(({ services }) => {
    services.versionStore.startFromEmptyState();
    services.versionStore.offer(createLogRecord(1, record));
  });
  await Promise.all([other.waitUntilReady(), stopping.waitUntilReady()]);
});

afterEach(async () => {
  await Promise.all([other.stop(), stopping.stop()]);
  servers.splice(0).forEach((server) => server.close());
});

it('should serve the calls of a run on its host until the run has ended', async () => {
  const pages = await announce(stopping, 'pages', (socket) => {
    setTimeout(() => socket.write(encodeResponse('page')), RUN_MS);
  });
  await announce(other, 'orders', (socket) => socket.write(encodeResponse('order')));
  const run = statusOf(other, 'pages');
  await waitFor(() => pages.requestLines.length === 1, 'the run to begin');
  const stopped = stopping.stop();
  await clock.sleep(RUN_MS / 3);
  expect(await statusOf(stopping, 'orders')).toBe(200);
  expect(await run).toBe(200);
  await stopped;
  await expect(statusOf(stopping, 'orders')).rejects.toThrow('ECONNREFUSED');
});
