import { runInBackground } from 'lentillb/utils/background.js';
import { SeededRandomness } from 'lentillb';
import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import { Directory } from 'lentillb/directory/directory.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { Gossip } from 'lentillb/peers/gossip.js';
import type { GossipMessage } from 'lentillb/peers/gossipMessage.js';
import {
  decodeGossipMessage,
  encodeGossipMessage,
  GossipMessageKind,
} from 'lentillb/peers/gossipMessage.js';
import { ReaderRole } from 'lentillb/peers/readerRole.js';
import { Err, Ok } from 'ts-results-es';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

/** How often a reader has an answer of the store, in milliseconds. */
const READ_MS = 500;
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

class GossipNode {
  readonly directory = new Directory();

  readonly configuration = new ConfigurationHolder();

  readonly role: ReaderRole;

  constructor(
    clock: ManualClock,
    readonly host: string,
    readonly zone: string,
  ) {
    this.role = new ReaderRole({ clock, directory: this.directory }, { host, zone });
  }
}

/** Nodes that exchange greetings over a network in memory. */
function network(clock: ManualClock, zones: Readonly<Record<string, string>>) {
  const nodes = Object.entries(zones).map(([host, zone]) => new GossipNode(clock, host, zone));
  const byAddress = new Map(nodes.map((node) => [`${node.host}:1`, node]));
  const log = new DecisionLog(clock, { info: () => undefined, warn: () => undefined });
  const disconnected = new Set<string>();
  /** Hosts that the store does not answer. */
  const storeUnreachable = new Set<string>();
  const sent = new Map<string, number>();
  const gossips = new Map<string, Gossip>();
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
        directory: node.directory,
        role: node.role,
        log,
        transport: {
          send: (address, greeting: GossipMessage) => {
            sent.set(node.host, (sent.get(node.host) ?? 0) + 1);
            const other = byAddress.get(address);
            if (other !== undefined && !isDisconnected(other.host)) {
              clock.after(1, () => gossips.get(other.host)?.receive(`${node.host}:1`, greeting));
            }
          },
        },
        fetchState: (address, heldVersion) => {
          const other = byAddress.get(address);
          if (other === undefined || isDisconnected(other.host)) {
            return Promise.resolve(Err('not reached'));
          }
          const change = other.configuration.changeSince(heldVersion);
          return Promise.resolve(Ok({ change, announcements: other.directory.announcements }));
        },
      },
      { host: node.host, zone: node.zone },
      ({ announcements, change }) => {
        announcements.forEach((announcement) => node.directory.merge(announcement));
        if (change !== undefined) {
          node.configuration.advance(change);
        }
      },
    );
    gossips.set(node.host, gossip);
    runInBackground(gossip.run());
  });
  const readStore = async (): Promise<void> => {
    for (;;) {
      nodes
        .filter(({ role }) => role.shouldRead)
        .forEach(({ host, role }) => role.noteStoreResult('operator', !storeUnreachable.has(host)));
      await clock.sleep(READ_MS);
    }
  };
  runInBackground(readStore());
  return { storeUnreachable, disconnected, gossips, nodes, sent };
}

const TWO_ZONES = { a1: 'a', a2: 'a', a3: 'a', a4: 'a', b1: 'b', b2: 'b', b3: 'b' };

describe('greeting', () => {
  it('should be decoded as it was encoded', () => {
    const greeting: GossipMessage = {
      kind: GossipMessageKind.Ping,
      readsStore: true,
      configurationVersion: 4_000_000_000,
      directoryDigest: 7,
    };
    expect(decodeGossipMessage(encodeGossipMessage(greeting))).toEqual(greeting);
  });

  it.each([[Buffer.alloc(0)], [Buffer.alloc(10)], [Buffer.from('l123456789012')]])(
    'should not be read from %s',
    (bytes) => {
      expect(decodeGossipMessage(bytes)).toBeUndefined();
    },
  );
});

describe('gossip', () => {
  it('should bring a configuration to all nodes of the zone at once that only a reader read', async () => {
    const clock = new ManualClock();
    const { gossips, nodes } = network(clock, TWO_ZONES);
    await clock.advance(2_000);
    const reader = nodes.find(({ role, zone }) => zone === 'a' && role.isReader);
    reader?.configuration.offer({ version: 5, routes: [], limits: LIMITS });
    gossips.get(reader?.host ?? '')?.broadcast();
    await clock.advance(50);
    const others = nodes.filter(({ role, zone }) => zone === 'a' && !role.isReader);
    expect(others.length).toBe(2);
    others.forEach(({ configuration }) => expect(configuration.version).toBe(5));
  });

  it('should bring a configuration to zones whose readers the store does not answer', async () => {
    const clock = new ManualClock();
    const { storeUnreachable, nodes } = network(clock, TWO_ZONES);
    nodes.filter(({ zone }) => zone === 'b').forEach(({ host }) => storeUnreachable.add(host));
    nodes[0]?.configuration.offer({ version: 5, routes: [], limits: LIMITS });
    await clock.advance(6_000);
    nodes.forEach(({ configuration }) => expect(configuration.version).toBe(5));
  });

  it('should level announcements between nodes', async () => {
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
    nodes.forEach(({ directory }) => expect(directory.of('c1')).toBeDefined());
  });

  it('should make a node read the store that hears from no reader', async () => {
    const clock = new ManualClock();
    const { disconnected, gossips, nodes } = network(clock, TWO_ZONES);
    await clock.advance(2_000);
    const readers = nodes.filter(({ role, zone }) => zone === 'a' && role.isReader);
    const others = nodes.filter(({ role, zone }) => zone === 'a' && !role.isReader);
    expect(readers.length).toBe(2);
    others.forEach(({ role }) => expect(role.shouldRead).toBe(false));
    readers.forEach(({ host }) => disconnected.add(host));
    await clock.advance(2_500);
    const [next, ...rest] = others.filter(({ role }) => role.shouldRead);
    expect(next?.role.readsStore).toBe(true);
    expect(rest).toEqual([]);
    // It takes the readers' place: the others learn from it.
    next?.configuration.offer({ version: 5, routes: [], limits: LIMITS });
    gossips.get(next?.host ?? '')?.broadcast();
    await clock.advance(50);
    others.forEach(({ configuration }) => expect(configuration.version).toBe(5));
  });

  it('should let one node read in place of lost readers, in a zone of any size', async () => {
    const clock = new ManualClock();
    const hosts = Array.from({ length: 15 }, (_, index) => [`a${index}`, 'a'] as const);
    const { disconnected, nodes } = network(clock, Object.fromEntries(hosts));
    await clock.advance(2_000);
    const readers = nodes.filter(({ role }) => role.isReader);
    readers.forEach(({ host }) => disconnected.add(host));
    let activeReaderSamples = 0;
    for (let step = 0; step < 40; step += 1) {
      await clock.advance(250);
      activeReaderSamples += nodes.filter(
        ({ host, role }) => !disconnected.has(host) && role.shouldRead,
      ).length;
    }
    const remaining = nodes.filter(({ host, role }) => !disconnected.has(host) && role.readsStore);
    expect(remaining).toHaveLength(1);
    // Over ten seconds of quarters of a second, one node on the mean, and few more at the start.
    expect(activeReaderSamples).toBeLessThan(2 * 40);
  });

  it('should make a node read the store where the readers do not get it', async () => {
    const clock = new ManualClock();
    const { storeUnreachable, nodes } = network(clock, TWO_ZONES);
    await clock.advance(2_000);
    const readers = nodes.filter(({ role }) => role.isReader);
    readers.forEach(({ host }) => storeUnreachable.add(host));
    await clock.advance(4_000);
    // The readers go on trying; in each zone another node gets through to the store.
    readers.forEach(({ role }) => expect(role.shouldRead).toBe(true));
    ['a', 'b'].forEach((zone) => {
      const activeReaders = nodes.filter(
        ({ role, ...node }) => node.zone === zone && role.readsStore,
      );
      expect(activeReaders).toHaveLength(1);
    });
  });

  it('should keep what a node sends within a bound', async () => {
    const clock = new ManualClock();
    const { sent } = network(clock, TWO_ZONES);
    await clock.advance(10_000);
    expect(sent.size).toBe(7);
    sent.forEach((count) => expect(count).toBeLessThan(250));
  });
});

describe('readers of the store', () => {
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
    const readers = Object.keys(links).filter(
      (host) => new ReaderRole({ clock, directory }, { host, zone: 'z' }).isReader,
    );
    expect(readers).toEqual(['b', 'd']);
  });

  it('should be given time to greet a node that has just started', async () => {
    const clock = new ManualClock();
    const { nodes } = network(clock, TWO_ZONES);
    const other = nodes.find(({ role, zone }) => zone === 'a' && !role.isReader);
    expect(other?.role.shouldRead).toBe(false);
    await clock.advance(5_000);
    expect(other?.role.shouldRead).toBe(false);
  });
});
