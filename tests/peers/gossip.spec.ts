import { runInBackground } from 'lentillb/utils/background.js';
import { SeededRandomness } from 'lentillb';
import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import { ConfigurationStatus } from 'lentillb/configuration/configurationStatus.js';
import type { GateLoad } from 'lentillb/directory/gateLoad.js';
import { Directory } from 'lentillb/directory/directory.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { Gossip } from 'lentillb/peers/gossip.js';
import type { GossipMessage } from 'lentillb/peers/gossipMessage.js';
import {
  decodeGossipMessage,
  encodeGossipMessage,
  GossipMessageKind,
} from 'lentillb/peers/gossipMessage.js';
import { StoreReaderRole } from 'lentillb/peers/storeReaderRole.js';
import { Topic } from 'lentillb/store/keyedStore.js';
import { StoreEraTracker } from 'lentillb/store/storeEraTracker.js';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

/** Interval at which a reader gets an answer of the store, in milliseconds. */
const READ_INTERVAL_MS = 500;
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

class GossipNode {
  readonly directory = new Directory();

  readonly configuration = new ConfigurationHolder();

  readonly era = new StoreEraTracker();

  readonly status: ConfigurationStatus;

  readonly role: StoreReaderRole;

  constructor(
    clock: ManualClock,
    readonly host: string,
    readonly zone: string,
  ) {
    this.status = new ConfigurationStatus(clock, this.configuration);
    this.role = new StoreReaderRole({ clock, directory: this.directory }, { host, zone });
  }
}

/** Creates nodes that exchange gossip messages over an in-memory network. */
function network(clock: ManualClock, zones: Readonly<Record<string, string>>) {
  const nodes = Object.entries(zones).map(([host, zone]) => new GossipNode(clock, host, zone));
  const byAddress = new Map(nodes.map((node) => [`${node.host}:1`, node]));
  const log = new DecisionLog(clock, { info: () => undefined, warn: () => undefined });
  const disconnected = new Set<string>();
  /** Hosts that get no answer from the store. */
  const storeUnreachable = new Set<string>();
  const sentCounts = new Map<string, number>();
  const fetchCounts = new Map<string, number>();
  const gossips = new Map<string, Gossip>();
  /** The loads that each host has received, by the host that sent them. */
  const receivedLoads = new Map(nodes.map(({ host }) => [host, new Map<string, GateLoad>()]));
  nodes.forEach((node, index) => {
    nodes.forEach(({ host, zone }) => {
      node.directory.merge({
        host,
        zone,
        gateAddress: `${host}:2`,
        peerAddress: `${host}:1`,
        incarnation: 1,
        sequence: 1,
      });
    });
    const isDisconnected = (other: string): boolean =>
      disconnected.has(node.host) || disconnected.has(other);
    const gossip = new Gossip(
      {
        clock,
        randomness: new SeededRandomness(index + 1),
        configuration: node.configuration,
        status: node.status,
        directory: node.directory,
        role: node.role,
        era: node.era,
        gateLoad: () => ({ load: index, failureShare: 0, serviceTimes: [] }),
        log,
        transport: {
          send: (address, message: GossipMessage) => {
            sentCounts.set(node.host, (sentCounts.get(node.host) ?? 0) + 1);
            const other = byAddress.get(address);
            if (other !== undefined && !isDisconnected(other.host)) {
              clock.after(1, () => gossips.get(other.host)?.receive(`${node.host}:1`, message));
            }
          },
        },
        fetchState: (address, heldVersion) => {
          fetchCounts.set(node.host, (fetchCounts.get(node.host) ?? 0) + 1);
          const other = byAddress.get(address);
          if (other === undefined || isDisconnected(other.host)) {
            return Promise.resolve(Err('not reached'));
          }
          const change = other.configuration.changeSince(heldVersion);
          return Promise.resolve(Ok({ change, announcements: other.directory.announcements }));
        },
      },
      { host: node.host, zone: node.zone },
      {
        onState: ({ announcements, change }) => {
          announcements.forEach((announcement) => node.directory.merge(announcement));
          if (change !== undefined) {
            node.configuration.applyIfNewer(change);
          }
        },
        onGateLoad: (host, load) => receivedLoads.get(node.host)?.set(host, load),
      },
    );
    gossips.set(node.host, gossip);
    runInBackground(gossip.run());
  });
  const readTopics = (host: string, role: StoreReaderRole): void => {
    const topics = Object.values(Topic).filter((topic) => role.shouldRead(topic));
    topics.forEach((topic) =>
      storeUnreachable.has(host)
        ? role.noteReadFailure(topic)
        : role.noteRead(topic, clock.monotonicMs()),
    );
    if (topics.includes(Topic.Operator)) {
      gossips.get(host)?.broadcast();
    }
  };
  const readStore = async (): Promise<void> => {
    for (;;) {
      nodes.forEach(({ host, role }) => readTopics(host, role));
      await clock.sleep(READ_INTERVAL_MS);
    }
  };
  runInBackground(readStore());
  return { storeUnreachable, disconnected, fetchCounts, gossips, nodes, receivedLoads, sentCounts };
}

const TWO_ZONES = { a1: 'a', a2: 'a', a3: 'a', a4: 'a', b1: 'b', b2: 'b', b3: 'b' };

describe('gossip message', () => {
  it('should be decoded as it was encoded', () => {
    const message: GossipMessage = {
      kind: GossipMessageKind.Ping,
      readsStore: true,
      configurationVersion: 4_000_000_000,
      directoryDigest: 7,
      storeEra: 3,
      readAgesMs: { operator: 850, hosts: Infinity },
      gateLoads: [],
    };
    expect(decodeGossipMessage(encodeGossipMessage(message))).toEqual(message);
  });

  it('should carry the loads of gates with at most four service times each', () => {
    const serviceTimes = Array.from({ length: 6 }, (_, index) => ({
      routeHash: 4_000_000_000 + index,
      meanMs: 100 * index,
    }));
    const loads = [
      { hostHash: 5, load: 70_000, failureShare: 0.2, serviceTimes },
      { hostHash: 4_000_000_000, load: 3, failureShare: 1, serviceTimes: [] },
    ];
    const message: GossipMessage = {
      kind: GossipMessageKind.Status,
      readsStore: false,
      configurationVersion: 1,
      directoryDigest: 7,
      storeEra: 0,
      readAgesMs: { operator: Infinity, hosts: Infinity },
      gateLoads: loads,
    };
    const encoded = encodeGossipMessage(message);
    expect(decodeGossipMessage(encoded)).toEqual({
      ...message,
      gateLoads: [{ ...loads[0], load: 65_535, serviceTimes: serviceTimes.slice(0, 4) }, loads[1]],
    });
    expect(decodeGossipMessage(encoded.subarray(0, encoded.length - 1))).toBeUndefined();
  });

  it('should carry the request limits of gates in tenths', () => {
    const load = { hostHash: 5, load: 7, failureShare: 0, serviceTimes: [] };
    const message: GossipMessage = {
      kind: GossipMessageKind.Status,
      readsStore: false,
      configurationVersion: 1,
      directoryDigest: 7,
      storeEra: 0,
      readAgesMs: { operator: Infinity, hosts: 1_400 },
      gateLoads: [{ ...load, limitPerSecond: 12.7 }, { ...load, limitPerSecond: 0 }, load],
    };
    expect(decodeGossipMessage(encodeGossipMessage(message))).toEqual(message);
  });

  it.each([[Buffer.alloc(0)], [Buffer.alloc(14)], [Buffer.from('l123456789012')]])(
    'should not be decoded from %s',
    (bytes) => {
      expect(decodeGossipMessage(bytes)).toBeUndefined();
    },
  );
});

describe('gossip', () => {
  it('should distribute a configuration that only a reader has read to the whole zone at once', async () => {
    const clock = new ManualClock();
    const { gossips, nodes } = network(clock, TWO_ZONES);
    await clock.advance(2_000);
    const reader = nodes.find(({ role, zone }) => zone === 'a' && role.isReaderOf(Topic.Operator));
    reader?.configuration.activateIfNewer({ version: 5, routes: [], limits: LIMITS });
    gossips.get(reader?.host ?? '')?.broadcast();
    await clock.advance(50);
    const others = nodes.filter(
      ({ role, zone }) => zone === 'a' && !role.isReaderOf(Topic.Operator),
    );
    expect(others.length).toBe(2);
    others.forEach(({ configuration }) => expect(configuration.version).toBe(5));
  });

  it('should distribute a configuration to zones whose readers get no answer from the store', async () => {
    const clock = new ManualClock();
    const { storeUnreachable, nodes } = network(clock, TWO_ZONES);
    nodes.filter(({ zone }) => zone === 'b').forEach(({ host }) => storeUnreachable.add(host));
    nodes[0]?.configuration.activateIfNewer({ version: 5, routes: [], limits: LIMITS });
    await clock.advance(6_000);
    nodes.forEach(({ configuration }) => expect(configuration.version).toBe(5));
  });

  it('should not fetch a version again and again that its node does not have', async () => {
    const clock = new ManualClock();
    const { fetchCounts, gossips, nodes } = network(clock, TWO_ZONES);
    await clock.advance(2_000);
    nodes.forEach(({ configuration }) =>
      configuration.activateIfNewer({ version: 5, routes: [], limits: LIMITS }),
    );
    gossips.get('a3')?.receive('a4:1', {
      kind: GossipMessageKind.Status,
      readsStore: true,
      configurationVersion: 4_000_000_000,
      directoryDigest: 0,
      storeEra: 0,
      readAgesMs: { operator: 0, hosts: 0 },
      gateLoads: [],
    });
    await clock.advance(10_000);
    expect(fetchCounts.get('a3')).toBeLessThanOrEqual(1);
    expect(nodes.find(({ host }) => host === 'a3')?.status.newerVersion).toBeUndefined();
  });

  it('should distribute an announcement to all nodes', async () => {
    const clock = new ManualClock();
    const { nodes } = network(clock, TWO_ZONES);
    nodes[2]?.directory.merge({
      host: 'c1',
      zone: 'c',
      gateAddress: 'c1:2',
      peerAddress: 'c1:1',
      incarnation: 1,
      sequence: 1,
    });
    await clock.advance(8_000);
    nodes.forEach(({ directory }) => expect(directory.announcementOf('c1')).toBeDefined());
  });

  it('should tell all nodes of a zone within 600 ms that the store went back to an older copy', async () => {
    const clock = new ManualClock();
    const { nodes } = network(clock, TWO_ZONES);
    nodes.forEach(({ era }) => era.observe(1));
    await clock.advance(2_000);
    const reader = nodes.find(({ role, zone }) => zone === 'a' && role.isReaderOf(Topic.Operator));
    reader?.era.observe(2);
    await clock.advance(600);
    nodes.filter(({ zone }) => zone === 'a').forEach(({ era }) => expect(era.current).toBe(2));
  });

  it('should make one node read the store when no reader is heard', async () => {
    const clock = new ManualClock();
    const { disconnected, gossips, nodes } = network(clock, TWO_ZONES);
    await clock.advance(2_000);
    const readers = nodes.filter(
      ({ role, zone }) => zone === 'a' && role.isReaderOf(Topic.Operator),
    );
    const others = nodes.filter(
      ({ role, zone }) => zone === 'a' && !role.isReaderOf(Topic.Operator),
    );
    expect(readers.length).toBe(2);
    others.forEach(({ role }) => expect(role.shouldRead(Topic.Operator)).toBe(false));
    readers.forEach(({ host }) => disconnected.add(host));
    await clock.advance(2_500);
    const [newReader, ...rest] = others.filter(({ role }) => role.shouldRead(Topic.Operator));
    expect(newReader?.role.readsStore).toBe(true);
    expect(rest).toEqual([]);
    // The new reader distributes what it reads to the other nodes of the zone.
    newReader?.configuration.activateIfNewer({ version: 5, routes: [], limits: LIMITS });
    gossips.get(newReader?.host ?? '')?.broadcast();
    await clock.advance(50);
    others.forEach(({ configuration }) => expect(configuration.version).toBe(5));
  });

  it('should replace lost readers by exactly one node in a zone of 15 hosts', async () => {
    const clock = new ManualClock();
    const hosts = Array.from({ length: 15 }, (_, index) => [`a${index}`, 'a'] as const);
    const { disconnected, nodes } = network(clock, Object.fromEntries(hosts));
    await clock.advance(2_000);
    const readers = nodes.filter(({ role }) => role.isReaderOf(Topic.Operator));
    readers.forEach(({ host }) => disconnected.add(host));
    let activeReaderSamples = 0;
    for (let step = 0; step < 40; step += 1) {
      await clock.advance(250);
      activeReaderSamples += nodes.filter(
        ({ host, role }) => !disconnected.has(host) && role.shouldRead(Topic.Operator),
      ).length;
    }
    const remaining = nodes.filter(({ host, role }) => !disconnected.has(host) && role.readsStore);
    expect(remaining).toHaveLength(1);
    // One node on average over 40 samples in ten seconds, with a few more nodes at the start.
    expect(activeReaderSamples).toBeLessThan(2 * 40);
  });

  it('should make another node read the store when the readers get no answer from it', async () => {
    const clock = new ManualClock();
    const { storeUnreachable, nodes } = network(clock, TWO_ZONES);
    await clock.advance(2_000);
    const readers = nodes.filter(({ role }) => role.isReaderOf(Topic.Operator));
    readers.forEach(({ host }) => storeUnreachable.add(host));
    await clock.advance(4_000);
    // The readers keep trying, and in each zone one other node reads the store.
    readers.forEach(({ role }) => expect(role.shouldRead(Topic.Operator)).toBe(true));
    ['a', 'b'].forEach((zone) => {
      const activeReaders = nodes.filter(
        ({ role, ...node }) => node.zone === zone && role.readsStore,
      );
      expect(activeReaders).toHaveLength(1);
    });
  });

  it('should tell every node of a zone the load of every gate of it within two rounds', async () => {
    const clock = new ManualClock();
    const { receivedLoads } = network(clock, TWO_ZONES);
    await clock.advance(1_300);
    expect([...(receivedLoads.get('a1')?.keys() ?? [])]).toEqual(
      expect.arrayContaining(['a2', 'a3', 'a4']),
    );
  });

  it('should send fewer than 250 messages per node in ten seconds', async () => {
    const clock = new ManualClock();
    const { sentCounts } = network(clock, TWO_ZONES);
    await clock.advance(10_000);
    expect(sentCounts.size).toBe(7);
    sentCounts.forEach((count) => expect(count).toBeLessThan(250));
  });

  it('should tell a node of a zone of 100 hosts the loads of most gates within five seconds', async () => {
    const clock = new ManualClock();
    const hosts = Array.from({ length: 100 }, (_, index) => [`a${index}`, 'a'] as const);
    const { receivedLoads } = network(clock, Object.fromEntries(hosts));
    await clock.advance(5_000);
    expect(receivedLoads.get('a7')?.size).toBeGreaterThan(80);
  });

  it('should send fewer than 250 messages in ten seconds per node of a zone of 40, but for its readers', async () => {
    const clock = new ManualClock();
    const hosts = Array.from({ length: 40 }, (_, index) => [`a${index}`, 'a'] as const);
    const { nodes, sentCounts } = network(clock, Object.fromEntries(hosts));
    await clock.advance(10_000);
    nodes
      .filter(({ role }) => !role.isReaderOf(Topic.Operator))
      .forEach(({ host }) => expect(sentCounts.get(host)).toBeLessThan(250));
  });
});

describe('readers of the store', () => {
  it('should not be hosts whose backend server leaves, because they are about to be removed', () => {
    const clock = new ManualClock();
    const directory = new Directory();
    ['a', 'b', 'c'].forEach((host, index) =>
      directory.merge({
        host,
        zone: 'z',
        gateAddress: `${host}:2`,
        peerAddress: `${host}:1`,
        linkMegabits: 100 - index,
        incarnation: 1,
        sequence: 1,
        backendServer: {
          id: host,
          startedAtMs: 1,
          service: 's',
          slots: 1,
          state: host === 'a' ? 'leaving' : 'ready',
        },
      }),
    );
    const role = new StoreReaderRole({ clock, directory }, { host: 'a', zone: 'z' });
    expect(['a', 'b', 'c'].filter((host) => role.isReaderOf(Topic.Operator, host))).toEqual([
      'b',
      'c',
    ]);
  });

  it('should be the nodes with the widest links of their zone', () => {
    const clock = new ManualClock();
    const links: Readonly<Record<string, number | undefined>> = {
      a: 5,
      b: 70,
      c: undefined,
      d: 70,
    };
    const directory = new Directory();
    Object.entries(links).forEach(([host, linkMegabits]) =>
      directory.merge({
        host,
        zone: 'z',
        gateAddress: `${host}:2`,
        peerAddress: `${host}:1`,
        linkMegabits,
        incarnation: 1,
        sequence: 1,
      }),
    );
    const readers = Object.keys(links).filter((host) =>
      new StoreReaderRole({ clock, directory }, { host, zone: 'z' }).isReaderOf(Topic.Operator),
    );
    expect(readers).toEqual(['b', 'd']);
  });

  it('should have time to send a message to a node that has just started', async () => {
    const clock = new ManualClock();
    const { nodes } = network(clock, TWO_ZONES);
    const other = nodes.find(({ role, zone }) => zone === 'a' && !role.isReaderOf(Topic.Operator));
    expect(other?.role.shouldRead(Topic.Operator)).toBe(false);
    await clock.advance(5_000);
    expect(other?.role.shouldRead(Topic.Operator)).toBe(false);
  });

  it('should be one node of each zone for the hosts, until it is lost', async () => {
    const clock = new ManualClock();
    const { disconnected, nodes } = network(clock, TWO_ZONES);
    await clock.advance(2_000);
    const readers = nodes.filter(({ role }) => role.shouldRead(Topic.Hosts));
    expect(readers.map(({ zone }) => zone).sort()).toEqual(['a', 'b']);
    readers.forEach(({ host }) => disconnected.add(host));
    await clock.advance(2_500);
    const others = nodes.filter(
      ({ host, role }) => !disconnected.has(host) && role.shouldRead(Topic.Hosts),
    );
    expect(others.map(({ zone }) => zone).sort()).toEqual(['a', 'b']);
  });

  it('should include no node that is not announced yet while its zone has a reader', async () => {
    const clock = new ManualClock();
    const { nodes } = network(clock, TWO_ZONES);
    const directory = new Directory();
    nodes[0]?.directory.announcements.forEach((announcement) => directory.merge(announcement));
    const role = new StoreReaderRole({ clock, directory }, { host: 'new', zone: 'a' });
    expect([role.shouldRead(Topic.Operator), role.shouldRead(Topic.Hosts)]).toEqual([false, false]);
  });

  it('should leave the configuration to the first announced node while a whole fleet starts', async () => {
    const clock = new ManualClock();
    const directory = new Directory();
    const role = new StoreReaderRole({ clock, directory }, { host: 'new', zone: 'a' });
    expect([role.shouldRead(Topic.Operator), role.shouldRead(Topic.Hosts)]).toEqual([false, true]);
    await clock.advance(2_100);
    expect(role.shouldRead(Topic.Operator)).toBe(true);
  });
});
