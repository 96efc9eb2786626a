import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';

const HOSTS = 16;
const HEARTBEAT_INTERVAL_MS = 1_500;
/** Of one host: the read of the hosts, one more while nobody is announced, and its own record. */
const MAX_CALLS_PER_HOST = 3;
/** Of the zone: two readers of the configuration and one of the hosts, over ten seconds. */
const MAX_CALLS_OF_READERS = 30;

let fleet: SidecarFleet;

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
});

afterEach(() => fleet.close());

describe('calls to the store', () => {
  it('should grow by at most three for each host when a whole fleet starts', async () => {
    const hosts = await Promise.all(
      Array.from({ length: HOSTS }, (_, index) => fleet.addHost(`h${index}`, 'pages', false)),
    );
    for (const { heartbeat, sidecar } of hosts) {
      await fleet.clock.sleep(HEARTBEAT_INTERVAL_MS / HOSTS);
      await sidecar.acceptHeartbeat(heartbeat);
    }
    await fleet.waitUntil(() => hosts.every(({ sidecar }) => sidecar.ready), 8_000);
    await fleet.clock.sleep(4_000);
    expect(fleet.store.calls).toBeLessThanOrEqual(
      HOSTS * MAX_CALLS_PER_HOST + MAX_CALLS_OF_READERS,
    );
  });
});
