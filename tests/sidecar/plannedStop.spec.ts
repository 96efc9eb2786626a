import { RelayFault, respondSuccessfully } from '@lentillb/standins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { addRelayedHost } from '../support/relayedHost.js';
import type { CallerResponse, FleetHost } from '../support/sidecarFleet.js';
import { createRoute, SidecarFleet } from '../support/sidecarFleet.js';

const SLOTS = 4;
const DEADLINE_MS = 8_000;
/** The time of a planned stop within which the process of a node ends, in milliseconds. */
const STOP_MS = 6_000;

/** A body that does not fit into the send buffer of a connection. */
const LONG_BODY = 'b'.repeat(15 * 1024 * 1024);

let fleet: SidecarFleet;
let isStopped: boolean;

function send(host: FleetHost, service: string): Promise<CallerResponse> {
  return fleet.send(host, service, 'a letter', DEADLINE_MS).answer;
}

/** Stops the node of a host and ends its connections, as the end of its process does. */
async function stop({ sidecar }: FleetHost): Promise<void> {
  await sidecar.stop();
  isStopped = true;
  sidecar.close();
  // eslint-disable-next-line @typescript-eslint/dot-notation -- the process would end
  [sidecar['callers'], sidecar['gateListener']].forEach((listener) =>
    // eslint-disable-next-line @typescript-eslint/dot-notation -- the process would end
    listener['server'].closeAllConnections(),
  );
}

/** Lets runs at a host last for a time; without one, they end only with their connection. */
function setRunTime({ backendServer }: FleetHost, durationMs?: number): void {
  backendServer.setHandler((response, run) => {
    if (durationMs !== undefined) {
      setTimeout(() => respondSuccessfully(response, run), durationMs);
    }
  });
}

async function occupySlots(host: FleetHost): Promise<void> {
  setRunTime(host);
  const { runs } = host.backendServer;
  const runsBefore = runs.length;
  Array.from({ length: SLOTS }, () => send(host, host.service).catch(() => undefined));
  await fleet.waitUntil(() => runs.length >= runsBefore + SLOTS);
}

/** Adds a host whose callers use the service of another one, and lets both learn that its runs are long. */
async function addHostsWithLongRuns(): Promise<{ front: FleetHost; back: FleetHost }> {
  const front = await fleet.addHost('front', 'pages');
  const back = await fleet.addHost('back', 'letters');
  await fleet.waitUntilServed(front, 'letters');
  setRunTime(back, 3_300);
  await Promise.all(Array.from({ length: SLOTS }, () => send(front, 'letters')));
  return { front, back };
}

beforeEach(async () => {
  isStopped = false;
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish({
    pages: createRoute('pages', 'idempotent', DEADLINE_MS),
    letters: createRoute('letters', 'non_idempotent', DEADLINE_MS),
  });
});

afterEach(() => fleet.close());

describe('a planned stop of a node', () => {
  it.each(['pages', 'letters'])(
    'should tell requests to %s that wait at its own gate that they have not run',
    async (service) => {
      const host = await fleet.addHost('front', service);
      await fleet.waitUntilServed(host, service);
      await occupySlots(host);
      const runs = host.backendServer.runs.length;
      const stopped = stop(host);
      await fleet.clock.sleep(2_300);
      const { headers, status } = await send(host, service);
      expect(status).toBe(503);
      expect(Number(headers['retry-after'])).toBeGreaterThanOrEqual(0);
      expect(isStopped).toBe(false);
      await stopped;
      expect(host.backendServer.runs.length).toBe(runs);
    },
  );

  it('should reject at once a request that is not expected to end in time', async () => {
    const { back, front } = await addHostsWithLongRuns();
    const runs = back.backendServer.runs.length;
    const stopped = stop(front);
    await fleet.clock.sleep(2_500);
    const sentMs = fleet.clock.monotonicMs();
    expect((await send(front, 'letters')).status).toBe(503);
    expect(fleet.clock.monotonicMs() - sentMs).toBeLessThan(200);
    await stopped;
    expect(back.backendServer.runs.length).toBe(runs);
  });

  it('should reject at its gate what is not expected to end in time', async () => {
    const { back, front } = await addHostsWithLongRuns();
    const runs = back.backendServer.runs.length;
    const stopped = stop(back);
    await fleet.clock.sleep(2_300);
    expect((await send(front, 'letters')).status).toBe(503);
    expect(isStopped).toBe(false);
    await stopped;
    expect(back.backendServer.runs.length).toBe(runs);
  });

  it('should serve the calls of a run on its host until the run has ended', async () => {
    const host = await fleet.addHost('front', 'letters');
    await fleet.addHost('other', 'pages');
    await fleet.waitUntilServed(host, 'letters');
    await fleet.waitUntilServed(host, 'pages');
    setRunTime(host, 4_300);
    const run = send(host, 'letters');
    await fleet.clock.sleep(50);
    const stopped = stop(host);
    await fleet.clock.sleep(3_500);
    expect((await send(host, 'pages')).status).toBe(200);
    expect((await run).status).toBe(200);
    await stopped;
    await expect(send(host, 'pages')).rejects.toThrow('ECONNREFUSED');
  });

  it('should give a request that waits at its gate back, so that it runs at another host', async () => {
    const front = await fleet.addHost('front', 'pages');
    const back = await fleet.addHost('back', 'letters');
    await fleet.waitUntilServed(front, 'letters');
    setRunTime(back);
    Array.from({ length: SLOTS }, () => send(front, 'letters').catch(() => undefined));
    const runsBefore = back.backendServer.runs.length;
    await fleet.waitUntil(() => back.backendServer.runs.length >= runsBefore + SLOTS - 1);
    const waiting = send(front, 'letters');
    await fleet.clock.sleep(100);
    await fleet.addHost('spare', 'letters');
    const startedMs = fleet.clock.monotonicMs();
    const stopped = stop(back);
    expect((await waiting).status).toBe(200);
    expect(fleet.clock.monotonicMs() - startedMs).toBeLessThan(STOP_MS / 2);
    await stopped;
  });

  it('should end every request that it took with an answer', async () => {
    const front = await fleet.addHost('front', 'pages');
    const back = await fleet.addHost('back', 'letters');
    await fleet.waitUntilServed(front, 'letters');
    setRunTime(back);
    const running = send(front, 'letters');
    await fleet.clock.sleep(50);
    const startedMs = fleet.clock.monotonicMs();
    await stop(front);
    expect(fleet.clock.monotonicMs() - startedMs).toBeLessThan(STOP_MS);
    expect([502, 504]).toContain((await running).status);
  });

  it('should serve calls of runs in the last second that end by their own deadline before it does', async () => {
    const front = await fleet.addHost('front', 'pages');
    const back = await fleet.addHost('back', 'letters');
    await fleet.waitUntilServed(front, 'pages');
    await fleet.waitUntilServed(front, 'letters');
    setRunTime(back, 40);
    setRunTime(front);
    const keepsOpen = send(front, 'pages');
    await fleet.clock.sleep(50);
    const stopped = stop(front);
    await fleet.clock.sleep(4_600);
    const { status } = await fleet.send(front, 'letters', 'a letter', 400).answer;
    expect(status).toBe(200);
    await Promise.all([stopped, keepsOpen]);
  });

  it.each([
    [4_000, 200],
    [4_600, 503],
  ])(
    'should not cut a run that lasts far longer than usual, sent %d ms after the stop began',
    async (sentAfterMs, expected) => {
      const front = await fleet.addHost('front', 'pages');
      const back = await fleet.addHost('back', 'letters');
      await fleet.waitUntilServed(front, 'pages');
      await fleet.waitUntilServed(front, 'letters');
      setRunTime(back, 40);
      for (let count = 0; count < 10; count += 1) {
        await send(front, 'letters');
      }
      setRunTime(front);
      const keepsOpen = send(front, 'pages');
      await fleet.clock.sleep(50);
      const stopped = stop(front);
      await fleet.clock.sleep(sentAfterMs);
      setRunTime(back, 1_000);
      expect((await send(front, 'letters')).status).toBe(expected);
      await Promise.all([stopped, keepsOpen]);
    },
  );

  it('should send the answer of its last run to another node before its process ends', async () => {
    const front = await fleet.addHost('front', 'pages');
    const { host: back, relay } = await addRelayedHost(fleet, 'back', 'letters');
    await fleet.waitUntilServed(front, 'letters');
    back.backendServer.setHandler((response, { requestId }) => {
      response.writeHead(200, { 'x-attempt-id': requestId, 'x-server-seal': 'seal' });
      setTimeout(() => response.end(LONG_BODY), 100);
    });
    const { runs } = back.backendServer;
    const runsBefore = runs.length;
    const answer = send(front, 'letters');
    await fleet.waitUntil(() => runs.length > runsBefore);
    relay.setFault(RelayFault.StallToDownstream);
    const stopped = stop(back);
    await fleet.clock.sleep(3_200);
    relay.setFault(undefined);
    const { body, status } = await answer;
    expect([status, body.length]).toEqual([200, LONG_BODY.length]);
    await stopped;
    relay.close();
  });

  it('should confirm a departure that is reported shortly before its end', async () => {
    const host = await fleet.addHost('front', 'letters');
    await fleet.waitUntilServed(host, 'letters');
    await occupySlots(host);
    fleet.store.setFault('silence');
    const stopped = stop(host);
    await fleet.clock.sleep(5_100);
    await host.sidecar.acceptDeparture(host.heartbeat.id);
    expect(isStopped).toBe(false);
    await stopped;
  });
});
