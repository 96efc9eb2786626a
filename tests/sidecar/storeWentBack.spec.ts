import { StoreFault } from '@lentillb/standins';
import { decodeAnnouncement } from 'lentillb/directory/announcement.js';
import type { Announcement } from 'lentillb/directory/announcement.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';

const HOSTS_TOPIC = 'keyed.lentillb-hosts';
const OPERATOR_TOPIC = 'keyed.op';
/** The time within which every live host must be in the store again, in milliseconds. */
const RESTORE_TIMEOUT_MS = 2_000;

let fleet: SidecarFleet;

function storedAnnouncement(host: string): Announcement | undefined {
  const value = fleet.store.newestValue(HOSTS_TOPIC, host);
  return value === undefined ? undefined : decodeAnnouncement(Buffer.from(value)).unwrap();
}

function hasLogged(log: readonly object[], event: string): boolean {
  return log.some((line) => (line as { event?: string }).event === event);
}

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
});

afterEach(() => fleet.close());

describe('store that went back to an older copy', () => {
  it('should have the record of every live host again within two seconds', async () => {
    const names = ['front', 'b1', 'b2', 'b3'];
    const hosts = await Promise.all(names.map((name) => fleet.addHost(name, 'pages')));
    await fleet.waitUntil(() => names.every((name) => storedAnnouncement(name) !== undefined));
    await fleet.waitUntilServed(hosts[0]!, 'pages');
    fleet.store.setFault(StoreFault.Refuse);
    await fleet.clock.sleep(600);
    fleet.store.restoreOlderCopy(HOSTS_TOPIC, names.length);
    fleet.store.setFault(undefined);
    await fleet.waitUntil(
      () => names.every((name) => storedAnnouncement(name) !== undefined),
      RESTORE_TIMEOUT_MS,
    );
    await fleet.waitUntil(() => hosts.every(({ log }) => hasLogged(log, 'store-went-back')));
  });

  it('should not undo a confirmed departure at a node that restarts meanwhile', async () => {
    const front = await fleet.addHost('front', 'pages');
    const leaving = await fleet.addHost('leaving', 'letters');
    await fleet.waitUntilServed(front, 'letters');
    await fleet.waitUntil(() => storedAnnouncement('leaving')?.sequence === 1);
    await leaving.sidecar.acceptHeartbeat({ ...leaving.heartbeat, sequence: 2, draining: true });
    await fleet.waitUntil(() => storedAnnouncement('leaving')?.backendServer?.state === 'leaving');
    // The other node must have learned of the departure before the store loses it.
    await fleet.clock.sleep(1_500);
    leaving.sidecar.close();
    fleet.store.restoreOlderCopy(HOSTS_TOPIC, 1);
    const before = leaving.backendServer.runs.length;
    const restarted = await fleet.restartNode(leaving);
    await fleet.waitUntil(() => restarted.sidecar.ready);
    expect((await fleet.send(restarted, 'letters').answer).status).toBe(503);
    await fleet.waitUntil(
      () => storedAnnouncement('leaving')?.backendServer?.state === 'leaving',
      RESTORE_TIMEOUT_MS,
    );
    expect((await fleet.send(front, 'letters').answer).status).toBe(503);
    expect(leaving.backendServer.runs.length).toBe(before);
  });

  it('should have the departure of a host that no longer runs again', async () => {
    const front = await fleet.addHost('front', 'pages');
    const leaving = await fleet.addHost('leaving', 'letters');
    await fleet.waitUntilServed(front, 'letters');
    await leaving.sidecar.acceptHeartbeat({ ...leaving.heartbeat, sequence: 2, draining: true });
    await fleet.waitUntil(() => storedAnnouncement('leaving')?.backendServer?.state === 'leaving');
    await fleet.clock.sleep(1_500);
    leaving.sidecar.close();
    fleet.store.restoreOlderCopy(HOSTS_TOPIC, 1);
    expect(storedAnnouncement('leaving')?.backendServer?.state).toBe('ready');
    await fleet.waitUntil(
      () => storedAnnouncement('leaving')?.backendServer?.state === 'leaving',
      4_000,
    );
  });

  it('should leave the configuration in force, and deliver versions at offsets given out again', async () => {
    const host = await fleet.addHost('front', 'pages');
    await fleet.waitUntilServed(host, 'pages');
    const added = {
      hostname: 'added.example',
      'path-prefix': '/',
      'route-type': 'idempotent',
      timeout: '1s',
      'target-latency': '400ms',
      priority: 1,
      service: 'pages',
      'max-attempts': 1,
    };
    fleet.publish({ added });
    await fleet.waitUntilServed(host, 'added');
    fleet.store.restoreOlderCopy(OPERATOR_TOPIC, 1);
    await fleet.clock.sleep(700);
    expect((await fleet.send(host, 'added').answer).status).toBe(200);
    fleet.publish({ added: { ...added, hostname: 'later.example' } });
    await fleet.waitUntil(() => hasLogged(host.log, 'store-went-back'));
    await fleet.waitUntilServed(host, 'later');
  });
});
