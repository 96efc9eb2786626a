import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { encodeRequest } from '../support/rawConnection.js';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

const MEBIBYTE = 1024 * 1024;
const CALLERS = 40;
const BODY = Buffer.alloc(4 * MEBIBYTE, 'a');
/** The limit of held answers, and as much for those that are in transit or were read just now. */
const MAX_GROWTH_BYTES = 2 * 32 * MEBIBYTE;
const SETTLE_MS = 1_500;
/** The time after which callers that read nothing are given up, and some more for the last answers. */
const GIVEN_UP_MS = 10_000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

let fleet: SidecarFleet;
let front: FleetHost;
let back: FleetHost;
let sockets: Socket[];

beforeEach(async () => {
  fleet = new SidecarFleet();
  sockets = [];
  await fleet.start();
  fleet.publish();
  front = await fleet.addHost('front', 'pages');
  back = await fleet.addHost('back', 'letters');
  await fleet.waitUntilServed(front, 'letters');
  back.backendServer.setHandler((response, { requestId }) => {
    response.writeHead(200, { 'x-attempt-id': requestId, 'x-server-seal': 's' }).end(BODY);
  });
});

afterEach(async () => {
  sockets.forEach((socket) => socket.destroy());
  await fleet.close();
});

/** Returns the length of all buffers that are in use. */
function heldBytes(): number {
  collectGarbage();
  return process.memoryUsage().arrayBuffers;
}

/** Sends requests one after the other; nobody reads the answers. */
async function requestWithoutReading(host: FleetHost): Promise<void> {
  for (let count = 0; count < CALLERS; count += 1) {
    const socket = connect(parseAddress(host.callerAddress));
    socket.on('error', () => undefined);
    socket.pause();
    const headers = {
      host: 'letters.example',
      'x-attempt-id': `unread-${count}`,
      'x-deadline-ms': '1400',
    };
    socket.write(encodeRequest({ target: '/a', headers }));
    sockets.push(socket);
    await fleet.clock.sleep(20);
  }
  await fleet.clock.sleep(SETTLE_MS);
}

// Guards against nodes that run out of memory because callers do not read long answers.
describe('answers that their callers do not read', () => {
  it.each(['front', 'back'])('should be held within a limit at host %s', async (name) => {
    const host = name === 'front' ? front : back;
    const before = heldBytes();
    await requestWithoutReading(host);
    expect(heldBytes() - before).toBeLessThan(MAX_GROWTH_BYTES);
    const { body, status } = await fleet.send(host, 'letters').answer;
    expect(status).toBe(200);
    expect(body.length).toBe(BODY.length);
    await fleet.waitUntil(() => heldBytes() - before < BODY.length, GIVEN_UP_MS);
    expect(JSON.stringify(host.log)).toContain('answer-not-taken');
  });
});
