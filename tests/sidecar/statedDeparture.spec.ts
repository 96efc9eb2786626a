import { StoreFault } from '@lentillb/standins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

const SERVICE = 'pages';
const REQUESTS = 30;

let fleet: SidecarFleet;
let front: FleetHost;
let leaving: FleetHost;
let staying: FleetHost;

/** Sends requests one after the other, and returns their statuses. */
async function sendRequests(count: number): Promise<number[]> {
  const statuses: number[] = [];
  for (let request = 0; request < count; request += 1) {
    statuses.push((await fleet.send(front, SERVICE).answer).status);
  }
  return statuses;
}

/** Sends requests until the leaving backend server has stated its departure in an answer. */
async function waitUntilStated(): Promise<void> {
  const { runs } = leaving.backendServer;
  const before = runs.length;
  for (let request = 0; request < REQUESTS * 10 && runs.length === before; request += 1) {
    await sendRequests(1);
  }
  expect(runs.length).toBeGreaterThan(before);
}

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
  front = await fleet.addHost('front', 'letters');
  leaving = await fleet.addHost('leaving', SERVICE);
  staying = await fleet.addHost('staying', SERVICE);
  await fleet.waitUntilServed(front, SERVICE);
  await fleet.waitUntil(() =>
    [leaving, staying].every(({ backendServer, sidecar }) => {
      fleet.send(front, SERVICE).answer.catch(() => undefined);
      return sidecar.ready && backendServer.runs.length > 0;
    }),
  );
  leaving.backendServer.setHandler((response, { requestId }) => {
    response.writeHead(200, {
      'x-attempt-id': requestId,
      'x-server-seal': 'seal',
      'server-leaving': '1',
    });
    response.end();
  });
});

afterEach(() => fleet.close());

describe('backend server that states in its answers that it is leaving', () => {
  it('should get no further request, though the store is away and no heartbeat says so', async () => {
    fleet.store.setFault(StoreFault.NoResponse);
    await waitUntilStated();
    const runs = leaving.backendServer.runs.length;
    await leaving.sidecar.acceptHeartbeat({ ...leaving.heartbeat, sequence: 7 });
    expect(await sendRequests(REQUESTS)).toEqual(Array(REQUESTS).fill(200));
    expect(leaving.backendServer.runs).toHaveLength(runs);
  });

  it('should get no request from a node that has told a caller, when the node beside it has forgotten', async () => {
    fleet.store.setFault(StoreFault.NoResponse);
    await waitUntilStated();
    leaving.sidecar.close();
    leaving = await fleet.restartNode(leaving);
    const runs = leaving.backendServer.runs.length;
    // The restarted node hears a heartbeat that was sent before the departure.
    await leaving.sidecar.acceptHeartbeat({ ...leaving.heartbeat, sequence: 7 });
    await fleet.waitUntil(() => leaving.sidecar.ready);
    await fleet.clock.sleep(2_000);
    await sendRequests(REQUESTS);
    expect(leaving.backendServer.runs).toHaveLength(runs);
  }, 20_000);

  it('should be replaced at once by the next run at its address', async () => {
    await waitUntilStated();
    const { heartbeat } = leaving;
    await leaving.sidecar.acceptHeartbeat({ ...heartbeat, sequence: 1, startedAtMs: 60_000 });
    const runs = leaving.backendServer.runs.length;
    await fleet.waitUntil(() => {
      fleet.send(front, SERVICE).answer.catch(() => undefined);
      return leaving.backendServer.runs.length > runs;
    });
  });
});
