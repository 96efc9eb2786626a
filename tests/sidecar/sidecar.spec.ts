import { respondSuccessfully, StoreFault } from '@lentillb/standins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';

let fleet: SidecarFleet;

function noop(): void {}

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
});

afterEach(() => fleet.close());

describe('sidecar', () => {
  it('should forward a request unchanged to a backend server on another host', async () => {
    const front = await fleet.addHost('front', 'pages');
    const back = await fleet.addHost('back', 'letters');
    await fleet.waitUntilServed(front, 'letters');
    const { body, headers, status } = await fleet.send(front, 'letters', 'dear editor').answer;
    expect({ status, body }).toEqual({ status: 200, body: 'ran dear editor' });
    expect(headers['x-server-seal']).toBe('seal');
    const run = back.backendServer.runs.at(-1);
    expect(run?.headers['x-caller-service']).toBe('pages');
    expect(run?.headers['x-attempt-id']).toBe(headers['x-attempt-id']);
    expect(Number(run?.headers['x-deadline-ms'])).toBeLessThanOrEqual(1_500);
    expect(Object.keys(run?.headers ?? {}).filter((name) => name.startsWith('lentillb'))).toEqual(
      [],
    );
  });

  it('should answer 404 without a route and 503 for a service without backend servers', async () => {
    const front = await fleet.addHost('front', 'pages');
    await fleet.waitUntilServed(front, 'pages');
    expect((await fleet.send(front, 'unknown').answer).status).toBe(404);
    const refused = await fleet.send(front, 'letters').answer;
    expect(refused.status).toBe(503);
    expect(Number(refused.headers['retry-after'])).toBeGreaterThan(0);
  });

  it('should not run a non-repeatable request twice', async () => {
    const front = await fleet.addHost('front', 'pages');
    const servers = [await fleet.addHost('b1', 'letters'), await fleet.addHost('b2', 'letters')];
    await fleet.waitUntilServed(front, 'letters');
    const before = servers.map(({ backendServer }) => backendServer.runs.length);
    servers.forEach(({ backendServer }) =>
      backendServer.setHandler((response) => response.socket?.resetAndDestroy()),
    );
    expect((await fleet.send(front, 'letters').answer).status).toBe(502);
    const runs = servers.map(
      ({ backendServer }, index) => backendServer.runs.length - (before[index] ?? 0),
    );
    expect(runs[0]! + runs[1]!).toBe(1);
  });

  it('should retry a repeatable request at another backend server after its answer was lost', async () => {
    const front = await fleet.addHost('front', 'letters');
    const servers = [await fleet.addHost('b1', 'pages'), await fleet.addHost('b2', 'pages')];
    await fleet.waitUntilServed(front, 'pages');
    await fleet.waitUntil(() => servers.every(({ sidecar }) => sidecar.ready));
    for (let request = 0; request < 20; request += 1) {
      await fleet.send(front, 'pages').answer;
    }
    servers[0]!.backendServer.setHandler((response) => response.socket?.resetAndDestroy());
    for (let request = 0; request < 5; request += 1) {
      expect((await fleet.send(front, 'pages').answer).status).toBe(200);
    }
  });

  it('should send a request to another backend server when the first reports that it did not run it', async () => {
    const front = await fleet.addHost('front', 'pages');
    const servers = [await fleet.addHost('b1', 'letters'), await fleet.addHost('b2', 'letters')];
    await fleet.waitUntilServed(front, 'letters');
    await fleet.waitUntil(() => servers.every(({ sidecar }) => sidecar.ready));
    for (let request = 0; request < 20; request += 1) {
      await fleet.send(front, 'letters').answer;
    }
    servers[0]!.backendServer.setHandler((response) => {
      response.writeHead(503, { 'x-not-executed': '1' });
      response.end();
    });
    for (let request = 0; request < 5; request += 1) {
      expect((await fleet.send(front, 'letters').answer).status).toBe(200);
    }
  });

  it.each([
    ['the answer to another request', { 'x-attempt-id': 'another', 'x-server-seal': 'seal' }],
    ['an answer without a seal', { 'x-attempt-id': 'SAME' }],
    [
      'an encoded answer',
      { 'x-attempt-id': 'SAME', 'x-server-seal': 's', 'content-encoding': 'gzip' },
    ],
  ])('should not deliver %s', async (_, headers) => {
    const front = await fleet.addHost('front', 'letters');
    await fleet.waitUntilServed(front, 'letters');
    front.backendServer.setHandler((response, { requestId }) => {
      const own = headers['x-attempt-id'] === 'SAME' ? { 'x-attempt-id': requestId } : {};
      response.writeHead(200, { ...headers, ...own });
      response.end('spoilt');
    });
    const answer = await fleet.send(front, 'letters').answer;
    expect(answer.status).toBe(502);
    expect(answer.body).toBe('');
  });

  it('should send nothing to a backend server once its departure is confirmed', async () => {
    const front = await fleet.addHost('front', 'pages');
    const leaving = await fleet.addHost('b1', 'letters');
    const staying = await fleet.addHost('b2', 'letters');
    await fleet.waitUntilServed(front, 'letters');
    await fleet.waitUntil(() => staying.sidecar.ready);
    await leaving.sidecar.acceptHeartbeat({ ...leaving.heartbeat, sequence: 2, draining: true });
    const before = leaving.backendServer.runs.length;
    // A delayed heartbeat with an older sequence must not make the backend server ready again.
    await leaving.sidecar.acceptHeartbeat({ ...leaving.heartbeat, sequence: 1 });
    await fleet.waitUntil(() => staying.backendServer.runs.length >= 0);
    for (let request = 0; request < 10; request += 1) {
      expect((await fleet.send(front, 'letters').answer).status).toBe(200);
    }
    expect(leaving.backendServer.runs.length).toBe(before);
  });

  it('should confirm a departure within a second while the store does not answer', async () => {
    const host = await fleet.addHost('front', 'letters');
    await fleet.waitUntilServed(host, 'letters');
    fleet.store.setFault(StoreFault.NoResponse);
    const startedMs = fleet.clock.monotonicMs();
    await host.sidecar.acceptDeparture(host.heartbeat.id);
    expect(fleet.clock.monotonicMs() - startedMs).toBeLessThan(1_000);
    expect((await fleet.send(host, 'letters').answer).status).toBe(503);
  });

  it('should cancel the run of a caller that leaves', async () => {
    const front = await fleet.addHost('front', 'pages');
    const back = await fleet.addHost('back', 'letters');
    await fleet.waitUntilServed(front, 'letters');
    back.backendServer.setHandler(() => undefined);
    const before = back.backendServer.runs.length;
    const request = fleet.send(front, 'letters');
    let earlyStatus: number | undefined;
    request.answer.then(({ status }) => {
      earlyStatus = status;
    }, noop);
    await fleet.waitUntil(
      () => back.backendServer.runs.length > before || earlyStatus !== undefined,
    );
    expect(earlyStatus).toBeUndefined();
    request.disconnect();
    await fleet.waitUntil(() => back.backendServer.runs.at(-1)?.abandoned === true, 500);
  });

  it('should fetch the configuration from another node while the store is unavailable', async () => {
    const first = await fleet.addHost('first', 'pages');
    const second = await fleet.addHost('second', 'letters');
    await fleet.waitUntilServed(first, 'letters');
    // Both hosts are in the store; a third node starts while the store refuses every call.
    fleet.store.setFault(StoreFault.Refuse);
    const { peerAddress } = first.sidecar.identity;
    const late = await fleet.addHost('late', 'pages', false);
    expect(late.sidecar.ready).toBe(false);
    late.sidecar.ping(peerAddress);
    await fleet.waitUntil(() => late.sidecar.ready, 3_000);
    expect((await fleet.send(late, 'letters').answer).status).toBe(200);
    expect(second.backendServer.runs.length).toBeGreaterThan(0);
  });

  it('should apply a newer configuration while running, and keep it', async () => {
    const host = await fleet.addHost('front', 'pages');
    await fleet.waitUntilServed(host, 'pages');
    fleet.publish({
      added: {
        hostname: 'added.example',
        'path-prefix': '/',
        'route-type': 'idempotent',
        timeout: '1s',
        'target-latency': '400ms',
        priority: 1,
        service: 'pages',
        'max-attempts': 1,
      },
    });
    await fleet.waitUntilServed(host, 'added');
    fleet.store.write('keyed.op', 'config', JSON.stringify({ version: '00000001' }));
    await fleet.clock.sleep(700);
    expect((await fleet.send(host, 'added').answer).status).toBe(200);
  });

  it('should complete all requests at a planned stop, and accept new ones meanwhile', async () => {
    const host = await fleet.addHost('front', 'letters');
    await fleet.waitUntilServed(host, 'letters');
    host.backendServer.setHandler((response, run) => {
      setTimeout(() => respondSuccessfully(response, run), 800);
    });
    const running = fleet.send(host, 'letters').answer;
    await fleet.clock.sleep(50);
    const stopped = host.sidecar.stop();
    expect(host.sidecar.ready).toBe(false);
    const arriving = await fleet.send(host, 'letters').answer;
    expect(arriving.status).toBe(200);
    expect(arriving.headers.connection).toBe('close');
    expect((await running).status).toBe(200);
    await stopped;
    await expect(fleet.send(host, 'letters').answer).rejects.toThrow('ECONNREFUSED');
  });
});
