import { EventKind } from 'lentillb';
import { describe, expect, it } from 'vitest';
import { rulesNamed } from '../support/rules.js';
import { FLEET_RETENTION_MS, TestFleet } from '../support/testFleet.js';

/** An accepted configuration is in force everywhere within this time, in milliseconds. */
const DISTRIBUTION_LIMIT_MS = 8_000;
/** The goal without faults, in milliseconds. */
const FAULT_FREE_LIMIT_MS = 500;
const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;

describe('spreading', () => {
  it('should bring each version to every node quickly, and each record about once', async () => {
    const fleet = await TestFleet.start({ zones: 4, nodesPerZone: 10 });
    await fleet.clock.advance(10 * SECOND_MS);
    expect(fleet.readers()).toHaveLength(8);
    const before = fleet.network.traffic.get('record')?.messages ?? 0;
    const readsBefore = fleet.log.counters.reads;
    const CHANGES = 5;
    for (let change = 1; change <= CHANGES; change += 1) {
      await fleet.append(rulesNamed(`v${change}`));
      await fleet.until(() => fleet.inForceEverywhere(), `version ${change}`, FAULT_FREE_LIMIT_MS);
      await fleet.clock.advance(SECOND_MS);
    }
    const records = (fleet.network.traffic.get('record')?.messages ?? 0) - before;
    // 32 of the 40 nodes do not read the log themselves; one in five may hear twice.
    expect(records).toBeLessThanOrEqual(CHANGES * 40 * 1.2);
    // Eight readers poll; the other nodes must not.
    expect(fleet.log.counters.reads - readsBefore).toBeLessThanOrEqual(8 * (CHANGES * 2 + 4));
  });

  it('should stay within its bytes while nothing happens', async () => {
    const fleet = await TestFleet.start({ zones: 4, nodesPerZone: 10 });
    await fleet.clock.advance(30 * SECOND_MS);
    const before = fleet.network.total().bytes;
    await fleet.clock.advance(MINUTE_MS);
    const bytes = fleet.network.total().bytes - before;
    // Each byte is sent by one node and received by another; the goal is half of 2 KB/s.
    expect((2 * bytes) / 60 / 40).toBeLessThanOrEqual(1_024);
  });

  it('should go on where both readers of a zone are killed', async () => {
    const fleet = await TestFleet.start({ zones: 2, nodesPerZone: 10 });
    await fleet.clock.advance(10 * SECOND_MS);
    const lost = fleet.readers().filter(({ zone }) => zone === 'zone-0');
    lost.forEach(({ host }) => fleet.kill(host));
    await fleet.append(rulesNamed('after'));
    await fleet.until(() => fleet.inForceEverywhere(), 'the version', DISTRIBUTION_LIMIT_MS);
    await fleet.until(
      () => fleet.everybodyKnowsAll(),
      'the loss to be known',
      DISTRIBUTION_LIMIT_MS,
    );
    await fleet.until(() => fleet.readers().length === 4, 'new readers', DISTRIBUTION_LIMIT_MS);
  });

  it('should notice that the first node of a zone is killed, whoever else is linked', async () => {
    const fleet = await TestFleet.start({ zones: 3, nodesPerZone: 8 });
    await fleet.clock.advance(10 * SECOND_MS);
    const firsts = fleet.nodes.filter(({ services }) => services.topologyView.current.first);
    expect(firsts).toHaveLength(3);
    firsts.forEach(({ host }) => fleet.kill(host));
    await fleet.until(
      () => fleet.everybodyKnowsAll(),
      'the loss to be known',
      DISTRIBUTION_LIMIT_MS,
    );
  });

  it('should let a zone that was cut off go on, and heal within 8 s', async () => {
    const fleet = await TestFleet.start({ zones: 3, nodesPerZone: 8 });
    await fleet.append(rulesNamed('before'));
    await fleet.until(() => fleet.inForceEverywhere(), 'the first version', DISTRIBUTION_LIMIT_MS);
    fleet.network.cut('zone-1');
    const cutOffNodes = fleet.nodes.filter(({ zone }) => zone === 'zone-1');
    const otherNodes = fleet.nodes.filter(({ zone }) => zone !== 'zone-1');
    await fleet.clock.advance(MINUTE_MS);
    await fleet.append(rulesNamed('during'));
    await fleet.until(
      () => fleet.inForceEverywhere(otherNodes),
      'the others',
      DISTRIBUTION_LIMIT_MS,
    );
    await fleet.clock.advance(2 * MINUTE_MS);
    const versionsHeld = cutOffNodes.map(({ services }) => services.versionStore.state?.version);
    expect(new Set(versionsHeld)).toEqual(new Set([1]));
    // Neither side takes the other's hosts for gone: nobody there watches them.
    expect(fleet.everybodyKnowsAll()).toBe(true);
    const bytesBefore = fleet.network.total().bytes;
    fleet.network.heal('zone-1');
    await fleet.until(() => fleet.inForceEverywhere(), 'healing', DISTRIBUTION_LIMIT_MS);
    await fleet.clock.advance(10 * SECOND_MS);
    const perNode = (2 * (fleet.network.total().bytes - bytesBefore)) / fleet.nodes.length;
    expect(perNode).toBeLessThanOrEqual(10 * 2 * 1_024);
  });

  it('should not revive hosts that left while a zone was cut off', async () => {
    const fleet = await TestFleet.start({ zones: 2, nodesPerZone: 6 });
    await fleet.clock.advance(10 * SECOND_MS);
    fleet.network.cut('zone-1');
    await fleet.clock.advance(20 * SECOND_MS);
    await fleet.stop('host-2');
    fleet.kill('host-4');
    // Longer than a host that is gone is remembered.
    await fleet.clock.advance(11 * MINUTE_MS);
    fleet.network.heal('zone-1');
    await fleet.until(() => fleet.everybodyKnowsAll(), 'one view', 2 * DISTRIBUTION_LIMIT_MS);
    await fleet.clock.advance(10 * SECOND_MS);
    expect(fleet.everybodyKnowsAll()).toBe(true);
  });

  it('should take a paused host out, and take it back when it goes on', async () => {
    const fleet = await TestFleet.start({ zones: 2, nodesPerZone: 6 });
    await fleet.clock.advance(10 * SECOND_MS);
    const paused = fleet.find('host-4');
    fleet.network.silence(paused.host);
    const others = fleet.nodes.filter((node) => node !== paused);
    const gone = (): boolean =>
      others.every(
        ({ services }) => !services.fleet.present().some(({ host }) => host === paused.host),
      );
    await fleet.until(gone, 'the others to take it out', 15 * SECOND_MS);
    fleet.network.unsilence(paused.host);
    await fleet.until(() => fleet.everybodyKnowsAll(), 'it to be back', 15 * SECOND_MS);
    const kinds = paused.services.timeline.after(0).map(({ kind }) => kind);
    expect(kinds).toContain(EventKind.ClaimRefuted);
  });

  it('should lose nothing while the platform is away past its retention and all nodes are replaced', async () => {
    const fleet = await TestFleet.start({ zones: 2, nodesPerZone: 3 });
    await fleet.append(rulesNamed('kept'));
    await fleet.until(() => fleet.inForceEverywhere(), 'the version', DISTRIBUTION_LIMIT_MS);
    fleet.log.faults.outage = true;
    fleet.log.wakeReaders();
    const first = [...fleet.nodes];
    for (const { host, zone } of first) {
      await fleet.stop(host);
      const others = fleet.nodes.map(({ services }) => services.announcer.ports.peerPort);
      const peers = others.map((port) => `127.0.0.1:${port}`).join(',');
      await fleet.add({ host: `${host}-new`, zone, peers });
      await fleet.until(() => fleet.inForceEverywhere(), `${host}-new to catch up`, MINUTE_MS);
    }
    await fleet.clock.advance(FLEET_RETENTION_MS + MINUTE_MS);
    expect(fleet.nodes.some((node) => first.includes(node))).toBe(false);
    expect(fleet.inForceEverywhere()).toBe(true);
    fleet.log.faults.outage = false;
    await fleet.clock.advance(30 * SECOND_MS);
    await fleet.append(rulesNamed('next'));
    await fleet.until(() => fleet.inForceEverywhere(), 'the next version', DISTRIBUTION_LIMIT_MS);
  });

  it('should take no callers on a restarted node before it knows the others', async () => {
    const fleet = await TestFleet.start({ zones: 2, nodesPerZone: 2 });
    await fleet.append(rulesNamed('before'));
    await fleet.until(() => fleet.inForceEverywhere(), 'the version', DISTRIBUTION_LIMIT_MS);
    for (const { host, zone } of [...fleet.nodes, ...fleet.nodes]) {
      await fleet.stop(host);
      const { services } = await fleet.add({ host, zone });
      await fleet.until(
        () => services.readiness.ready,
        `${host} to be ready`,
        2 * DISTRIBUTION_LIMIT_MS,
      );
      expect(services.fleet.present()).toHaveLength(4);
      await fleet.until(() => fleet.everybodyKnowsAll(), 'one view', DISTRIBUTION_LIMIT_MS);
      await fleet.clock.advance(SECOND_MS);
    }
  });

  it('should not storm the log when 30% of the nodes return at once', async () => {
    const fleet = await TestFleet.start({ zones: 4, nodesPerZone: 10 });
    await fleet.append(rulesNamed('before'));
    await fleet.until(() => fleet.inForceEverywhere(), 'the version', DISTRIBUTION_LIMIT_MS);
    const returningNodes = fleet.nodes.slice(3, 15);
    returningNodes.forEach(({ host }) => fleet.kill(host));
    await fleet.until(
      () => fleet.everybodyKnowsAll(),
      'the loss to be known',
      2 * DISTRIBUTION_LIMIT_MS,
    );
    const before = { ...fleet.log.counters };
    for (const { host, zone } of returningNodes) {
      await fleet.add({ host, zone });
    }
    await fleet.until(
      () => fleet.inForceEverywhere(),
      'the herd to be back',
      DISTRIBUTION_LIMIT_MS,
    );
    await fleet.until(() => fleet.everybodyKnowsAll(), 'one view', 2 * DISTRIBUTION_LIMIT_MS);
    const { appends, ranges, bytesOut } = fleet.log.counters;
    expect(appends - before.appends).toBeLessThanOrEqual(returningNodes.length);
    expect(ranges - before.ranges).toBeLessThanOrEqual(3 * returningNodes.length);
    expect(bytesOut - before.bytesOut).toBeLessThanOrEqual(64 * 1_024);
  });
});
