/** A fleet of whole nodes on a fake network: no sockets, and a clock that the test moves. */
import { MemoryLog } from '@lentillb/standins';
import type { Services } from 'lentillb';
import { Deadline, Kernel, LogStream, SeededRandomness } from 'lentillb';
import { encodeRecord } from 'lentillb/distribution/configurationRecord.js';
import { textOf } from 'lentillb/distribution/configurationState.js';
import { PeerListener } from 'lentillb/mesh/peerListener.js';
import { FakeNetwork } from './fakeNetwork.js';
import type { Station } from './fakeNetwork.js';
import { ManualClock } from './manualClock.js';
import { publishRecord } from './records.js';
import { silentLogger, testSettings } from './testNode.js';

/** How long the log of the fleet keeps records, in milliseconds. */
export const FLEET_RETENTION_MS = 10 * 60 * 1_000;

const APPENDS_PER_SECOND = 300;
const STEP_MS = 100;
const DRAIN_MS = 3_000;

/** A listener that listens nowhere. */
const noListener = {
  listen: async (): Promise<void> => undefined,
  port: 0,
  http: { leave: (): void => undefined, close: async (): Promise<void> => undefined },
};

/** A node of the fleet. */
export interface FleetNode extends Station {
  readonly kernel: Kernel;
  readonly services: Services;
}

/** What a fleet is made of. */
export interface TestFleetOptions {
  readonly zones: number;
  readonly nodesPerZone: number;
  /** How long a message takes between zones, in milliseconds. */
  readonly zoneDelayMs?: number;
}

/** Many nodes. */
export class TestFleet {
  readonly clock = new ManualClock();

  readonly log = new MemoryLog({
    clock: this.clock,
    retentionMs: FLEET_RETENTION_MS,
    appendsPerSecond: APPENDS_PER_SECOND,
  });

  readonly network: FakeNetwork;

  nodes: FleetNode[] = [];

  private starts = 0;

  private text = '';

  private version = 0;

  private constructor(zoneDelayMs: number) {
    this.network = new FakeNetwork(this.clock, (from, to) => (from === to ? 0.2 : zoneDelayMs));
  }

  /**
   * Starts a fleet and lets it settle.
   *
   * @param options - what it is made of
   * @returns the fleet, every node of which knows all others
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
    await fleet.until(() => fleet.everybodyKnowsAll(), 'every node to know all others');
    return fleet;
  }

  /** Starts a node; an earlier one of the same host must be gone. */
  async add({ host, zone, peers }: Station & { readonly peers?: string }): Promise<FleetNode> {
    this.starts += 1;
    const settings = testSettings({ host, zone, peers });
    const { kernel, services } = await this.createKernel(settings, this.starts);
    const node = { host, zone, kernel, services };
    this.nodes.push(node);
    await kernel.start();
    return node;
  }

  /** Ends a node without a word. */
  kill(host: string): void {
    this.network.kill(host);
    const node = this.find(host);
    this.nodes = this.nodes.filter((other) => other !== node);
    node.kernel.stop(0).catch(() => undefined);
  }

  /** Stops a node gracefully. */
  async stop(host: string): Promise<void> {
    const node = this.find(host);
    this.nodes = this.nodes.filter((other) => other !== node);
    const stopping = node.kernel.stop(DRAIN_MS);
    await this.until(() => this.settled(stopping), `${host} to stop`);
    this.network.kill(host);
  }

  /**
   * Appends a version to the log, as if an operator had published it.
   *
   * @param after - the new rules
   * @returns the version it will be
   */
  async append(after: string): Promise<number> {
    const record = publishRecord({ base: this.version, before: this.text, after });
    const deadline = Deadline.after(this.clock, STEP_MS);
    const appended = await this.log.append(LogStream.Configuration, encodeRecord(record), deadline);
    this.version = appended.unwrap();
    this.text = after;
    return this.version;
  }

  /**
   * Lets time pass until a condition holds.
   *
   * @param condition - what to wait for
   * @param what - its name, for the message
   * @param withinMs - how long it may take, in milliseconds of the clock
   * @returns how long it took, in milliseconds
   */
  async until(condition: () => boolean, what: string, withinMs = 60_000): Promise<number> {
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

  /** @returns whether every node enforces just what was appended last */
  inForceEverywhere(nodes: readonly FleetNode[] = this.nodes): boolean {
    return nodes.every(({ services }) => {
      const { state } = services.versionStore;
      return state?.version === this.version && textOf(state) === this.text;
    });
  }

  /** @returns whether every node has just the nodes of the fleet in view */
  everybodyKnowsAll(): boolean {
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
   * @param host - a host
   * @returns its node
   */
  find(host: string): FleetNode {
    const node = this.nodes.find((candidate) => candidate.host === host);
    if (node === undefined) {
      throw new Error(`no node on ${host}`);
    }
    return node;
  }

  private readonly done = new Set<Promise<void>>();

  private settled(promise: Promise<void>): boolean {
    promise.then(() => this.done.add(promise));
    return this.done.has(promise);
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
        callListener: noListener as unknown as Services['callListener'],
        gateListener: noListener as unknown as Services['gateListener'],
        localListener: noListener as unknown as Services['localListener'],
        adminListener: noListener as unknown as Services['adminListener'],
      },
    });
    return { kernel, services: kernel.services };
  }
}
