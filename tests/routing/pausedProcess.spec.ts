import { MemoryLog } from '@lentillb/standins';
import type { RunningNode } from '@lentillb/node';
import { SystemClock } from 'lentillb';
import { request } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { blockEventLoop } from '../support/blockEventLoop.js';
import { createLogRecord, createPublishRecord } from '../support/configurationRecords.js';
import { encodeResponse, ScriptedServer } from '../support/scriptedServer.js';
import { startTestNode } from '../support/testNode.js';

const DEADLINE_MS = 400;
const RULES = `service pages port any slots 2 connections 16 ramp 0s drain 5s # Test: reading
route GET /pages/** to pages within ${DEADLINE_MS}ms once priority normal # Test: runs at most once
`;
const GATE_HEADERS = {
  'lentillb-deadline-ms': `${DEADLINE_MS}`,
  'lentillb-service': 'pages',
  'lentillb-backend-server': 'one',
};

let node: RunningNode;
let server: ScriptedServer;

beforeEach(async () => {
  const log = new MemoryLog({
    clock: new SystemClock(),
    retentionMs: 3_600_000,
    appendsPerSecond: 100,
  });
  node = await startTestNode({ host: 'alone', leaseMs: 60_000 }, { replacements: { log } });
  const { backendServerRegistry, versionStore } = node.services;
  versionStore.startFromEmptyState();
  const record = createPublishRecord({ base: 0, before: '', after: RULES });
  versionStore.offer(createLogRecord(1, record));
  // The answer has arrived before the process is paused until after the deadline.
  server = new ScriptedServer((socket) => {
    socket.write(encodeResponse('in time'), () => blockEventLoop(DEADLINE_MS + 100));
  });
  backendServerRegistry.announce({
    id: 'one',
    service: 'pages',
    address: '127.0.0.1',
    port: await server.listen(),
    slots: 2,
    state: 'ready',
  });
  await node.waitUntilReady();
});

afterEach(async () => {
  server.close();
  await node.stop();
});

describe('an answer that arrived in time but is read after the deadline', () => {
  it.each([
    ['caller', () => node.callUrl, {}],
    ['node of a caller', () => `http://127.0.0.1:${node.ports.gatePort}`, GATE_HEADERS],
  ])('should be delivered to the %s', async (_, url, headers) => {
    const { body, statusCode } = await request(`${url()}/pages`, { headers });
    expect([statusCode, await body.text()]).toEqual([200, 'in time']);
  });
});
