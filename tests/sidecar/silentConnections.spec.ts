import { Relay, respondSuccessfully } from '@lentillb/standins';
import { Deadline } from 'lentillb';
import { encodeQuestions, inquiryHeaders } from 'lentillb/serving/deliveryProtocol.js';
import { Topic } from 'lentillb/store/keyedStore.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { blockEventLoop } from '../support/blockEventLoop.js';
import { createForwardedRequest, encodeHeaders } from '../support/forwardedRequest.js';
import { freeAddress } from '../support/freeAddress.js';
import { RawConnection } from '../support/rawConnection.js';
import { addRelayedHost } from '../support/relayedHost.js';
import type { FleetHost } from '../support/sidecarFleet.js';
import { SidecarFleet } from '../support/sidecarFleet.js';

/** The time from the confirmation of a version until it must be in force, in milliseconds. */
const APPLY_MS = 2_000;
/** The number of idle connections that a node keeps beside those in use. */
const IDLE_CONNECTIONS = 4;

let fleet: SidecarFleet;
let toStore: Relay;

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
  toStore = new Relay(fleet.clock, () => fleet.store.address, 0);
  fleet.storeAddress = await freeAddress();
  await toStore.listen(fleet.storeAddress);
});

afterEach(async () => {
  await fleet.close();
  toStore.close();
});

async function leaveIdleConnections({ storeClient }: FleetHost): Promise<void> {
  await Promise.all(
    Array.from({ length: IDLE_CONNECTIONS }, () =>
      storeClient.readNewest(Topic.Operator, Deadline.after(fleet.clock, 1_000)),
    ),
  );
}

describe('connections to the store that go silent for good', () => {
  it('should not delay a confirmed version beyond its bound', async () => {
    const hosts = [await fleet.addHost('a', 'pages'), await fleet.addHost('b', 'letters')];
    await fleet.waitUntil(() => hosts.every(({ sidecar }) => sidecar.ready));
    await fleet.clock.sleep(1_500);
    await Promise.all(hosts.map(leaveIdleConnections));
    toStore.silenceOpenConnections();
    const version = fleet.publish();
    const publishedMs = fleet.clock.monotonicMs();
    await fleet.waitUntil(
      () =>
        hosts.every(({ sidecar }) =>
          sidecar.metrics.renderText().includes(`configuration_version ${version}`),
        ),
      10_000,
    );
    expect(fleet.clock.monotonicMs() - publishedMs).toBeLessThan(APPLY_MS);
  });
});

describe('connections to another node that go silent for good', () => {
  const RUN_MS = 40;
  const CALLERS = 6;

  let relays: Readonly<Record<string, Relay>>;
  let front: FleetHost;
  let back: FleetHost;
  let spare: FleetHost;

  async function addSpareHost(name: string): Promise<FleetHost> {
    const { host, relay } = await addRelayedHost(fleet, name, 'letters');
    relays = { ...relays, [name]: relay };
    host.backendServer.setHandler((response, run) => {
      setTimeout(() => respondSuccessfully(response, run), RUN_MS);
    });
    return host;
  }

  function sendAll(count: number, service: string): Promise<readonly number[]> {
    return Promise.all(
      Array.from({ length: count }, async () => (await fleet.send(front, service).answer).status),
    );
  }

  function runCounts(): readonly number[] {
    const ids = [back, spare].flatMap(({ backendServer }) =>
      backendServer.runs.map(({ requestId }) => requestId),
    );
    return [...new Set(ids)].map((id) => ids.filter((other) => other === id).length);
  }

  beforeEach(async () => {
    relays = {};
    front = await fleet.addHost('front', 'pages');
    back = await addSpareHost('back');
    spare = await addSpareHost('spare');
    await fleet.waitUntilServed(front, 'letters');
    await fleet.waitUntil(() => [back, spare].every(({ sidecar }) => sidecar.ready));
    // Leaves idle connections to both hosts.
    await sendAll(CALLERS, 'letters');
    await sendAll(CALLERS, 'letters');
  });

  afterEach(() => Object.values(relays).forEach((relay) => relay.close()));

  it('should lose no request that is sent on one of them, and run none twice', async () => {
    Object.values(relays).forEach((relay) => relay.silenceOpenConnections());
    const statuses = [
      ...(await sendAll(CALLERS, 'letters')),
      ...(await sendAll(CALLERS, 'letters')),
    ];
    expect(statuses).toEqual(Array(2 * CALLERS).fill(200));
    expect(Math.max(...runCounts())).toBe(1);
  });

  it('should lose no request to the only host of a service', async () => {
    await spare.sidecar.acceptDeparture(spare.heartbeat.id);
    await fleet.waitUntilServed(front, 'letters');
    relays.back?.silenceOpenConnections();
    expect(await sendAll(3, 'letters')).toEqual([200, 200, 200]);
    expect(Math.max(...runCounts())).toBe(1);
  });

  it('should end a request whose answer is lost long before its deadline, and not run it again', async () => {
    [back, spare].forEach(({ backendServer }) =>
      backendServer.setHandler((response, run) => {
        setTimeout(() => respondSuccessfully(response, run), 100);
      }),
    );
    const before = back.backendServer.runs.length + spare.backendServer.runs.length;
    const { answer } = fleet.send(front, 'letters');
    await fleet.waitUntil(
      () => back.backendServer.runs.length + spare.backendServer.runs.length > before,
    );
    Object.values(relays).forEach((relay) => relay.silenceOpenConnections());
    const startedMs = fleet.clock.monotonicMs();
    expect((await answer).status).toBe(502);
    expect(fleet.clock.monotonicMs() - startedMs).toBeLessThan(1_000);
    expect(Math.max(...runCounts())).toBe(1);
  });

  it('should not give up a long run on a connection that is alive', async () => {
    [back, spare].forEach(({ backendServer }) =>
      backendServer.setHandler((response, run) => {
        setTimeout(() => respondSuccessfully(response, run), 900);
      }),
    );
    expect(await sendAll(2, 'letters')).toEqual([200, 200]);
    expect(Math.max(...runCounts())).toBe(1);
  });

  it('should not refuse a request that has arrived and that its busy node reads after the inquiry', async () => {
    const { gateAddress } = back.sidecar.identity;
    const connection = await RawConnection.open(gateAddress);
    const inquirer = await RawConnection.open(gateAddress);
    const headersOf = (requestId: string): Record<string, string> =>
      encodeHeaders(
        fleet.clock,
        createForwardedRequest(fleet.clock, {
          requestId,
          service: 'letters',
          headers: { host: 'letters.example', 'x-attempt-id': requestId },
        }),
      ) as Record<string, string>;
    inquirer.write({ target: '/', headers: headersOf('earlier') });
    await fleet.waitUntil(() => inquirer.receivedText.includes('HTTP/1.1 200'));
    const process = /lentillb-p: (\w+)/.exec(inquirer.receivedText)?.[1] ?? '';
    const body = encodeQuestions([{ key: '1 late', processId: Number.parseInt(process, 36) }]);
    const headers = { ...inquiryHeaders, host: gateAddress, 'content-length': `${body.length}` };
    inquirer.write({ method: 'POST', target: '/', headers, body: body.toString('latin1') });
    connection.write({ target: '/', headers: headersOf('late') });
    blockEventLoop(50);
    await fleet.waitUntil(() => connection.receivedText !== '');
    expect(connection.receivedText).toContain('HTTP/1.1 200');
    inquirer.close();
    connection.close();
  });
});
