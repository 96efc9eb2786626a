import { createSocket } from 'node:dgram';
import { createHeartbeatListener, createReadinessListener } from '@lentillb/platform';
import { encodeAnnouncement } from 'lentillb/directory/announcement.js';
import { fetchState } from 'lentillb/peers/stateClient.js';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { applyEdit } from '../support/byteEdits.js';
import type { ByteEdit } from '../support/byteEdits.js';
import { freeAddress } from '../support/freeAddress.js';
import { until } from '../support/nodeProcess.js';
import { openListener } from '../support/openListener.js';
import { ScriptedServer } from '../support/scriptedServer.js';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';
import { playEdits, writeTo } from '../support/spoiledMessages.js';
import type { UncaughtErrors } from '../support/uncaughtErrors.js';
import { recordUncaughtErrors } from '../support/uncaughtErrors.js';

const BODY = '{"a":"%41"}';

let fleet: SidecarFleet;
let front: FleetHost;
let back: FleetHost;
let errors: UncaughtErrors;

beforeEach(async () => {
  errors = recordUncaughtErrors();
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
  front = await fleet.addHost('front', 'pages');
  back = await fleet.addHost('back', 'letters');
  await fleet.waitUntilServed(front, 'letters');
});

afterEach(async () => {
  await fleet.close();
  errors.stop();
});

function encodeHead(firstLine: string, fields: Readonly<Record<string, string>>): Buffer {
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return Buffer.from(`${firstLine}\r\n${lines.join('')}\r\n${BODY}`, 'latin1');
}

const length = { 'content-length': `${BODY.length}` };
const callerFields = {
  host: 'letters.example',
  'x-attempt-id': 'r-47',
  'x-deadline-ms': '300',
  accept: 'text/plain, */*',
  ...length,
};
const callerRequest = encodeHead('POST /some/path?q=1 HTTP/1.1', callerFields);
const nodeRequest = encodeHead('POST /some/path?q=1 HTTP/1.1', {
  ...callerFields,
  'lentillb-q': 'letters letters 1 0 400 400 300 on-time',
});
const inquiry = encodeHead('POST / HTTP/1.1', { host: 'a', 'lentillb-k': '1', ...length });
const answerFields = { 'x-server-seal': 's', 'cache-control': 'no-store', ...length };

function answerTo(requestId: string, fields: Readonly<Record<string, string>> = {}): Buffer {
  return encodeHead('HTTP/1.1 200 OK', { 'x-attempt-id': requestId, ...answerFields, ...fields });
}

function play(send: (edit: ByteEdit) => Promise<unknown>): Promise<void> {
  return playEdits(send, errors);
}

async function expectServing(): Promise<void> {
  const { status } = await fleet.send(front, 'letters').answer;
  expect(status).toBe(200);
}

// Guards against nodes that end under a message that their parser takes and no writer passes on.
describe('spoiled bytes should end no node', () => {
  it.each([
    ['of a caller', () => front.callerAddress, callerRequest],
    ['of a caller beside the backend server', () => back.callerAddress, callerRequest],
    ['of another node with a request', () => back.identity.gateAddress, nodeRequest],
    ['of another node with an inquiry', () => back.identity.gateAddress, inquiry],
    [
      'of another node that asks for the state',
      () => back.identity.peerAddress,
      encodeHead('GET /state?held=3 HTTP/1.1', { host: 'a' }),
    ],
    [
      'of a reader of the metrics',
      () => back.identity.peerAddress,
      encodeHead('GET /metrics HTTP/1.1', { host: 'a' }),
    ],
  ])('%s', async (_, address, message) => {
    await play((edit) => writeTo(address(), applyEdit(message, edit)));
    await expectServing();
  });

  it('of a backend server', async () => {
    const edits: ByteEdit[] = [];
    back.backendServer.setHandler(({ socket }, { requestId }) => {
      const edit = edits.pop();
      const answer = answerTo(requestId);
      socket?.end(edit === undefined ? answer : applyEdit(answer, edit));
    });
    await play(async (edit) => {
      edits.push(edit);
      await writeTo(front.callerAddress, callerRequest);
    });
    edits.length = 0;
    await expectServing();
  });

  it('of another node with a reply', async () => {
    const edits: ByteEdit[] = [];
    const gate = new ScriptedServer((socket) => {
      const edit = edits.pop();
      const reply = answerTo('r-47', { 'lentillb-r': '1 20', 'lentillb-p': 'a' });
      socket.end(edit === undefined ? reply : applyEdit(reply, edit));
    });
    const gateAddress = `127.0.0.1:${await gate.listen()}`;
    const backendServer = { id: 'i', startedAtMs: 1, service: 'desk', slots: 9, state: 'ready' };
    const announcement = { host: 'third', zone: 'a', gateAddress, peerAddress: gateAddress };
    fleet.publishServices(['desk']);
    fleet.store.write(
      'keyed.lentillb-hosts',
      'third',
      encodeAnnouncement({
        ...announcement,
        incarnation: 1,
        sequence: 1,
        backendServer: backendServer as never,
      }),
    );
    const toDesk = encodeHead('POST / HTTP/1.1', { ...callerFields, host: 'desk.example' });
    await until(
      async () => {
        await writeTo(front.callerAddress, toDesk);
        return gate.requestLines.length > 0;
      },
      () => 'no request reached the third host',
    );
    const requestsBefore = gate.requestLines.length;
    await play(async (edit) => {
      edits.push(edit);
      await writeTo(front.callerAddress, toDesk);
    });
    expect(gate.requestLines.length).toBeGreaterThan(requestsBefore);
    gate.close();
    await expectServing();
  });

  it('of a backend server with a heartbeat or a departure', async () => {
    const address = await freeAddress();
    const listener = createHeartbeatListener(address, back.sidecar, fleet.clock);
    await openListener(listener);
    let sequence = 1;
    await play(async (edit) => {
      sequence += 1;
      const beat = JSON.stringify({
        service: 'letters',
        address: back.heartbeat.address,
        capacity: 4,
        state: 'ready',
        'warmup-left': '0ms',
        sequence,
        born: 1_000 + sequence,
      });
      const path = applyEdit(Buffer.from('/instances/i-%62%61ck'), edit).toString('latin1');
      const calls = ['PUT', 'DELETE'].map((method) =>
        Buffer.from(
          `${method} ${path} HTTP/1.1\r\nhost: a\r\ncontent-length: ${beat.length}\r\n\r\n${beat}`,
          'latin1',
        ),
      );
      await writeTo(address, calls[sequence % 2] as Buffer);
      await writeTo(address, applyEdit(calls[0] as Buffer, edit));
      await writeTo(front.callerAddress, callerRequest);
    });
    listener.close();
  });

  it('of the platform with a readiness check', async () => {
    const address = await freeAddress();
    const listener = createReadinessListener(address, back.sidecar);
    await openListener(listener);
    const check = encodeHead('GET /readiness HTTP/1.1', { host: 'a' });
    await play((edit) => writeTo(address, applyEdit(check, edit)));
    listener.close();
    await expectServing();
  });

  it('of another node with its state', async () => {
    const edits: ByteEdit[] = [];
    const peer = new ScriptedServer((socket) => {
      const head = encodeHead('HTTP/1.1 200 OK', length);
      socket.end(applyEdit(head, edits.pop() as ByteEdit));
    });
    const address = `127.0.0.1:${await peer.listen()}`;
    await play(async (edit) => {
      edits.push(edit);
      await fetchState(address, 0);
    });
    peer.close();
  });

  it('of another node with a datagram', async () => {
    const address = parseAddress(back.identity.peerAddress);
    const socket = createSocket('udp4');
    const message = Buffer.alloc(80, 'l');
    await play(
      (edit) =>
        new Promise((resolve) => {
          socket.send(applyEdit(message, edit), address.port, address.host, resolve);
        }),
    );
    socket.close();
    await expectServing();
  });
});
