import { MemoryLog } from '@lentillb/standins';
import type { RunningNode } from '@lentillb/node';
import { SystemClock } from 'lentillb';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { applyEdit } from '../support/byteEdits.js';
import type { ByteEdit } from '../support/byteEdits.js';
import { createLogRecord, createPublishRecord } from '../support/configurationRecords.js';
import { ScriptedServer } from '../support/scriptedServer.js';
import { LONG_PATIENCE_MS, playEdits, writeTo } from '../support/spoiledMessages.js';
import { startTestNode, waitFor } from '../support/testNode.js';
import type { UncaughtErrors } from '../support/uncaughtErrors.js';
import { recordUncaughtErrors } from '../support/uncaughtErrors.js';

const RULES = `service pages port any slots 9 connections 64 ramp 0s drain 5s # Test: reading
route POST /pages/** to pages within 400ms once priority normal # Test: written at most once
`;
const BODY = '{"a":"%41"}';
const ANSWER = `HTTP/1.1 200 OK\r\ncache-control: no-store\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`;

let node: RunningNode;
let server: ScriptedServer;
let errors: UncaughtErrors;
const edits: ByteEdit[] = [];
const answers: string[] = [];

beforeAll(async () => {
  errors = recordUncaughtErrors();
  const log = new MemoryLog({
    clock: new SystemClock(),
    retentionMs: 3_600_000,
    appendsPerSecond: 100,
  });
  node = await startTestNode({ host: 'entry', leaseMs: 60_000 }, { replacements: { log } });
  const record = createPublishRecord({ base: 0, before: '', after: RULES });
  node.services.versionStore.startFromEmptyState();
  node.services.versionStore.offer(createLogRecord(1, record));
  await node.waitUntilReady();
  server = new ScriptedServer((socket) => {
    const edit = edits.pop();
    const answer = Buffer.from(answers.pop() ?? ANSWER, 'latin1');
    socket.end(edit === undefined ? answer : applyEdit(answer, edit));
  });
  node.services.backendServerRegistry.announce({
    id: 'scripted',
    service: 'pages',
    address: '127.0.0.1',
    port: await server.listen(),
    slots: 9,
    state: 'ready',
  });
  await waitFor(
    () => node.services.fleetView.endpointsOf('pages').length === 1,
    'the node to know the backend server',
  );
});

afterAll(async () => {
  server.close();
  await node.stop();
  errors.stop();
});

function encode(firstLine: string, fields = ''): Buffer {
  const head = `host: a\r\naccept: text/plain\r\n${fields}content-length: ${BODY.length}\r\n\r\n`;
  return Buffer.from(`${firstLine} HTTP/1.1\r\n${head}${BODY}`, 'latin1');
}

const call = encode('POST /pages/1?q=1', 'x-request-id: r-47\r\n');
const gateFields = `lentillb-service: pages\r\nlentillb-backend-server: scripted\r\nlentillb-deadline-ms: 300\r\nlentillb-priority: normal\r\n`;

function address(url: string): string {
  return new URL(url).host;
}

// Guards against nodes that end under a message that their parser takes and no writer passes on.
describe('spoiled bytes should end no node of the older call path', () => {
  it.each([
    ['of a caller', () => address(node.callUrl), call],
    [
      'of another node',
      () => `127.0.0.1:${node.services.announcer.ports.gatePort}`,
      encode('POST /pages/1?q=1', gateFields),
    ],
    [
      'of a backend server that announces itself',
      () => `127.0.0.1:${node.services.localListener.port}`,
      encode('PUT /v1/backend-servers/%61b'),
    ],
    ['of an operator', () => address(node.adminUrl), encode('POST /v1/publications/%61b')],
  ])('%s', async (_, target, message) => {
    await playEdits((edit) => writeTo(target(), applyEdit(message, edit)), errors);
    expect(errors.messages).toEqual([]);
  });

  it('of a backend server', async () => {
    await playEdits(async (edit) => {
      edits.push(edit);
      await writeTo(address(node.callUrl), call);
    }, errors);
    edits.length = 0;
    const answer = await writeTo(address(node.callUrl), call, LONG_PATIENCE_MS);
    expect(answer).toContain('HTTP/1.1 200');
  });

  it.each([
    ['a tab in the path', 'POST /pages/1\t', '', '400'],
    ['a space in a header name', 'POST /pages/1', 'x a: b\r\n', '400'],
    ['an empty header name', 'POST /pages/1', ': b\r\n', '400'],
  ])('as little as %s', async (_, firstLine, fields, status) => {
    const request = encode(firstLine, fields);
    const answer = await writeTo(address(node.callUrl), request, LONG_PATIENCE_MS);
    expect(errors.messages).toEqual([]);
    expect(answer).toContain(`HTTP/1.1 ${status}`);
  });

  it.each([
    ['cache control: no-store', '502'],
    [': b', '502'],
    ['x-a: \u00ff', '200'],
  ])('as little as an answer with the header "%s"', async (field, status) => {
    answers.push(`HTTP/1.1 200 OK\r\n${field}\r\ncontent-length: 2\r\n\r\nok`);
    const answer = await writeTo(address(node.callUrl), call, LONG_PATIENCE_MS);
    expect(errors.messages).toEqual([]);
    expect(answer).toContain(`HTTP/1.1 ${status}`);
  });
});
