import { CONFIGURATION_KEY } from '@lentillb/platform';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { createRoute, SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

let fleet: SidecarFleet;

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
});

afterEach(() => fleet.close());

function publish(rate: number): void {
  const configuration = {
    version: '000000ff',
    routes: { letters: createRoute('letters', 'non_idempotent') },
    services: { letters: {} },
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 100_000,
      'header-timeout': '3s',
      'idle-timeout': '15s',
    },
    tenants: { c: { 'api-keys': ['k'], 'rate-per-s': rate, burst: rate } },
  };
  fleet.store.write('keyed.op', CONFIGURATION_KEY, JSON.stringify(configuration));
}

function sumOf(name: string, hosts: readonly FleetHost[]): number {
  const values = hosts.map(({ sidecar }) =>
    Number(new RegExp(`^${name} (\\d+)$`, 'm').exec(sidecar.metrics.renderText())?.[1]),
  );
  return values.reduce((sum, value) => sum + value, 0);
}

async function startHosts(): Promise<readonly FleetHost[]> {
  const hosts = [await fleet.addHost('front', 'letters'), await fleet.addHost('back', 'letters')];
  await fleet.waitUntil(() => hosts.every(({ sidecar }) => sidecar.ready));
  return hosts;
}

it('should choose one allocator for a customer with a rate', async () => {
  publish(5);
  const hosts = await startHosts();
  await fleet.waitUntil(
    () =>
      sumOf('allotment_received_messages', hosts) > 0 && sumOf('allotment_mandates', hosts) === 1,
    10_000,
  );
});

it('should send nothing about rates where no customer has one', async () => {
  publish(0);
  const hosts = await startHosts();
  await fleet.clock.sleep(1_500);
  expect(sumOf('allotment_sent_messages', hosts)).toBe(0);
});
