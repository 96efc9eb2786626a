import type { Relay } from '@lentillb/standins';
import { RelayFault, respondSuccessfully } from '@lentillb/standins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { dropDatagrams } from '../support/datagramFilter.js';
import { addRelayedHost } from '../support/relayedHost.js';
import type { FleetHost } from '../support/sidecarFleet.js';
import { createRoute, SidecarFleet } from '../support/sidecarFleet.js';

const USUAL_RUN_MS = 40;
const LONG_RUN_MS = 900;

let fleet: SidecarFleet;
let front: FleetHost;

function setRunTime({ backendServer }: FleetHost, durationMs: number): void {
  backendServer.setHandler((response, run) => {
    setTimeout(() => respondSuccessfully(response, run), durationMs);
  });
}

/** Sends requests until their usual time is known and connections are open. */
async function sendUsualRequests(service: string): Promise<void> {
  const sendSome = (): Promise<unknown> =>
    Promise.all(Array.from({ length: 4 }, () => fleet.send(front, service).answer));
  await sendSome();
  await sendSome();
}

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
});

afterEach(() => fleet.close());

describe('a request at which a backend server works', () => {
  it.each([
    ['idempotent', 'pages'],
    ['non_idempotent', 'letters'],
  ])(
    'should be answered on a route of type %s while datagrams of its host are lost',
    async (routeType, service) => {
      fleet.publish({ [service]: createRoute(service, routeType) });
      front = await fleet.addHost('front', service === 'pages' ? 'letters' : 'pages');
      const back = await fleet.addHost('back', service);
      setRunTime(back, USUAL_RUN_MS);
      await fleet.waitUntilServed(front, service);
      await sendUsualRequests(service);
      setRunTime(back, LONG_RUN_MS);
      const { runs } = back.backendServer;
      const runsBefore = runs.length;
      const { answer } = fleet.send(front, service);
      await fleet.waitUntil(() => runs.length > runsBefore);
      const stopDropping = dropDatagrams(back.identity.peerAddress);
      const { status } = await answer;
      stopDropping();
      expect(status).toBe(200);
      expect(runs.length - runsBefore).toBe(1);
    },
  );

  it('should be answered if it was the first to reach the new process of a restarted node', async () => {
    fleet.publish();
    front = await fleet.addHost('front', 'pages');
    const other = await fleet.addHost('other', 'pages');
    const back = await fleet.addHost('back', 'letters');
    setRunTime(back, USUAL_RUN_MS);
    await fleet.waitUntilServed(front, 'letters');
    await sendUsualRequests('letters');
    back.sidecar.close();
    const restarted = await fleet.restartNode(back);
    await restarted.sidecar.acceptHeartbeat({ ...back.heartbeat, sequence: 2 });
    await fleet.waitUntilServed(other, 'letters');
    setRunTime(restarted, LONG_RUN_MS);
    expect((await fleet.send(front, 'letters').answer).status).toBe(200);
  });
});

describe('a request on a slow link', () => {
  const LINK_DELAY_MS = 350;

  let relay: Relay;

  afterEach(() => relay.close());

  it('should be served by the gate that it was sent to', async () => {
    fleet.publish();
    front = await fleet.addHost('front', 'pages');
    const back = await addRelayedHost(fleet, 'back', 'letters', LINK_DELAY_MS);
    relay = back.relay;
    setRunTime(back.host, USUAL_RUN_MS);
    await fleet.waitUntilServed(front, 'letters');
    await sendUsualRequests('letters');
    relay.setFault(RelayFault.Delay);
    const { runs } = back.host.backendServer;
    const runsBefore = runs.length;
    const answers = Array.from({ length: 4 }, () => fleet.send(front, 'letters').answer);
    expect((await Promise.all(answers)).map(({ status }) => status)).toEqual([200, 200, 200, 200]);
    expect(runs.length - runsBefore).toBe(4);
    expect(front.log).not.toContainEqual(expect.objectContaining({ event: 'gate-not-heard' }));
  });
});
