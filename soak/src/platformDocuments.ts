/** What the platform, its operator and its backend servers write to a node. */

/** Bounds that the platform states, in milliseconds. */
export const Bounds = {
  /** How long nothing may disturb a machine before bounds hold for it. */
  contactMs: 3_000,
  /** From a version's acceptance until it is in force. */
  configurationMs: 2_500,
  /** How much later than a newer version an older one may still show. */
  rollbackSlackMs: 250,
  /** From a confirmed departure until nothing reaches the backend server. */
  drainMs: 2_500,
  /** From the moment a caller has left until none of its requests reaches a backend server. */
  absentMs: 500,
  /** How long a planned stop may take. */
  graceMs: 6_000,
  /** From the end of all trouble until everything is known everywhere again. */
  catchUpMs: 6_000,
} as const;

/** The headers of callers and backend servers. */
export const Header = {
  requestId: 'x-attempt-id',
  deadlineMs: 'x-deadline-ms',
  seal: 'x-server-seal',
} as const;

/** Where the operator's configuration is written. */
export const OPERATOR_TOPIC = 'keyed.op';
export const CONFIGURATION_KEY = 'config';

/** Requests that the soak sends; each has a host name of its own. */
export const RouteName = {
  /** May be repeated. */
  Browse: 'browse',
  /** Must run once at most. */
  Lodge: 'lodge',
  /** Goes to another service with every version. */
  Probe: 'probe',
} as const;
export type RouteName = (typeof RouteName)[keyof typeof RouteName];

/** The services of the soak's hosts. */
export const services = ['letters', 'desk'] as const;
export type Service = (typeof services)[number];

/** The addresses of one host. */
export interface HostAddresses {
  readonly ip: string;
  readonly inbound: string;
  readonly outbound: string;
  readonly ready: string;
  readonly control: string;
  readonly peerPort: number;
}

/**
 * @param host - the addresses of the host
 * @param place - its zone and service, and where its node reaches others
 * @returns the settings file of its node
 */
export function settingsDocument(
  host: HostAddresses,
  place: {
    readonly zone: string;
    readonly service: Service;
    readonly backendServer: string;
    readonly store: string;
  },
): string {
  return JSON.stringify({
    self: {
      ip: host.ip,
      zone: place.zone,
      service: place.service,
      'app-addr': place.backendServer,
    },
    network: {
      'listen-addrs': {
        inbound: host.inbound,
        outbound: host.outbound,
        ready: host.ready,
        'control-plane': host.control,
      },
      'port-range': [host.peerPort, host.peerPort],
    },
    platform: { platform: { address: place.store } },
    terms: {
      bounds: {
        grace: `${Bounds.graceMs}ms`,
        'retry-budget-ratio': 0.2,
        'budget-window': '10s',
        'retry-budget-extra': 62,
      },
    },
  });
}

/** The state of a backend server as its heartbeats say it. */
export interface BackendServerState {
  readonly service: Service;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  readonly sequence: number;
  readonly startedAt: Date;
}

/**
 * @param backendServer - a backend server
 * @returns the body of its heartbeat
 */
export function heartbeatDocument(backendServer: BackendServerState): string {
  const { address, sequence, service, slots, startedAt, state, zone } = backendServer;
  return JSON.stringify({
    service,
    address,
    zone,
    version: 'v1',
    capacity: slots,
    state,
    'warmup-left': '0ms',
    sequence,
    born: startedAt.getTime(),
  });
}

function route(name: RouteName, service: Service, timeoutMs: number): object {
  return {
    hostname: `${name}.example`,
    'path-prefix': '/',
    'route-type': name === RouteName.Browse ? 'idempotent' : 'non_idempotent',
    timeout: `${timeoutMs}ms`,
    'target-latency': '400ms',
    priority: 1,
    service,
    'max-attempts': 3,
  };
}

/**
 * @param version - the number of a version, from 1 on
 * @returns where that version sends probes
 */
export function probeServiceOf(version: number): Service {
  return version % 2 === 0 ? 'letters' : 'desk';
}

/**
 * @param version - the number of a version, from 1 on
 * @param timeoutMs - how long its requests may take, in milliseconds
 * @returns the operator's configuration
 */
export function configurationDocument(version: number, timeoutMs: number): string {
  return JSON.stringify({
    version: version.toString(16).padStart(8, '0'),
    routes: {
      [RouteName.Browse]: route(RouteName.Browse, 'letters', timeoutMs),
      [RouteName.Lodge]: route(RouteName.Lodge, 'desk', timeoutMs),
      [RouteName.Probe]: route(RouteName.Probe, probeServiceOf(version), timeoutMs),
    },
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 65_536,
      'header-timeout': '3s',
      'idle-timeout': '15s',
    },
  });
}
