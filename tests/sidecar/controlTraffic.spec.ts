import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

let fleet: SidecarFleet;
let front: FleetHost;

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
  front = await fleet.addHost('front', 'pages');
  await fleet.addHost('back', 'letters');
  await fleet.waitUntilServed(front, 'letters');
});

afterEach(() => fleet.close());

function metricOf(name: string, { sidecar } = front): number {
  const line = sidecar.metrics
    .renderText()
    .split('\n')
    .find((one) => one.startsWith(`${name} `));
  return Number(line?.split(' ').at(-1));
}

describe('the metrics of a node', () => {
  it('should show what it has read of the store and what is under way', () => {
    expect(metricOf('store_read_bytes{topic="hosts"}')).toBeGreaterThan(0);
    expect(metricOf('store_reads_under_way{topic="operator"}')).toBeLessThanOrEqual(2);
    expect(metricOf('store_reads_under_way{topic="hosts"}')).toBeLessThanOrEqual(2);
  });

  it('should show the transfers from other nodes', async () => {
    // A host that starts beside others fetches their state.
    const late = await fleet.addHost('late', 'pages');
    await fleet.waitUntil(() => metricOf('state_transfer_bytes', late) > 0);
    expect(metricOf('state_transfers_under_way', late)).toBeGreaterThanOrEqual(0);
  });
});
