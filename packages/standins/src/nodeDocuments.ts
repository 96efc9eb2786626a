/** Builds the documents that the platform and a backend server give to a node. */

/** The maximum duration of a planned stop, in milliseconds. */
export const GRACE_MS = 6_000;

/** The IP address of a host and the addresses that its node listens on. */
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
 * @param node - the zone and service of the node, and the addresses that it connects to
 * @returns the content of the settings file, as JSON
 */
export function settingsDocument(
  host: HostAddresses,
  node: {
    readonly zone: string;
    readonly service: string;
    readonly backendServer: string;
    readonly store: string;
    readonly memoryLimitMb: number;
  },
): string {
  return JSON.stringify({
    self: {
      ip: host.ip,
      zone: node.zone,
      service: node.service,
      'app-addr': node.backendServer,
      limits: Number.isFinite(node.memoryLimitMb) ? { 'memory-mb': node.memoryLimitMb } : undefined,
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
    platform: { platform: { address: node.store } },
    terms: {
      bounds: {
        grace: `${GRACE_MS}ms`,
        'retry-budget-ratio': 0.2,
        'budget-window': '10s',
        'retry-budget-extra': 62,
      },
    },
  });
}

/**
 * @param state - the fields of the backend server that differ
 * @returns the body of a heartbeat, as JSON
 */
export function heartbeatDocument(state: {
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly capacity: number;
  readonly state: 'ready' | 'draining';
  readonly sequence: number;
  readonly born: number;
}): string {
  return JSON.stringify({ ...state, version: 'v1', 'warmup-left': '0ms' });
}
