import { StoreFault } from '@lentillb/standins';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

/** The time after which a node that was started is held to what it acknowledged, in milliseconds. */
const SETTLED_MS = 3_000;
const WATCHED_MS = 4_500;
const PAUSE_MS = 30;

let fleet: SidecarFleet;
let back: FleetHost;

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
});

afterEach(() => fleet.close());

/** Starts a host, lets its backend server leave while the store is away, and starts its node again. */
async function forgetDeparture(
  service: string,
  leave: (host: FleetHost) => Promise<void>,
): Promise<FleetHost> {
  back = await fleet.addHost('back', service);
  await fleet.waitUntilServed(back, service);
  await fleet.clock.sleep(200);
  fleet.store.setFault(StoreFault.Refuse);
  await leave(back);
  back.sidecar.close();
  fleet.store.setFault(undefined);
  return fleet.restartNode(back);
}

/** Sends requests one after the other, and returns the times at which they ran after the start. */
async function sendSteadily(host: FleetHost, service: string): Promise<readonly number[]> {
  const startedAtMs = fleet.clock.monotonicMs();
  const ranAtMs: number[] = [];
  host.backendServer.setHandler((response, { requestId }) => {
    ranAtMs.push(fleet.clock.monotonicMs() - startedAtMs);
    response.writeHead(200, { 'x-attempt-id': requestId, 'x-server-seal': 's' }).end();
  });
  while (fleet.clock.monotonicMs() - startedAtMs < WATCHED_MS) {
    await fleet.send(host, service).answer;
    await fleet.clock.sleep(PAUSE_MS);
  }
  return ranAtMs;
}

const departures: Readonly<Record<string, (host: FleetHost) => Promise<void>>> = {
  'final departure': ({ backendServer, sidecar }) => sidecar.acceptDeparture(backendServer.id),
  'draining heartbeat': ({ heartbeat, sidecar }) =>
    sidecar.acceptHeartbeat({ ...heartbeat, draining: true, sequence: 2 }),
};

// Guards against departures that are confirmed, not written, and forgotten when the nodes are killed.
it.each(Object.keys(departures))(
  'should run no request that may not be repeated after a %s that only memory kept',
  async (kind) => {
    const host = await forgetDeparture('letters', departures[kind] as never);
    expect(await sendSteadily(host, 'letters')).toEqual([]);
  },
);

it('should run no repeatable request either once heartbeats are overdue', async () => {
  const host = await forgetDeparture('pages', departures['final departure'] as never);
  const ranAtMs = await sendSteadily(host, 'pages');
  expect(ranAtMs.filter((atMs) => atMs > SETTLED_MS)).toEqual([]);
});

it('should run requests that may not be repeated from the first heartbeat on', async () => {
  back = await fleet.addHost('back', 'letters');
  await fleet.waitUntilServed(back, 'letters');
  await fleet.clock.sleep(200);
  back.sidecar.close();
  const host = await fleet.restartNode(back);
  await fleet.waitUntil(() => host.sidecar.ready);
  expect((await fleet.send(host, 'letters').answer).status).toBe(503);
  await host.sidecar.acceptHeartbeat({ ...host.heartbeat, sequence: 2 });
  expect((await fleet.send(host, 'letters').answer).status).toBe(200);
});
