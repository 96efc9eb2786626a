import type { Permit } from 'lentillb/allotments/index.js';
import { describe, expect, it } from 'vitest';
import { createCustomer, QuotaFleet } from './quotaFleet.js';

const WARM_MS = 15_000;
const END_MS = 45_000;
const HOSTS = 36;

/** Sends requests of one customer to the first hosts of a fleet until the end. */
async function play(rate: number, callers: number, demand: number): Promise<QuotaFleet> {
  const fleet = new QuotaFleet(HOSTS, [createCustomer('c', rate)]);
  fleet.load(fleet.hosts.slice(0, callers), 'c', demand * rate, END_MS);
  await fleet.clock.runUntil(END_MS + 1_000);
  return fleet;
}

describe('quotas without failures', () => {
  it.each([
    [5, 1],
    [5, 4],
    // Callers of a small customer on every host: a lease for each would hold the rate unused.
    [5, HOSTS],
    [12, HOSTS],
    [44, 1],
    [44, HOSTS],
    [377, 1],
    [377, HOSTS],
  ])('should serve normal demand of a rate of %i at %i hosts', async (rate, callers) => {
    const fleet = await play(rate, callers, 0.63);
    expect(fleet.refusedShare('c', WARM_MS, END_MS)).toBeLessThan(0.03);
  });

  // Leases that keep changing, or tokens that are saved where nobody asks, waste a part of the rate.
  it.each([
    [5, 4, 0.88],
    [44, 12, 0.95],
    [377, HOSTS, 0.97],
  ])(
    'should serve the rate of %i at %i hosts while more is demanded',
    async (rate, callers, share) => {
      const fleet = await play(rate, callers, 4);
      const served = fleet.admittedBetween('c', WARM_MS, END_MS);
      expect((served * 1_000) / (END_MS - WARM_MS)).toBeGreaterThan(share * rate);
      expect(fleet.excess(createCustomer('c', rate), 0)).toBeLessThanOrEqual(0);
    },
  );

  it('should follow demand that moves to other hosts', async () => {
    const fleet = new QuotaFleet(HOSTS, [createCustomer('c', 44)]);
    for (let start = 0; start < END_MS; start += 5_000) {
      const first = (start / 1_000) % HOSTS;
      fleet.load(fleet.hosts.slice(first, first + 4), 'c', 0.63 * 44, start + 5_000);
      await fleet.clock.runUntil(start + 5_000);
    }
    expect(fleet.refusedShare('c', 5_000, END_MS)).toBeLessThan(0.03);
  });

  it('should let a burst pass after a pause', async () => {
    const fleet = new QuotaFleet(HOSTS, [createCustomer('c', 44)]);
    fleet.load(fleet.hosts.slice(0, 4), 'c', 0.5 * 44, WARM_MS);
    await fleet.clock.runUntil(WARM_MS);
    fleet.load(fleet.hosts.slice(0, 4), 'c', 80 * 44, WARM_MS + 300);
    await fleet.clock.runUntil(WARM_MS + 500);
    expect(fleet.admittedBetween('c', WARM_MS, WARM_MS + 500)).toBeGreaterThan(0.8 * 44);
  });

  it('should apply a lower rate within a window', async () => {
    const lower = createCustomer('c', 20);
    const fleet = new QuotaFleet(HOSTS, [createCustomer('c', 200)]);
    fleet.load(fleet.hosts, 'c', 400, END_MS);
    await fleet.clock.runUntil(WARM_MS);
    fleet.replaceCustomers([lower]);
    await fleet.clock.runUntil(END_MS);
    expect(fleet.excess(lower, WARM_MS + 5_000)).toBeLessThanOrEqual(0);
  });

  it('should use a token again that was given back', async () => {
    const fleet = new QuotaFleet(3, [createCustomer('c', 10)]);
    const giveBack = (permit: Permit): void => permit.giveBack();
    for (let timeMs = 0; timeMs < END_MS; timeMs += 20) {
      fleet.request('h0', 'c', giveBack);
      await fleet.clock.runUntil(timeMs);
    }
    expect(fleet.refusedShare('c', WARM_MS, END_MS)).toBeLessThan(0.05);
  });

  it('should do nothing where no customer has a rate', async () => {
    const fleet = new QuotaFleet(3, [createCustomer('c', 0)]);
    fleet.load(fleet.hosts, 'c', 100, 5_000);
    await fleet.clock.runUntil(6_000);
    expect(fleet.sentDatagrams).toBe(0);
    expect(fleet.refusedShare('c', 0, 6_000)).toBe(0);
  });
});

describe('quotas while hosts fail', () => {
  it('should serve again within two seconds after a restart of all hosts', async () => {
    const fleet = new QuotaFleet(HOSTS, [createCustomer('c', 44)]);
    fleet.load(fleet.hosts, 'c', 0.63 * 44, END_MS);
    await fleet.clock.runUntil(WARM_MS);
    fleet.hosts.forEach((host) => fleet.start(host));
    await fleet.clock.runUntil(END_MS);
    expect(fleet.refusedShare('c', WARM_MS + 2_000, END_MS)).toBeLessThan(0.03);
  });

  // Each of them would be the allocator of the fleet that it knows: itself.
  it.each([900, 2_500])(
    'should keep the bound while hosts that start together learn of each other within %i ms',
    async (discoveryMs) => {
      const customer = createCustomer('c', 44);
      const fleet = new QuotaFleet(HOSTS, [customer], 11, discoveryMs);
      fleet.load(fleet.hosts, 'c', 50 * 44, 10_000);
      await fleet.clock.runUntil(10_000);
      expect(fleet.excess(customer, 0)).toBeLessThanOrEqual(0);
      expect(fleet.admittedBetween('c', 6_000, 10_000)).toBeGreaterThan(0.8 * 44 * 4);
    },
  );

  it.each([...Array(6).keys()])(
    'should serve while the allocator may be killed for 3 s (%i)',
    async (killed) => {
      const fleet = new QuotaFleet(7, [createCustomer('c', 44)]);
      fleet.load(['h6'], 'c', 0.63 * 44, END_MS);
      await fleet.clock.runUntil(WARM_MS);
      fleet.kill(`h${killed}`);
      await fleet.clock.runUntil(WARM_MS + 3_000);
      fleet.start(`h${killed}`);
      await fleet.clock.runUntil(END_MS);
      expect(fleet.refusedShare('c', WARM_MS, END_MS)).toBeLessThan(0.03);
    },
  );

  // Guards against requests that wait in vain for a reply which a full link has dropped.
  it('should serve while a tenth of the datagrams is lost', async () => {
    const fleet = new QuotaFleet(HOSTS, [createCustomer('c', 12)]);
    fleet.lossShare = 0.1;
    fleet.load(fleet.hosts, 'c', 0.5 * 12, END_MS);
    await fleet.clock.runUntil(END_MS);
    expect(fleet.refusedShare('c', WARM_MS, END_MS)).toBeLessThan(0.03);
  });

  it('should serve hosts that are cut off by their leases', async () => {
    const fleet = new QuotaFleet(8, [createCustomer('c', 44)]);
    fleet.load(fleet.hosts, 'c', 0.63 * 44, END_MS);
    await fleet.clock.runUntil(WARM_MS);
    fleet.partition((host) => (['h1', 'h5'].includes(host) ? 1 : 0));
    await fleet.clock.runUntil(WARM_MS + 9_000);
    fleet.heal();
    await fleet.clock.runUntil(END_MS);
    // Until then, hosts without an allocator don't use their reserves, which it might have lent out.
    expect(fleet.refusedShare('c', WARM_MS + 4_000, WARM_MS + 9_000)).toBeLessThan(0.08);
    expect(fleet.refusedShare('c', WARM_MS + 11_000, END_MS)).toBeLessThan(0.03);
  });
});
