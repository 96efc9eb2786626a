import { EventKind } from 'lentillb';
import { describe, expect, it } from 'vitest';
import { createRules } from '../support/ruleFiles.js';
import { FLEET_RETENTION_MS, TestFleet } from '../support/testFleet.js';

/** The maximum time until an accepted configuration is in force everywhere, in milliseconds. */
const DISTRIBUTION_LIMIT_MS = 8_000;
/** The maximum of that time while there are no faults, in milliseconds. */
const FAULT_FREE_LIMIT_MS = 500;
const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;

describe('configuration distribution', () => {
  it('should distribute each version to every node in time, and each record about once', async () => {
    const fleet = await TestFleet.start({ zones: 4, nodesPerZone: 10 });
    await fleet.clock.advance(10 * SECOND_MS);
    expect(fleet.readers()).toHaveLength(8);
    const before = fleet.network.traffic.get('record')?.messages ?? 0;
    const readsBefore = fleet.log.counters.reads;
    const CHANGES = 5;
    for (let change = 1; change <= CHANGES; change += 1) {
      await fleet.append(createRules(`v${change}`));
      await fleet.waitUntil(
        () => fleet.inForceEverywhere(),
        `version ${change}`,
        FAULT_FREE_LIMIT_MS,
      );
      await fleet.clock.advance(SECOND_MS);
    }
    const records = (fleet.network.traffic.get('record')?.messages ?? 0) - before;
    // 32 of the 40 nodes do not read the log; one in five nodes may receive a record twice.
    expect(records).toBeLessThanOrEqual(CHANGES * 40 * 1.2);
    // Only the eight readers poll the log.
    expect(fleet.log.counters.reads - readsBefore).toBeLessThanOrEqual(8 * (CHANGES * 2 + 4));
  });

  it('should stay within its bandwidth limit while nothing changes', async () => {
    const fleet = await TestFleet.start({ zones: 4, nodesPerZone: 10 });
    await fleet.clock.advance(30 * SECOND_MS);
    const before = fleet.network.totalTraffic().bytes;
    await fleet.clock.advance(MINUTE_MS);
    const bytes = fleet.network.totalTraffic().bytes - before;
    // Each byte is sent by one node and received by another; the limit is half of 2 KB/s.
    expect((2 * bytes) / 60 / 40).toBeLessThanOrEqual(1_024);
  });

  it('should distribute a version after both readers of a zone are killed', async () => {
    const fleet = await TestFleet.start({ zones: 2, nodesPerZone: 10 });
    await fleet.clock.advance(10 * SECOND_MS);
    const lost = fleet.readers().filter(({ zone }) => zone === 'zone-0');
    lost.forEach(({ host }) => fleet.kill(host));
    await fleet.append(createRules('after'));
    await fleet.waitUntil(() => fleet.inForceEverywhere(), 'the version', DISTRIBUTION_LIMIT_MS);
    await fleet.waitUntil(
      () => fleet.everyNodeKnowsAll(),
      'the loss to be known everywhere',
      DISTRIBUTION_LIMIT_MS,
    );
    await fleet.waitUntil(() => fleet.readers().length === 4, 'new readers', DISTRIBUTION_LIMIT_MS);
  });

  it('should detect that the first node of each zone is killed, whatever other links exist', async () => {
    const fleet = await TestFleet.start({ zones: 3, nodesPerZone: 8 });
    await fleet.clock.advance(10 * SECOND_MS);
    const firsts = fleet.nodes.filter(({ services }) => services.topologyView.current.first);
    expect(firsts).toHaveLength(3);
    firsts.forEach(({ host }) => fleet.kill(host));
    await fleet.waitUntil(
      () => fleet.everyNodeKnowsAll(),
      'the loss to be known everywhere',
      DISTRIBUTION_LIMIT_MS,
    );
  });

  it('should keep an isolated zone running, and update it within 8 s after it reconnects', async () => {
    const fleet = await TestFleet.start({ zones: 3, nodesPerZone: 8 });
    await fleet.append(createRules('before'));
    await fleet.waitUntil(
      () => fleet.inForceEverywhere(),
      'the first version',
      DISTRIBUTION_LIMIT_MS,
    );
    fleet.network.isolateZone('zone-1');
    const cutOffNodes = fleet.nodes.filter(({ zone }) => zone === 'zone-1');
    const otherNodes = fleet.nodes.filter(({ zone }) => zone !== 'zone-1');
    await fleet.clock.advance(MINUTE_MS);
    await fleet.append(createRules('during'));
    await fleet.waitUntil(
      () => fleet.inForceEverywhere(otherNodes),
      'the other nodes to have the version',
      DISTRIBUTION_LIMIT_MS,
    );
    await fleet.clock.advance(2 * MINUTE_MS);
    const versionsHeld = cutOffNodes.map(({ services }) => services.versionStore.state?.version);
    expect(new Set(versionsHeld)).toEqual(new Set([1]));
    // Neither side declares the hosts of the other side lost, because only hosts of the same zone
    // watch them.
    expect(fleet.everyNodeKnowsAll()).toBe(true);
    const bytesBefore = fleet.network.totalTraffic().bytes;
    fleet.network.reconnectZone('zone-1');
    await fleet.waitUntil(
      () => fleet.inForceEverywhere(),
      'the isolated zone to have the version',
      DISTRIBUTION_LIMIT_MS,
    );
    await fleet.clock.advance(10 * SECOND_MS);
    const perNode = (2 * (fleet.network.totalTraffic().bytes - bytesBefore)) / fleet.nodes.length;
    expect(perNode).toBeLessThanOrEqual(10 * 2 * 1_024);
  });

  it('should not revive hosts that left while a zone was isolated', async () => {
    const fleet = await TestFleet.start({ zones: 2, nodesPerZone: 6 });
    await fleet.clock.advance(10 * SECOND_MS);
    fleet.network.isolateZone('zone-1');
    await fleet.clock.advance(20 * SECOND_MS);
    await fleet.stop('host-2');
    fleet.kill('host-4');
    // This is longer than hosts that are gone are retained.
    await fleet.clock.advance(11 * MINUTE_MS);
    fleet.network.reconnectZone('zone-1');
    await fleet.waitUntil(
      () => fleet.everyNodeKnowsAll(),
      'all nodes to know the same hosts',
      2 * DISTRIBUTION_LIMIT_MS,
    );
    await fleet.clock.advance(10 * SECOND_MS);
    expect(fleet.everyNodeKnowsAll()).toBe(true);
  });

  it('should remove a paused host, and add it again when it resumes', async () => {
    const fleet = await TestFleet.start({ zones: 2, nodesPerZone: 6 });
    await fleet.clock.advance(10 * SECOND_MS);
    const paused = fleet.findNode('host-4');
    fleet.network.blockHost(paused.host);
    const others = fleet.nodes.filter((node) => node !== paused);
    const gone = (): boolean =>
      others.every(
        ({ services }) => !services.fleet.present().some(({ host }) => host === paused.host),
      );
    await fleet.waitUntil(gone, 'the other nodes to remove the host', 15 * SECOND_MS);
    fleet.network.unblockHost(paused.host);
    await fleet.waitUntil(() => fleet.everyNodeKnowsAll(), 'the host to be back', 15 * SECOND_MS);
    const kinds = paused.services.timeline.eventsAfter(0).map(({ kind }) => kind);
    expect(kinds).toContain(EventKind.ClaimRefuted);
  });

  it('should keep the configuration during a log outage past its retention while all nodes are replaced', async () => {
    const fleet = await TestFleet.start({ zones: 2, nodesPerZone: 3 });
    await fleet.append(createRules('kept'));
    await fleet.waitUntil(() => fleet.inForceEverywhere(), 'the version', DISTRIBUTION_LIMIT_MS);
    fleet.log.faults.outage = true;
    fleet.log.wakeReaders();
    const first = [...fleet.nodes];
    for (const { host, zone } of first) {
      await fleet.stop(host);
      const others = fleet.nodes.map(({ services }) => services.announcer.ports.peerPort);
      const peers = others.map((port) => `127.0.0.1:${port}`).join(',');
      await fleet.add({ host: `${host}-new`, zone, peers });
      await fleet.waitUntil(() => fleet.inForceEverywhere(), `${host}-new to catch up`, MINUTE_MS);
    }
    await fleet.clock.advance(FLEET_RETENTION_MS + MINUTE_MS);
    expect(fleet.nodes.some((node) => first.includes(node))).toBe(false);
    expect(fleet.inForceEverywhere()).toBe(true);
    fleet.log.faults.outage = false;
    await fleet.clock.advance(30 * SECOND_MS);
    await fleet.append(createRules('next'));
    await fleet.waitUntil(
      () => fleet.inForceEverywhere(),
      'the next version',
      DISTRIBUTION_LIMIT_MS,
    );
  });

  it('should not make a restarted node ready before it knows the other nodes', async () => {
    const fleet = await TestFleet.start({ zones: 2, nodesPerZone: 2 });
    await fleet.append(createRules('before'));
    await fleet.waitUntil(() => fleet.inForceEverywhere(), 'the version', DISTRIBUTION_LIMIT_MS);
    for (const { host, zone } of [...fleet.nodes, ...fleet.nodes]) {
      await fleet.stop(host);
      const { services } = await fleet.add({ host, zone });
      await fleet.waitUntil(
        () => services.readiness.ready,
        `${host} to be ready`,
        2 * DISTRIBUTION_LIMIT_MS,
      );
      expect(services.fleet.present()).toHaveLength(4);
      await fleet.waitUntil(
        () => fleet.everyNodeKnowsAll(),
        'all nodes to know the same hosts',
        DISTRIBUTION_LIMIT_MS,
      );
      await fleet.clock.advance(SECOND_MS);
    }
  });

  it('should limit requests to the log when 30% of the nodes return at once', async () => {
    const fleet = await TestFleet.start({ zones: 4, nodesPerZone: 10 });
    await fleet.append(createRules('before'));
    await fleet.waitUntil(() => fleet.inForceEverywhere(), 'the version', DISTRIBUTION_LIMIT_MS);
    const returningNodes = fleet.nodes.slice(3, 15);
    returningNodes.forEach(({ host }) => fleet.kill(host));
    await fleet.waitUntil(
      () => fleet.everyNodeKnowsAll(),
      'the loss to be known everywhere',
      2 * DISTRIBUTION_LIMIT_MS,
    );
    const before = { ...fleet.log.counters };
    for (const { host, zone } of returningNodes) {
      await fleet.add({ host, zone });
    }
    await fleet.waitUntil(
      () => fleet.inForceEverywhere(),
      'the returned nodes to have the version',
      DISTRIBUTION_LIMIT_MS,
    );
    await fleet.waitUntil(
      () => fleet.everyNodeKnowsAll(),
      'all nodes to know the same hosts',
      2 * DISTRIBUTION_LIMIT_MS,
    );
    const { appends, ranges, bytesOut } = fleet.log.counters;
    expect(appends - before.appends).toBeLessThanOrEqual(returningNodes.length);
    expect(ranges - before.ranges).toBeLessThanOrEqual(3 * returningNodes.length);
    expect(bytesOut - before.bytesOut).toBeLessThanOrEqual(64 * 1_024);
  });
});
