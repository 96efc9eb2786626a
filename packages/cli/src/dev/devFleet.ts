/** A whole fleet in one process: the log's stand-in, nodes in several zones, backend servers. */
import { RunningNode } from '@lentillb/node';
import { LogServer, MemoryLog, SampleBackendServer } from '@lentillb/standins';
import type { Clock, GivenSettings } from 'lentillb';
import { readSettings, SystemClock } from 'lentillb';

/** What a fleet is made of. */
export interface DevFleetOptions {
  readonly zones: readonly string[];
  readonly nodesPerZone: number;
  /** A backend server of each service is started on every node in turn. */
  readonly services: readonly string[];
  /** Settings of the first node, to put it on known ports. */
  readonly firstNode?: GivenSettings;
  readonly logLevel: string;
}

const RETENTION_MS = 60 * 60 * 1_000;
const APPENDS_PER_SECOND = 300;
const SLOTS = 12;
const READY_POLL_MS = 50;

const freePorts = { callPort: 0, gatePort: 0, peerPort: 0, adminPort: 0, localPort: 0 };

/** A fleet for trying things out. */
export class DevFleet {
  readonly nodes: RunningNode[] = [];

  readonly backendServers: SampleBackendServer[] = [];

  /** The log's stand-in, to switch faults on. */
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
   * Starts a fleet.
   *
   * @param options - what it is made of
   * @returns the fleet, once every node knows all the others
   */
  static async start(options: DevFleetOptions): Promise<DevFleet> {
    const fleet = new DevFleet();
    await fleet.logServer.listen();
    for (let index = 0; index < options.zones.length * options.nodesPerZone; index += 1) {
      await fleet.startNode(options, index);
    }
    await fleet.startBackendServers(options.services);
    await fleet.settle();
    return fleet;
  }

  /** Stops everything gracefully. */
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

  /** Two backend servers of each service, on nodes of different zones. */
  private async startBackendServers(services: readonly string[]): Promise<void> {
    for (const [index, service] of [...services, ...services].entries()) {
      const node = this.nodes[index % this.nodes.length];
      const server = new SampleBackendServer({
        clock: this.clock,
        id: `${service}-${index < services.length ? 1 : 2}`,
        service,
        slots: SLOTS,
        localPort: node?.ports.localPort ?? 0,
      });
      await server.start();
      this.backendServers.push(server);
    }
  }

  private async settle(): Promise<void> {
    const complete = (): boolean =>
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
    while (!complete()) {
      await this.clock.sleep(READY_POLL_MS);
    }
  }
}
