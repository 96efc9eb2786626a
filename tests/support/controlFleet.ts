/* eslint-disable max-classes-per-file -- the nodes and the fleet that they run in refer to each other */
/** Runs the control part of several nodes in simulated time, with faults of their connections. */
import { SeededRandomness } from 'lentillb';
import type { Clock, Deadline } from 'lentillb';
import type { Announcement } from 'lentillb/directory/announcement.js';
import { encodeAnnouncement } from 'lentillb/directory/announcement.js';
import { EventClock } from 'lentillb/emulation/eventClock.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { Gossip } from 'lentillb/peers/gossip.js';
import { decodeGossipMessage, encodeGossipMessage } from 'lentillb/peers/gossipMessage.js';
import type { NodeState } from 'lentillb/peers/nodeState.js';
import type { StateRequest } from 'lentillb/peers/stateClient.js';
import { MeshState } from 'lentillb/sidecar/meshState.js';
import type { KeyedBatch, KeyedStore, StoreFailure } from 'lentillb/store/keyedStore.js';
import { StoreFailureKind, Topic } from 'lentillb/store/keyedStore.js';
import { StoreEraTracker } from 'lentillb/store/storeEraTracker.js';
import { runInBackground } from 'lentillb/utils/background.js';
import type { TransferProgress } from 'lentillb/utils/transferProgress.js';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { MemoryKeyedStore } from './memoryKeyedStore.js';
import { carry, Link } from './sharedLinks.js';

const CONFIGURATION_KEY = 'config';
/** The port of the first node; those of the others follow. */
const FIRST_PORT = 7_001;
const DATAGRAM_MS = 1;
const TRANSFER_MS = 6;
/** The time after which a transfer from a node that does not answer is given up, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 2_000;
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

/** The size of a record with a configuration of 1,600 routes, in bytes. */
export const CONFIGURATION_BYTES = 400_000;
/** The size of a record of a host, in bytes. */
const HOST_RECORD_BYTES = 250;
/** The store sends the newest records of a topic in base64. */
const BASE64_FACTOR = 4 / 3;
/** The size of a whole configuration, and of a change of it, as a node sends them to another, in bytes. */
const WHOLE_STATE_BYTES = 30_000;
const CHANGE_BYTES = 1_000;
/** The size that each host adds to the state of a node, compressed, in bytes. */
const HOST_STATE_BYTES = 60;
/** The size of an answer without content, in bytes. */
const HEAD_BYTES = 150;

/** The faults of one node. */
export const ControlFault = {
  /** Its calls to the store get no answer; other nodes reach it. */
  Deaf: 'deaf',
  /** The store refuses its calls; other nodes reach it. */
  Refused: 'refused',
  /** Neither the store nor other nodes hear from it, and it hears nothing. */
  Silent: 'silent',
} as const;
export type ControlFault = (typeof ControlFault)[keyof typeof ControlFault];

/** Passes calls to a store, unless the node that makes them has a fault. */
class FaultyStore implements KeyedStore {
  constructor(
    private readonly clock: Clock,
    private readonly store: KeyedStore,
    private readonly node: {
      readonly link: Link;
      readonly fault: () => ControlFault | undefined;
      readonly onRefused: () => void;
    },
  ) {}

  async readNewest(
    topic: Topic,
    deadline: Deadline,
    progress?: TransferProgress,
  ): Promise<Result<KeyedBatch, StoreFailure>> {
    const read = await this.call(deadline, () => this.store.readNewest(topic, deadline));
    return this.receive(topic, read, BASE64_FACTOR, progress);
  }

  async follow(
    topic: Topic,
    from: number,
    waitMs: number,
    deadline: Deadline,
    progress?: TransferProgress,
  ): Promise<Result<KeyedBatch, StoreFailure>> {
    const read = await this.call(deadline, () => this.store.follow(topic, from, waitMs, deadline));
    return this.receive(topic, read, 1, progress);
  }

  write(...call: Parameters<KeyedStore['write']>): ReturnType<KeyedStore['write']> {
    return this.call(call[3], () => this.store.write(...call));
  }

  /** Carries an answer over the link of the node. */
  private async receive(
    topic: Topic,
    read: Result<KeyedBatch, StoreFailure>,
    factor: number,
    progress: TransferProgress | undefined,
  ): Promise<Result<KeyedBatch, StoreFailure>> {
    if (read.isErr()) {
      return read;
    }
    const recordBytes = topic === Topic.Operator ? CONFIGURATION_BYTES : HOST_RECORD_BYTES;
    const bytes = HEAD_BYTES + read.value.records.length * recordBytes * factor;
    return (await carry(this.clock, bytes, [this.node.link], progress))
      ? read
      : Err({ kind: StoreFailureKind.Unknown, message: 'cancelled' });
  }

  private async call<Value>(
    deadline: Deadline,
    send: () => Promise<Result<Value, StoreFailure>>,
  ): Promise<Result<Value, StoreFailure>> {
    if (this.node.fault() === ControlFault.Refused) {
      this.node.onRefused();
      return Err({ kind: StoreFailureKind.NotExecuted, message: 'refused' });
    }
    const timeout: Promise<Result<Value, StoreFailure>> = this.clock
      .sleep(deadline.remainingMs())
      .then(() => Err({ kind: StoreFailureKind.Unknown, message: 'timed out' }));
    const answer = await Promise.race([send(), timeout]);
    return this.node.fault() === undefined ? answer : timeout;
  }
}

/** The control part of a node. */
export class ControlNode {
  readonly state: MeshState;

  readonly gossip: Gossip;

  /** The address and port at which the node answers other nodes. */
  readonly peerAddress: string;

  fault: ControlFault | undefined;

  readonly link: Link;

  /** The lines that the node logged. */
  readonly lines: Readonly<Record<string, unknown>>[] = [];

  constructor(
    private readonly fleet: ControlFleet,
    readonly host: string,
    readonly zone: string,
    {
      linkMegabits,
      peerAddress,
      seed,
    }: {
      readonly linkMegabits: number;
      readonly peerAddress: string;
      readonly seed: number;
    },
  ) {
    this.peerAddress = peerAddress;
    this.link = new Link(linkMegabits);
    const { clock } = fleet;
    const randomness = new SeededRandomness(seed);
    const write = (line: object): void => {
      this.lines.push({ ...line, atMs: clock.monotonicMs() });
    };
    const log = new DecisionLog(clock, { info: write, warn: write });
    const era = new StoreEraTracker();
    this.state = new MeshState(
      {
        clock,
        randomness,
        store: new FaultyStore(clock, fleet.store, {
          link: this.link,
          fault: () => this.fault,
          onRefused: () => fleet.countRefusal(),
        }),
        era,
        log,
      },
      {
        host,
        zone,
        configurationKey: CONFIGURATION_KEY,
        decodeConfiguration: (bytes) => {
          const version = Number(Buffer.from(bytes).toString('utf8'));
          return Number.isInteger(version)
            ? Ok({ version, routes: [], limits: LIMITS })
            : Err('not a version');
        },
      },
      {
        askPeers: () => this.gossip.learnFromPeers(),
        onHostsLoaded: () => undefined,
        onStoreRead: () => this.gossip.broadcast(),
        onOwnRecord: () => undefined,
      },
    );
    const { configuration, directory, role, status } = this.state;
    this.gossip = new Gossip(
      {
        clock,
        randomness,
        configuration,
        status,
        directory,
        role,
        era,
        log,
        gateLoad: () => undefined,
        transport: { send: (to, message) => fleet.deliver(this, to, message) },
        fetchState: (from, heldVersion, request) =>
          fleet.transfer(this, from, heldVersion, request),
      },
      { host, zone },
      { onState: (state) => this.state.acceptState(state), onGateLoad: () => undefined },
    );
  }

  start(): void {
    runInBackground(this.gossip.run());
    this.state.start();
  }

  stop(): void {
    this.gossip.stop();
    this.state.stop();
  }
}

/** The nodes, their network and the store. */
export class ControlFleet {
  readonly clock = new EventClock();

  readonly store = new MemoryKeyedStore(this.clock);

  readonly nodes: readonly ControlNode[];

  /** The number of calls that the store refused. */
  refusedCalls = 0;

  private nowMs = 0;

  /**
   * @param zones - the availability zone of each host
   * @param seed - the seed of all random choices
   * @param linkMegabits - the bandwidth of the link of each host in megabits per second
   */
  constructor(
    zones: Readonly<Record<string, string>>,
    seed = 1,
    private readonly linkMegabits: Readonly<Record<string, number>> = {},
  ) {
    this.nodes = Object.entries(zones).map(
      ([host, zone], index) =>
        new ControlNode(this, host, zone, {
          linkMegabits: linkMegabits[host] ?? Infinity,
          peerAddress: `127.0.0.1:${FIRST_PORT + index}`,
          seed: seed * 100 + index,
        }),
    );
  }

  /** Starts all nodes; their hosts are announced in the store. */
  async start(): Promise<void> {
    this.nodes.forEach(({ host, zone }) => this.announce(host, zone, this.linkMegabits[host]));
    await this.advance(100);
    this.nodes.forEach((node) => node.start());
  }

  /**
   * Writes the announcement of a host to the store.
   *
   * @param host - the host
   * @param zone - its availability zone
   * @param linkMegabits - the bandwidth of its link in megabits per second
   */
  announce(host: string, zone: string, linkMegabits = 1): void {
    const announcement: Announcement = {
      host,
      zone,
      gateAddress: '127.0.0.1:2',
      peerAddress: this.nodeOf(host)?.peerAddress ?? '127.0.0.1:1',
      linkMegabits,
      incarnation: 1,
      sequence: 1,
    };
    const value = Buffer.from(encodeAnnouncement(announcement));
    runInBackground(this.store.write(Topic.Hosts, host, value));
  }

  /** @param value - the value of the configuration record: a version, or anything else */
  publish(value: string): void {
    runInBackground(this.store.write(Topic.Operator, CONFIGURATION_KEY, Buffer.from(value)));
  }

  /**
   * Publishes versions in a row, and measures when each is in force.
   *
   * @param versions - the versions, in the order of their publication
   * @param gapMs - the time between two of them, in milliseconds
   * @param limitMs - how long to wait for the last one at most, in milliseconds
   * @returns the longest time from the confirmation of a version until a node had it or a later one,
   *   in milliseconds, by host
   */
  async measureSeries(
    versions: readonly number[],
    gapMs: number,
    limitMs: number,
  ): Promise<Readonly<Record<string, number>>> {
    const longest: Record<string, number> = {};
    const pending = new Map<number, number>();
    const held = new Map(this.nodes.map(({ host, state }) => [host, state.configuration.version]));
    versions.forEach((version, index) => {
      this.clock.after(index * gapMs, () => {
        this.publish(`${version}`);
        pending.set(version, this.clock.monotonicMs() + this.store.callMs);
      });
    });
    const endMs = this.nowMs + versions.length * gapMs + limitMs;
    while (this.nowMs < endMs) {
      await this.advance(10);
      this.nodes.forEach(({ host, state }) => {
        const before = held.get(host) ?? 0;
        pending.forEach((confirmedAtMs, version) => {
          if (version > before) {
            longest[host] = Math.max(longest[host] ?? 0, this.nowMs - confirmedAtMs);
          }
        });
        held.set(host, state.configuration.version);
      });
    }
    return longest;
  }

  /** @param durationMs - how long to run the nodes, in milliseconds of simulated time */
  async advance(durationMs: number): Promise<void> {
    this.nowMs += durationMs;
    await this.clock.runUntil(this.nowMs);
  }

  /**
   * Gives a fault to nodes, or ends it.
   *
   * @param nodes - the nodes
   * @param fault - the fault from now on; undefined ends it
   */
  // eslint-disable-next-line class-methods-use-this -- the fleet is the interface of its tests
  setFault(nodes: readonly ControlNode[], fault: ControlFault | undefined): void {
    nodes.forEach((node) => {
      // eslint-disable-next-line no-param-reassign -- the nodes belong to the fleet
      node.fault = fault;
    });
  }

  /** The nodes of a zone that read the configuration for it. */
  readersOf(zone: string): readonly ControlNode[] {
    return this.nodes.filter(
      (node) => node.zone === zone && node.state.role.isReaderOf(Topic.Operator),
    );
  }

  /**
   * Publishes a version and measures when it is in force.
   *
   * @param version - the version
   * @param limitMs - how long to wait at most, in milliseconds
   * @returns the time until each node without a fault had it, in milliseconds, by host
   */
  async measure(version: number, limitMs: number): Promise<Readonly<Record<string, number>>> {
    const startMs = this.nowMs;
    const times: Record<string, number> = {};
    this.nodes
      .filter(({ fault }) => fault === undefined)
      .forEach(({ host }) => {
        times[host] = Infinity;
      });
    this.publish(`${version}`);
    while (this.nowMs < startMs + limitMs && Object.values(times).includes(Infinity)) {
      await this.advance(10);
      this.nodes
        .filter(
          ({ host, state }) => times[host] === Infinity && state.configuration.version >= version,
        )
        .forEach(({ host }) => {
          times[host] = this.nowMs - startMs;
        });
    }
    return times;
  }

  countRefusal(): void {
    this.refusedCalls += 1;
  }

  /** @returns the node of a host, if it has one */
  nodeOf(host: string): ControlNode | undefined {
    return this.nodes.find((node) => node.host === host);
  }

  async stop(): Promise<void> {
    this.nodes.forEach((node) => node.stop());
    await this.advance(15_000);
  }

  deliver(from: ControlNode, to: string, message: Parameters<Gossip['receive']>[1]): void {
    const received = decodeGossipMessage(encodeGossipMessage(message));
    this.clock.after(DATAGRAM_MS, () => {
      const receiver = this.nodeAt(to);
      if (receiver !== undefined && received !== undefined && this.isConnected(from, receiver)) {
        receiver.gossip.receive(from.peerAddress, received);
      }
    });
  }

  async transfer(
    to: ControlNode,
    from: string,
    heldVersion: number,
    { progress, withHosts = true }: StateRequest,
  ): Promise<Result<NodeState, string>> {
    await this.clock.sleep(TRANSFER_MS);
    const sender = this.nodeAt(from);
    if (sender === undefined || !this.isConnected(to, sender)) {
      await this.clock.sleep(TRANSFER_TIMEOUT_MS);
      return Err('timed out');
    }
    const { configuration, directory, position } = sender.state;
    const announcements = withHosts ? directory.announcements : [];
    const change = configuration.changeSince(heldVersion);
    const changeBytes = change?.baseVersion === 0 ? WHOLE_STATE_BYTES : CHANGE_BYTES;
    const bytes = HEAD_BYTES + (change ? changeBytes : 0) + HOST_STATE_BYTES * announcements.length;
    const arrived = await carry(this.clock, bytes, [to.link, sender.link], progress);
    return arrived ? Ok({ change, announcements, position }) : Err('cancelled');
  }

  private nodeAt(peerAddress: string): ControlNode | undefined {
    return this.nodes.find((node) => node.peerAddress === peerAddress);
  }

  // eslint-disable-next-line class-methods-use-this -- a helper of the methods above
  private isConnected(...nodes: readonly ControlNode[]): boolean {
    return nodes.every(({ fault }) => fault !== ControlFault.Silent);
  }
}
