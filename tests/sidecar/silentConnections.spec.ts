import { Deadline } from 'lentillb';
import { Topic } from 'lentillb/store/keyedStore.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Relay } from '../../soak/dist/relay.js';
import { freeAddress } from '../support/freeAddress.js';
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
