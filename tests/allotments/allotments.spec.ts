import { expect, it } from 'vitest';
import { createCustomer, QuotaFleet } from './quotaFleet.js';

const WARM_MS = 15_000;
const END_MS = 45_000;

async function measure(
  hosts: number,
  rate: number,
  demand: number,
  callers: number,
): Promise<{ share: number; excess: number; fleet: QuotaFleet }> {
  const customer = createCustomer('c', rate);
  const fleet = new QuotaFleet(hosts, [customer]);
  fleet.load(fleet.hosts.slice(0, callers), 'c', demand, END_MS);
  await fleet.clock.runUntil(END_MS + 1_000);
  return {
    share: fleet.refusedShare('c', WARM_MS, END_MS),
    excess: fleet.excess(customer),
    fleet,
  };
}

it.each([
  [5, 1],
  [5, 4],
  [44, 1],
  [44, 12],
  [377, 1],
  [377, 36],
])('should serve normal demand of a rate of %i sent to %i hosts', async (rate, callers) => {
  const { excess, share } = await measure(36, rate, 0.63 * rate, callers);
  console.log(rate, callers, share, excess);
  expect(share).toBeLessThan(0.03);
  expect(excess).toBeLessThanOrEqual(0);
});

it.each([
  [5, 4],
  [44, 12],
  [377, 36],
])('should serve the rate of %i at %i hosts while more is demanded', async (rate, callers) => {
  const { excess, fleet } = await measure(36, rate, 4 * rate, callers);
  const served = (fleet.admittedAtMs.get('c') ?? []).filter((timeMs) => timeMs >= WARM_MS).length;
  console.log(rate, callers, (served * 1_000) / (END_MS - WARM_MS) / rate, excess);
  expect((served * 1_000) / (END_MS - WARM_MS)).toBeGreaterThan(0.95 * rate);
  expect(excess).toBeLessThanOrEqual(0);
});
