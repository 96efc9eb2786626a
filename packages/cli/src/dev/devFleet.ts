/** A fleet in one process: an in-memory log, nodes in several zones, and backend servers. */
import { RunningNode } from '@lentillb/node';
import { LogServer, MemoryLog, SampleBackendServer } from '@lentillb/standins';
import type { Clock, GivenSettings } from 'lentillb';
import { readSettings, SystemClock } from 'lentillb';

/** The options of a development fleet. */
export interface DevFleetOptions {
  readonly zones: readonly string[];
  readonly nodesPerZone: number;
  /** The services; two backend servers are started for each. */
  readonly services: readonly string[];
  /** Settings of the first node, such as fixed ports. */
  readonly firstNode?: GivenSettings;
  readonly logLevel: string;
}

const RETENTION_MS = 60 * 60 * 1_000;
const APPENDS_PER_SECOND = 300;
const SLOTS_PER_SERVER = 12;
const READY_POLL_MS = 50;

const freePorts = { callPort: 0, gatePort: 0, peerPort: 0, adminPort: 0, localPort: 0 };

/** A fleet for development and tests. */
export class DevFleet {
  /** The nodes; the zones take turns. */
  readonly nodes: RunningNode[] = [];

  readonly backendServers: SampleBackendServer[] = [];

  /** The in-memory log, whose faults can be set. */
  readonly log: MemoryLog;

  private readonly clock: Clock = new SystemClock();

  private readonly logServer: LogServer;

  private constructor() {
    this.log = new MemoryLog({
      clock: this.clock,
      retentionMs: RETENTION_MS,
      appendsPerSecond: APPENDS_PER_SECOND,
    });
    this.logServer = new LogServer(this.log, this.clock);
  }

  /**
   * Starts a fleet. Returns once every node knows all nodes and backend servers.
   *
   * @param options - the zones, nodes and services of the fleet
   * @returns the running fleet
   */
  static async start(options: DevFleetOptions): Promise<DevFleet> {
    const fleet = new DevFleet();
    await fleet.logServer.listen();
    for (let index = 0; index < options.zones.length * options.nodesPerZone; index += 1) {
      await fleet.startNode(options, index);
    }
    await fleet.startBackendServers(options.services);
    await fleet.waitUntilComplete();
    return fleet;
  }

  /** Stops the backend servers and the nodes gracefully, then the log. */
  async stop(): Promise<void> {
    await Promise.all(this.backendServers.map((server) => server.stop()));
    await Promise.all(this.nodes.map((node) => node.stop()));
    await this.logServer.close();
  }

  private async startNode(options: DevFleetOptions, index: number): Promise<void> {
    const { zones, firstNode, logLevel } = options;
    const zone = zones[index % zones.length];
    const number = Math.floor(index / zones.length) + 1;
    const given = {
      ...freePorts,
      host: `${zone}-${number}`,
      zone,
      logUrl: this.logServer.url,
      logLevel,
      ...(index === 0 ? firstNode : {}),
    };
    const settings = readSettings(given, {});
    if (settings.isErr()) {
      throw new Error(settings.error.map(({ message }) => message).join('\n'));
    }
    this.nodes.push(await RunningNode.start(settings.value));
  }

  /** Starts two backend servers for each service, distributed over the nodes in turn. */
  private async startBackendServers(services: readonly string[]): Promise<void> {
    for (const [index, service] of [...services, ...services].entries()) {
      const node = this.nodes[index % this.nodes.length];
      const server = new SampleBackendServer({
        clock: this.clock,
        id: `${service}-${index < services.length ? 1 : 2}`,
        service,
        slots: SLOTS_PER_SERVER,
        localPort: node?.ports.localPort ?? 0,
      });
      await server.start();
      this.backendServers.push(server);
    }
  }

  private async waitUntilComplete(): Promise<void> {
    const isComplete = (): boolean =>
      this.nodes.every(({ services }) => {
        const hosts = services.fleet.present();
        const servers = hosts.flatMap(({ backendServers }) => backendServers);
        const { ready } = services.readiness;
        return (
          ready &&
          hosts.length === this.nodes.length &&
          servers.length === this.backendServers.length
        );
      });
    while (!isComplete()) {
      await this.clock.sleep(READY_POLL_MS);
    }
  }
}
