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
import { MeshState } from 'lentillb/sidecar/meshState.js';
import type { KeyedBatch, KeyedStore, StoreFailure } from 'lentillb/store/keyedStore.js';
import { StoreFailureKind, Topic } from 'lentillb/store/keyedStore.js';
import { StoreEraTracker } from 'lentillb/store/storeEraTracker.js';
import { runInBackground } from 'lentillb/utils/background.js';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { MemoryKeyedStore } from './memoryKeyedStore.js';

const CONFIGURATION_KEY = 'config';
/** The port of the first node; those of the others follow. */
const FIRST_PORT = 7_001;
const DATAGRAM_MS = 1;
const TRANSFER_MS = 6;
/** The time after which a transfer from a node that does not answer is given up, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 2_000;
const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

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
    private readonly fault: () => ControlFault | undefined,
    private readonly onRefused: () => void,
  ) {}

  readNewest(topic: Topic, deadline: Deadline): Promise<Result<KeyedBatch, StoreFailure>> {
    return this.call(deadline, () => this.store.readNewest(topic, deadline));
  }

  follow(
    topic: Topic,
    from: number,
    waitMs: number,
    deadline: Deadline,
  ): Promise<Result<KeyedBatch, StoreFailure>> {
    return this.call(deadline, () => this.store.follow(topic, from, waitMs, deadline));
  }

  write(...call: Parameters<KeyedStore['write']>): ReturnType<KeyedStore['write']> {
    return this.call(call[3], () => this.store.write(...call));
  }

  private async call<Value>(
    deadline: Deadline,
    send: () => Promise<Result<Value, StoreFailure>>,
  ): Promise<Result<Value, StoreFailure>> {
    if (this.fault() === ControlFault.Refused) {
      this.onRefused();
      return Err({ kind: StoreFailureKind.NotExecuted, message: 'refused' });
    }
    const timeout: Promise<Result<Value, StoreFailure>> = this.clock
      .sleep(deadline.remainingMs())
      .then(() => Err({ kind: StoreFailureKind.Unknown, message: 'timed out' }));
    const answer = await Promise.race([send(), timeout]);
    return this.fault() === undefined ? answer : timeout;
  }
}

/** The control part of a node. */
export class ControlNode {
  readonly state: MeshState;

  readonly gossip: Gossip;

  /** The address and port at which the node answers other nodes. */
  readonly peerAddress: string;

  fault: ControlFault | undefined;

  /** The lines that the node logged. */
  readonly lines: Readonly<Record<string, unknown>>[] = [];

  constructor(
    private readonly fleet: ControlFleet,
    readonly host: string,
    readonly zone: string,
    { peerAddress, seed }: { readonly peerAddress: string; readonly seed: number },
  ) {
    this.peerAddress = peerAddress;
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
        store: new FaultyStore(
          clock,
          fleet.store,
          () => this.fault,
          () => fleet.countRefusal(),
        ),
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
        fetchState: (from, heldVersion) => fleet.transfer(this, from, heldVersion),
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
   */
  constructor(zones: Readonly<Record<string, string>>, seed = 1) {
    this.nodes = Object.entries(zones).map(
      ([host, zone], index) =>
        new ControlNode(this, host, zone, {
          peerAddress: `127.0.0.1:${FIRST_PORT + index}`,
          seed: seed * 100 + index,
        }),
    );
  }

  /** Starts all nodes; their hosts are announced in the store. */
  async start(): Promise<void> {
    this.nodes.forEach(({ host, zone }) => this.announce(host, zone));
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
  ): Promise<Result<NodeState, string>> {
    await this.clock.sleep(TRANSFER_MS);
    const sender = this.nodeAt(from);
    if (sender === undefined || !this.isConnected(to, sender)) {
      await this.clock.sleep(TRANSFER_TIMEOUT_MS);
      return Err('timed out');
    }
    const { configuration, directory } = sender.state;
    const { announcements } = directory;
    return Ok({ change: configuration.changeSince(heldVersion), announcements });
  }

  private nodeAt(peerAddress: string): ControlNode | undefined {
    return this.nodes.find((node) => node.peerAddress === peerAddress);
  }

  // eslint-disable-next-line class-methods-use-this -- a helper of the methods above
  private isConnected(...nodes: readonly ControlNode[]): boolean {
    return nodes.every(({ fault }) => fault !== ControlFault.Silent);
  }
}
