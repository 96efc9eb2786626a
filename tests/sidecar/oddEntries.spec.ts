import { request as openRequest } from 'node:http';
import { Directory } from 'lentillb/directory/directory.js';
import { decodeNodeState } from 'lentillb/peers/nodeState.js';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';

const HOSTS_TOPIC = 'keyed.lentillb-hosts';
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const ODD_HOST = {
  host: 'odd',
  zone: 'a',
  gateAddress: '127.0.0.1:1',
  peerAddress: '127.0.0.1:1',
  incarnation: 1,
  sequence: 1,
  backendServer: { id: 'i-odd', startedAtMs: 1, service: 'pages', slots: 4, state: 'ready' },
};
/** Two gossip rounds and one read of the hosts, in milliseconds. */
const SPREAD_MS = 2_500;

let fleet: SidecarFleet;
let thrown: unknown[];

function recordThrown(error: unknown): void {
  thrown.push(error);
}

function statusOf(address: string, target: string, headers = {}): Promise<number> {
  return new Promise((resolve, reject) => {
    const outgoing = openRequest({
      ...parseAddress(address),
      agent: false,
      method: 'PUT',
      path: target,
      headers,
    });
    outgoing.on('response', (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    outgoing.on('error', reject);
    outgoing.end('{}');
  });
}

beforeEach(async () => {
  thrown = [];
  process.on('uncaughtException', recordThrown);
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
});

afterEach(async () => {
  await fleet.close();
  process.off('uncaughtException', recordThrown);
  expect(thrown).toEqual([]);
});

describe('an odd entry among the announcements', () => {
  it.each([
    ['a peer port out of range', JSON.stringify({ ...ODD_HOST, peerAddress: '127.0.0.1:99999' })],
    ['a peer port of zero', JSON.stringify({ ...ODD_HOST, peerAddress: '127.0.0.1:0' })],
    ['a gate port out of range', JSON.stringify({ ...ODD_HOST, gateAddress: '127.0.0.1:99999' })],
    ['numbers too large', JSON.stringify({ ...ODD_HOST, incarnation: 1e300, linkMegabits: 1e300 })],
    ['deep nesting', `${'['.repeat(200_000)}${']'.repeat(200_000)}`],
  ])('should end no node and keep no host out of view with %s', async (_, odd) => {
    const front = await fleet.addHost('front', 'letters');
    await fleet.waitUntilServed(front, 'letters');
    fleet.store.write(HOSTS_TOPIC, 'odd', odd);
    await fleet.clock.sleep(SPREAD_MS);
    await fleet.addHost('later', 'pages');
    await fleet.waitUntilServed(front, 'pages');
    const statuses: number[] = [];
    for (let count = 0; count < 20; count += 1) {
      statuses.push((await fleet.send(front, 'pages').answer).status);
    }
    expect(statuses).toEqual(Array(20).fill(200));
  });

  it('should not replace the record of a host under whose key it does not stand', async () => {
    const front = await fleet.addHost('front', 'letters');
    await fleet.waitUntilServed(front, 'letters');
    const other = { ...ODD_HOST, host: 'front', incarnation: 4e12, zone: 'elsewhere' };
    fleet.store.write(HOSTS_TOPIC, 'odd', JSON.stringify(other));
    await fleet.clock.sleep(SPREAD_MS);
    expect((await fleet.send(front, 'letters').answer).status).toBe(200);
  });

  it('should be replaced by the host itself if it stands under its key', async () => {
    const front = await fleet.addHost('front', 'letters');
    await fleet.waitUntilServed(front, 'letters');
    const odd = { ...ODD_HOST, host: 'front', incarnation: 4e12 };
    fleet.store.write(HOSTS_TOPIC, 'front', JSON.stringify(odd));
    await fleet.waitUntil(() => {
      const stored = JSON.parse(fleet.store.newestValue(HOSTS_TOPIC, 'front') ?? '{}') as object;
      return 'incarnation' in stored && Number(stored.incarnation) > 4e12;
    });
    await fleet.waitUntilServed(front, 'letters');
  });
});

describe('the state of another node', () => {
  const change = {
    baseVersion: 0,
    version: 3,
    routes: [
      {
        name: 'r',
        hostname: 'h',
        pathPrefix: '/',
        destinations: [{ service: 's', weight: 1 }],
        repetition: 'repeat',
        maxBackendServers: 1,
        timeoutMs: 1_000,
        targetLatencyMs: 100,
        priority: 1,
      },
    ],
    removed: [],
    limits: LIMITS,
  };

  it('should lose only the announcements that are odd', () => {
    const odd = { ...ODD_HOST, peerAddress: '127.0.0.1:99999' };
    const text = JSON.stringify({ change, announcements: [odd, ODD_HOST, null, 7] });
    const state = decodeNodeState(text).unwrap();
    const directory = new Directory();
    state.announcements.forEach((announcement) => directory.merge(announcement));
    expect(directory.announcements).toEqual([ODD_HOST]);
    expect(state.change?.version).toBe(3);
    expect(state.rejected).toHaveLength(3);
  });

  it.each([
    ['a weight too large', { destinations: [{ service: 's', weight: 1e308 * 10 }] }],
    ['no destination', { destinations: [] }],
    ['a time-out of zero', { timeoutMs: 0 }],
    ['a time-out beyond any timer', { timeoutMs: 1e12 }],
  ])('should lose only the change if a route of it has %s', (_, fields) => {
    const odd = { ...change, routes: [{ ...change.routes[0], ...fields }] };
    const state = decodeNodeState(JSON.stringify({ change: odd, announcements: [ODD_HOST] }));
    expect(state.unwrap().change).toBeUndefined();
    expect(state.unwrap().announcements).toEqual([ODD_HOST]);
    expect(state.unwrap().rejected).toHaveLength(1);
  });
});

describe('a malformed request', () => {
  it('should be rejected by the listener for other nodes', async () => {
    const front = await fleet.addHost('front', 'letters');
    expect(await statusOf(front.identity.peerAddress, '//')).toBe(404);
    expect(await statusOf(front.identity.peerAddress, '/state?held=%')).toBe(200);
  });

  it('should be rejected by the gate if its fields cannot be decoded', async () => {
    const front = await fleet.addHost('front', 'letters');
    const fields = { 'lentillb-q': '% % 1 1 100 100 1000 on-time', 'x-attempt-id': 'r' };
    expect(await statusOf(front.identity.gateAddress, '/', fields)).toBe(400);
    const numbers = { 'lentillb-q': 's r NaN 1 1e400 Infinity x on-time', 'x-attempt-id': 'r' };
    expect(await statusOf(front.identity.gateAddress, '/', numbers)).toBe(400);
  });
});
