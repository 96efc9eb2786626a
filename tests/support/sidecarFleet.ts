/** Runs several nodes in one process, with a store and backend servers on loopback. */
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { request as openRequest } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  decodeRolloutOrder,
  LogStore,
  wireHeaders,
} from '@lentillb/platform';
import { KeyedLogServer, ScriptedBackendServer } from '@lentillb/standins';
import { SeededRandomness, SystemClock } from 'lentillb';
import type { Heartbeat } from 'lentillb/serving/localBackendServer.js';
import { Sidecar } from 'lentillb/sidecar/index.js';
import type { SidecarOptions } from 'lentillb/sidecar/index.js';
import { freeAddress } from './freeAddress.js';

const TARGET_LATENCY_MS = 400;
const TIMEOUT_MS = 1_500;

/** The response that a caller received. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** The settings that differ between the nodes of a fleet. */
type NodeSetup = Pick<
  SidecarOptions,
  'identity' | 'callerAddress' | 'backendServerAddress' | 'service'
>;

/** The node and the backend server of one host. */
export interface FleetHost extends NodeSetup {
  readonly name: string;
  readonly sidecar: Sidecar;
  readonly backendServer: ScriptedBackendServer;
  readonly heartbeat: Heartbeat;
  readonly log: object[];
  /** The node's client of the store. */
  readonly storeClient: LogStore;
}

/**
 * Creates a route of the configuration to the service of the same name.
 *
 * @param service - the service
 * @param routeType - whether requests may be repeated, in the words of the platform
 * @param timeoutMs - the timeout of the route, in milliseconds
 * @returns the route
 */
export function createRoute(service: string, routeType: string, timeoutMs = TIMEOUT_MS): object {
  return {
    hostname: `${service}.example`,
    'path-prefix': '/',
    'route-type': routeType,
    timeout: `${timeoutMs}ms`,
    'target-latency': `${TARGET_LATENCY_MS}ms`,
    priority: 1,
    service,
    'max-attempts': 2,
  };
}

/** Manages the nodes, the store and the backend servers, and publishes configuration. */
export class SidecarFleet {
  readonly store = new KeyedLogServer();

  readonly hosts: FleetHost[] = [];

  readonly clock = new SystemClock();

  /** The address at which nodes that are added from now on reach the store; by default its own. */
  storeAddress: string | undefined;

  /** Further headers of all requests from now on. */
  callerHeaders: Readonly<Record<string, string>> = {};

  /** The bandwidth of the links of nodes that are added from now on, in megabits per second. */
  linkMegabits: number | undefined;

  /** The services that published configurations define. */
  private readonly services = new Set(['pages', 'letters']);

  private version = 0;

  private requestCount = 0;

  /** Starts the store. */
  async start(): Promise<void> {
    await this.store.listen();
  }

  /**
   * Writes a configuration with an idempotent route `pages` and a non-idempotent route `letters`.
   *
   * @param extraRoutes - additional routes by name
   * @param tenants - the customers by name, in the format of the platform; by default, no keys are needed
   * @returns the version of the configuration
   */
  publish(
    extraRoutes: Readonly<Record<string, object>> = {},
    tenants?: Readonly<Record<string, object>>,
  ): number {
    this.version += 3;
    const configuration = {
      version: this.version.toString(16).padStart(8, '0'),
      routes: {
        pages: createRoute('pages', 'idempotent'),
        letters: createRoute('letters', 'non_idempotent'),
        ...extraRoutes,
      },
      services: Object.fromEntries([...this.services].map((name) => [name, {}])),
      limits: {
        'max-header-bytes': 16_384,
        'max-body-bytes': 100_000,
        'header-timeout': '3s',
        'idle-timeout': '15s',
      },
      tenants,
    };
    this.store.write('keyed.op', CONFIGURATION_KEY, JSON.stringify(configuration));
    return this.version;
  }

  /**
   * Writes a configuration that has non-idempotent routes to further services.
   *
   * @param services - the services
   */
  publishServices(services: readonly string[]): void {
    services.forEach((name) => this.services.add(name));
    this.publish(
      Object.fromEntries(services.map((name) => [name, createRoute(name, 'non_idempotent')])),
    );
  }

  /**
   * Adds a host with a node and a backend server.
   *
   * @param name - the name of the host
   * @param service - the service of the backend server
   * @param announce - whether the backend server announces itself to the node
   * @returns the host
   */
  async addHost(name: string, service: string, announce = true): Promise<FleetHost> {
    const backendServer = new ScriptedBackendServer(`i-${name}`);
    await backendServer.listen();
    const [callerAddress, gateAddress, peerAddress] = await Promise.all([
      freeAddress(),
      freeAddress(),
      freeAddress(),
    ]);
    const { linkMegabits } = this;
    const identity = { host: name, zone: 'a', gateAddress, peerAddress, linkMegabits };
    const setup = { identity, callerAddress, backendServerAddress: backendServer.address, service };
    const log: object[] = [];
    const storeClient = this.createStoreClient();
    const sidecar = this.createSidecar(setup, log, storeClient);
    (await sidecar.start()).unwrap();
    const heartbeat: Heartbeat = {
      id: backendServer.id,
      service,
      address: backendServer.address,
      slots: 4,
      draining: false,
      warmupLeftMs: 0,
      sequence: 1,
      startedAtMs: 1_000,
    };
    if (announce) {
      await sidecar.acceptHeartbeat(heartbeat);
    }
    const host = { ...setup, name, sidecar, backendServer, heartbeat, log, storeClient };
    this.hosts.push(host);
    return host;
  }

  /**
   * Starts the node of a host again after its process has ended. Its backend server keeps running.
   *
   * @param host - the host, whose node must be closed
   * @returns the host with its new node
   */
  async restartNode(host: FleetHost): Promise<FleetHost> {
    const log: object[] = [];
    const storeClient = this.createStoreClient();
    const sidecar = this.createSidecar(host, log, storeClient);
    const restarted = { ...host, log, storeClient, sidecar };
    (await restarted.sidecar.start()).unwrap();
    this.hosts.splice(this.hosts.indexOf(host), 1, restarted);
    return restarted;
  }

  private createStoreClient(): LogStore {
    return new LogStore(this.clock, this.storeAddress ?? this.store.address);
  }

  private createSidecar(setup: NodeSetup, log: object[], store: LogStore): Sidecar {
    const logger = {
      info: (fields: object) => log.push(fields),
      warn: (fields: object) => log.push(fields),
    };
    return new Sidecar(
      {
        clock: this.clock,
        logger,
        randomness: new SeededRandomness(this.hosts.length + 1),
        store,
        statusStore: store,
      },
      {
        ...setup,
        headerNames: wireHeaders,
        retryTerms: { ratio: 0.2, extra: 60, windowMs: 10_000 },
        stopTimeoutMs: 6_000,
        configurationKey: CONFIGURATION_KEY,
        decodeConfiguration,
        rolloutTerms: { keyPrefix: 'rollout/', decodeOrder: decodeRolloutOrder },
      },
    );
  }

  /**
   * Waits until a condition holds.
   *
   * @param condition - the condition to wait for
   * @param timeoutMs - the longest time to wait, in milliseconds
   */
  async waitUntil(condition: () => boolean, timeoutMs = 5_000): Promise<void> {
    const endMs = this.clock.monotonicMs() + timeoutMs;
    while (!condition()) {
      if (this.clock.monotonicMs() > endMs) {
        throw new Error(`condition does not hold after ${timeoutMs} ms: ${condition.toString()}`);
      }
      await this.clock.sleep(10);
    }
  }

  /** Waits until the node on a host answers a request to a service with status 200. */
  async waitUntilServed(host: FleetHost, service: string): Promise<void> {
    await this.waitUntil(() => host.sidecar.ready);
    for (let attempt = 0; attempt < 100; attempt += 1) {
      if ((await this.send(host, service).answer).status === 200) {
        return;
      }
      await this.clock.sleep(50);
    }
    throw new Error(
      `no request to service ${service} was answered with status 200 on host ${host.name}`,
    );
  }

  /**
   * Sends a request as a caller on a host.
   *
   * @param host - the host
   * @param service - the service to send to
   * @param body - the body of the request
   * @param deadlineMs - how long the caller waits, in milliseconds
   * @returns the response, and a function that disconnects the caller
   */
  send(
    host: FleetHost,
    service: string,
    body = 'a letter',
    deadlineMs = TIMEOUT_MS,
  ): { answer: Promise<CallerResponse>; disconnect: () => void } {
    this.requestCount += 1;
    const outgoing = openRequest({
      agent: false,
      ...parseAddress(host.callerAddress),
      method: 'POST',
      path: '/some/path?q=1',
      headers: {
        host: `${service}.example`,
        'x-attempt-id': `r-${this.requestCount}`,
        'x-deadline-ms': `${deadlineMs}`,
        'x-caller-service': 'forged',
        ...this.callerHeaders,
      },
    });
    const answer = new Promise<CallerResponse>((resolve, reject) => {
      outgoing.on('error', reject);
      outgoing.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () =>
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(chunks).toString('utf8'),
          }),
        );
      });
      outgoing.end(body);
    });
    return { answer, disconnect: () => outgoing.destroy() };
  }

  /** Closes the nodes, then the backend servers and the store. */
  async close(): Promise<void> {
    await Promise.all(this.hosts.map(({ sidecar }) => sidecar.close()));
    await Promise.all(this.hosts.map(({ backendServer }) => backendServer.close()));
    await this.store.close();
  }
}
