/** A few nodes in one process, with a store and backend servers on loopback. */
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { request as openRequest } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { CONFIGURATION_KEY, decodeConfiguration, LogStore, wireHeaders } from '@lentillb/platform';
import { KeyedLogServer, ScriptedBackendServer } from '@lentillb/standins';
import { SeededRandomness, SystemClock } from 'lentillb';
import type { Heartbeat } from 'lentillb/serving/localBackendServer.js';
import { Sidecar } from 'lentillb/sidecar/index.js';
import { freeAddress } from './freeAddress.js';

const TARGET_MS = 400;
const TIMEOUT_MS = 1_500;

/** What a caller was told. */
export interface Told {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

/** One host of the fleet. */
export interface FleetHost {
  readonly name: string;
  readonly sidecar: Sidecar;
  readonly callerAddress: string;
  readonly service: string;
  readonly backendServer: ScriptedBackendServer;
  readonly heartbeat: Heartbeat;
  readonly log: object[];
}

function routeOf(service: string, routeType: string): object {
  return {
    hostname: `${service}.example`,
    'path-prefix': '/',
    'route-type': routeType,
    timeout: `${TIMEOUT_MS}ms`,
    'target-latency': `${TARGET_MS}ms`,
    priority: 1,
    service,
    'max-attempts': 2,
  };
}

/** Nodes, a store, backend servers and an operator. */
export class SidecarFleet {
  readonly store = new KeyedLogServer();

  readonly hosts: FleetHost[] = [];

  readonly clock = new SystemClock();

  private version = 0;

  private requests = 0;

  async start(): Promise<void> {
    await this.store.listen();
  }

  /** Writes a configuration with a repeatable service `pages` and one, `letters`, that is not. */
  publish(extraRoutes: Readonly<Record<string, object>> = {}): number {
    this.version += 3;
    const configuration = {
      version: this.version.toString(16).padStart(8, '0'),
      routes: {
        pages: routeOf('pages', 'idempotent'),
        letters: routeOf('letters', 'non_idempotent'),
        ...extraRoutes,
      },
      limits: {
        'max-header-bytes': 16_384,
        'max-body-bytes': 100_000,
        'header-timeout': '3s',
        'idle-timeout': '15s',
      },
    };
    this.store.write('keyed.op', CONFIGURATION_KEY, JSON.stringify(configuration));
    return this.version;
  }

  /** Adds a host; its backend server has announced itself unless told otherwise. */
  async addHost(name: string, service: string, announce = true): Promise<FleetHost> {
    const backendServer = new ScriptedBackendServer(`i-${name}`);
    await backendServer.listen();
    const [callerAddress, gateAddress, peerAddress] = await Promise.all([
      freeAddress(),
      freeAddress(),
      freeAddress(),
    ]);
    const log: object[] = [];
    const logger = {
      info: (fields: object) => log.push(fields),
      warn: (fields: object) => log.push(fields),
    };
    const sidecar = new Sidecar(
      {
        clock: this.clock,
        logger,
        randomness: new SeededRandomness(this.hosts.length + 1),
        store: new LogStore(this.clock, this.store.address),
      },
      {
        identity: { host: name, zone: 'a', gateAddress, peerAddress },
        callerAddress,
        backendServerAddress: backendServer.address,
        service,
        names: wireHeaders,
        retryTerms: { ratio: 0.2, extra: 60, windowMs: 10_000 },
        stopMs: 6_000,
        configurationKey: CONFIGURATION_KEY,
        decodeConfiguration,
      },
    );
    await sidecar.start();
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
    const host = { name, sidecar, callerAddress, service, backendServer, heartbeat, log };
    this.hosts.push(host);
    return host;
  }

  /** Waits until something holds, for at most the time. */
  async until(holds: () => boolean, timeoutMs = 5_000): Promise<void> {
    const endMs = this.clock.monotonicMs() + timeoutMs;
    while (!holds()) {
      if (this.clock.monotonicMs() > endMs) {
        throw new Error(`still not so after ${timeoutMs} ms: ${holds.toString()}`);
      }
      await this.clock.sleep(10);
    }
  }

  /** Waits until requests to a service are answered on a host. */
  async untilServed(host: FleetHost, service: string): Promise<void> {
    await this.until(() => host.sidecar.ready);
    for (let attempt = 0; attempt < 100; attempt += 1) {
      if ((await this.send(host, service).told).status === 200) {
        return;
      }
      await this.clock.sleep(50);
    }
    throw new Error(`no request to ${service} was served on ${host.name}`);
  }

  /** Sends a request as a caller on a host. */
  send(
    host: FleetHost,
    service: string,
    body = 'a letter',
  ): { told: Promise<Told>; leave: () => void } {
    this.requests += 1;
    const outgoing = openRequest({
      agent: false,
      ...parseAddress(host.callerAddress),
      method: 'POST',
      path: '/some/path?q=1',
      headers: {
        host: `${service}.example`,
        'x-attempt-id': `r-${this.requests}`,
        'x-deadline-ms': '1500',
        'x-caller-service': 'forged',
      },
    });
    const told = new Promise<Told>((resolve, reject) => {
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
    return { told, leave: () => outgoing.destroy() };
  }

  async close(): Promise<void> {
    await Promise.all(this.hosts.map(({ sidecar }) => sidecar.close()));
    await Promise.all(this.hosts.map(({ backendServer }) => backendServer.close()));
    await this.store.close();
  }
}
