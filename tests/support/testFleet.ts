/** Runs a fleet of complete nodes on a fake network, without sockets and on a manual clock. */
import { MemoryLog } from '@lentillb/standins';
import type { Services } from 'lentillb';
import { Deadline, Kernel, LogStream, SeededRandomness } from 'lentillb';
import { encodeRecord } from 'lentillb/distribution/configurationRecord.js';
import { textOf } from 'lentillb/distribution/configurationState.js';
import { PeerListener } from 'lentillb/mesh/peerListener.js';
import { FakeNetwork } from './fakeNetwork.js';
import type { NodeLocation } from './fakeNetwork.js';
import { ManualClock } from './manualClock.js';
import { createPublishRecord } from './configurationRecords.js';
import { silentLogger, testSettings } from './testNode.js';

/** The time for which the log of the fleet keeps records, in milliseconds. */
export const FLEET_RETENTION_MS = 10 * 60 * 1_000;

const MAX_APPENDS_PER_SECOND = 300;
const STEP_MS = 100;
const DRAIN_MS = 3_000;

/** A replacement for listeners that the tests do not use; listens on no port. */
const inactiveListener = {
  listen: async (): Promise<void> => undefined,
  port: 0,
  http: {
    startClosing: (): void => undefined,
    close: async (): Promise<void> => undefined,
  },
};

/** A node of the fleet and its services. */
export interface FleetNode extends NodeLocation {
  readonly kernel: Kernel;
  readonly services: Services;
}

export interface TestFleetOptions {
  readonly zones: number;
  readonly nodesPerZone: number;
  /** The delay of a message between zones, in milliseconds. */
  readonly zoneDelayMs?: number;
}

/** Manages the nodes of a fleet, their network and their log. */
export class TestFleet {
  readonly clock = new ManualClock();

  readonly log = new MemoryLog({
    clock: this.clock,
    retentionMs: FLEET_RETENTION_MS,
    appendsPerSecond: MAX_APPENDS_PER_SECOND,
  });

  readonly network: FakeNetwork;

  nodes: FleetNode[] = [];

  private startCount = 0;

  private rules = '';

  private version = 0;

  private constructor(zoneDelayMs: number) {
    this.network = new FakeNetwork(this.clock, (from, to) => (from === to ? 0.2 : zoneDelayMs));
  }

  /**
   * Starts a fleet and waits until every node knows all others.
   *
   * @param options - the size of the fleet and the delay between zones
   * @returns the fleet
   */
  static async start({
    zones,
    nodesPerZone,
    zoneDelayMs = 1.5,
  }: TestFleetOptions): Promise<TestFleet> {
    const fleet = new TestFleet(zoneDelayMs);
    for (let index = 0; index < zones * nodesPerZone; index += 1) {
      await fleet.add({ host: `host-${index}`, zone: `zone-${index % zones}` });
    }
    await fleet.waitUntil(() => fleet.everyNodeKnowsAll(), 'every node to know all others');
    return fleet;
  }

  /**
   * Starts a node. An earlier node on the same host must have been stopped or killed before.
   *
   * @param node - the host and zone of the node and, if given, the peers of its settings
   * @returns the started node
   */
  async add({ host, zone, peers }: NodeLocation & { readonly peers?: string }): Promise<FleetNode> {
    this.startCount += 1;
    const settings = testSettings({ host, zone, peers });
    const { kernel, services } = await this.createKernel(settings, this.startCount);
    const node = { host, zone, kernel, services };
    this.nodes.push(node);
    await kernel.start();
    return node;
  }

  /** Kills a node without notice to the other nodes. */
  kill(host: string): void {
    this.network.killHost(host);
    const node = this.findNode(host);
    this.nodes = this.nodes.filter((other) => other !== node);
    node.kernel.stop(0).catch(() => undefined);
  }

  /** Stops a node gracefully. */
  async stop(host: string): Promise<void> {
    const node = this.findNode(host);
    this.nodes = this.nodes.filter((other) => other !== node);
    const stopping = node.kernel.stop(DRAIN_MS);
    await this.waitUntil(() => this.isSettled(stopping), `${host} to stop`);
    this.network.killHost(host);
  }

  /**
   * Appends a version to the log, as a publication of an operator does.
   *
   * @param rules - the new rules
   * @returns the number of the new version
   */
  async append(rules: string): Promise<number> {
    const record = createPublishRecord({ base: this.version, before: this.rules, after: rules });
    const deadline = Deadline.after(this.clock, STEP_MS);
    const appended = await this.log.append(LogStream.Configuration, encodeRecord(record), deadline);
    this.version = appended.unwrap();
    this.rules = rules;
    return this.version;
  }

  /**
   * Advances the clock until a condition holds.
   *
   * @param condition - the condition to wait for
   * @param what - the description of the condition, for the error message
   * @param withinMs - the longest time to wait, in milliseconds of the manual clock
   * @returns the time waited, in milliseconds of the manual clock
   */
  async waitUntil(condition: () => boolean, what: string, withinMs = 60_000): Promise<number> {
    const startMs = this.clock.monotonicMs();
    while (!condition()) {
      const tookMs = this.clock.monotonicMs() - startMs;
      if (tookMs >= withinMs) {
        throw new Error(`still waiting after ${tookMs} ms for ${what}`);
      }
      await this.clock.advance(STEP_MS);
    }
    return this.clock.monotonicMs() - startMs;
  }

  /**
   * @param nodes - the nodes to check, all nodes of the fleet by default
   * @returns whether every node enforces exactly the version appended last
   */
  inForceEverywhere(nodes: readonly FleetNode[] = this.nodes): boolean {
    return nodes.every(({ services }) => {
      const { state } = services.versionStore;
      return state?.version === this.version && textOf(state) === this.rules;
    });
  }

  /** @returns whether every node knows exactly the nodes of the fleet */
  everyNodeKnowsAll(): boolean {
    const hosts = this.nodes
      .map(({ host }) => host)
      .sort()
      .join();
    return this.nodes.every(
      ({ services }) =>
        services.fleet
          .present()
          .map(({ host }) => host)
          .sort()
          .join() === hosts,
    );
  }

  /** @returns the nodes that read the log */
  readers(): readonly FleetNode[] {
    return this.nodes.filter(({ services }) => services.readerRole.held);
  }

  /**
   * @param host - the name of a host
   * @returns the node on that host
   */
  findNode(host: string): FleetNode {
    const node = this.nodes.find((candidate) => candidate.host === host);
    if (node === undefined) {
      throw new Error(`the fleet has no node on host ${host}`);
    }
    return node;
  }

  private readonly settledPromises = new Set<Promise<void>>();

  private isSettled(promise: Promise<void>): boolean {
    promise.then(() => this.settledPromises.add(promise));
    return this.settledPromises.has(promise);
  }

  private async createKernel(
    settings: ReturnType<typeof testSettings>,
    seed: number,
  ): Promise<{ kernel: Kernel; services: Services }> {
    const { host, zone } = settings;
    const listener = { created: undefined as PeerListener | undefined };
    const kernel: Kernel = await Kernel.create({
      clock: this.clock,
      logger: silentLogger,
      randomness: new SeededRandomness(seed),
      settings,
      replacements: {
        log: this.network.logFor(this.log, zone),
        peerDialer: this.network.dialerFor({ host, zone }),
        peerListener: {
          listen: async () => {
            const acceptor = new PeerListener(kernel.services);
            listener.created = acceptor;
            const incarnation = (): bigint => BigInt(kernel.services.identity.incarnation);
            const port = this.network.register({ host, zone, acceptor, incarnation });
            kernel.services.announcer.ports.peerPort = port;
          },
          close: async () => listener.created?.close(),
        } as Services['peerListener'],
        callListener: inactiveListener as unknown as Services['callListener'],
        gateListener: inactiveListener as unknown as Services['gateListener'],
        localListener: inactiveListener as unknown as Services['localListener'],
        adminListener: inactiveListener as unknown as Services['adminListener'],
      },
    });
    return { kernel, services: kernel.services };
  }
}
