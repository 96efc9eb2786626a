import { ScriptedBackendServer } from '@lentillb/standins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

const SLOTS = 2;
/** More than all slots, so that some requests wait. */
const REQUESTS = 4;
const HOLD_MS = 150;
/** The time in which all requests arrive at the gate, in milliseconds. */
const ARRIVAL_MS = 40;

let fleet: SidecarFleet;
let front: FleetHost;
let back: FleetHost;
let successor: ScriptedBackendServer;

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
  front = await fleet.addHost('front', 'pages');
  back = await fleet.addHost('back', 'letters');
  await fleet.waitUntilServed(front, 'letters');
  successor = new ScriptedBackendServer('i-successor');
  await successor.listen();
  await back.sidecar.acceptHeartbeat({ ...back.heartbeat, slots: SLOTS, sequence: 2 });
});

afterEach(async () => {
  await fleet.close();
  await successor.close();
});

/** Lets requests run and wait, then replaces the backend server by one of a service. */
async function replaceUnderLoad(service: string) {
  back.backendServer.setHandler((response, { requestId }) => {
    setTimeout(() => {
      response.writeHead(200, { 'x-attempt-id': requestId, 'x-server-seal': 's' }).end();
    }, HOLD_MS);
  });
  const runsBefore = back.backendServer.runs.length;
  const answers = Array.from({ length: REQUESTS }, () => fleet.send(front, 'letters').answer);
  await fleet.waitUntil(() => back.backendServer.runs.length === runsBefore + SLOTS);
  await fleet.clock.sleep(ARRIVAL_MS);
  const replacedAtMs = fleet.clock.monotonicMs();
  await back.sidecar.acceptHeartbeat({
    ...back.heartbeat,
    id: successor.id,
    service,
    address: successor.address,
    slots: SLOTS,
    sequence: 1,
    startedAtMs: back.heartbeat.startedAtMs + 1,
  });
  const statuses = (await Promise.all(answers)).map(({ status }) => status);
  return { statuses, tookMs: fleet.clock.monotonicMs() - replacedAtMs };
}

describe('a request that waits while its backend server is replaced', () => {
  it('should not run at a successor of another service, and be refused at once', async () => {
    const { statuses, tookMs } = await replaceUnderLoad('pages');
    expect(successor.runs.map(({ requestId }) => requestId)).toEqual([]);
    expect(statuses.sort()).toEqual([200, 200, 503, 503]);
    expect(tookMs).toBeLessThan(HOLD_MS + 100);
  });

  it('should run at a successor of the same service', async () => {
    const { statuses } = await replaceUnderLoad('letters');
    expect(statuses).toEqual([200, 200, 200, 200]);
    expect(successor.runs).toHaveLength(REQUESTS - SLOTS);
  });
});

describe('a request whose kept connection is lost', () => {
  it('should not be sent again to a backend server that has left meanwhile', async () => {
    expect((await fleet.send(front, 'pages').answer).status).toBe(200);
    let lose = (): void => undefined;
    front.backendServer.setHandler((response) => {
      lose = () => response.socket?.destroy();
    });
    const { length } = front.backendServer.runs;
    const { answer } = fleet.send(front, 'pages');
    await fleet.waitUntil(() => front.backendServer.runs.length === length + 1);
    await front.sidecar.acceptHeartbeat({ ...front.heartbeat, sequence: 2, draining: true });
    lose();
    expect((await answer).status).toBe(502);
    expect(front.backendServer.runs).toHaveLength(length + 1);
  });
});
