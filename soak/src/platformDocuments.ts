/** Builds requests and the operator's configuration, and names the limits of the platform. */
import { GRACE_MS } from '@lentillb/standins';
import type { Profile } from './profiles.js';

/** The time limits that the platform specifies, in milliseconds. */
export const Bounds = {
  /** The time for which a host must be undisturbed before time limits apply to it. */
  undisturbedMs: 3_000,
  /** The maximum time from the acceptance of a version until it is in force. */
  propagationMs: 2_500,
  /** The maximum time for which an older version may be used after the first use of a newer one. */
  oldVersionMs: 250,
  /** The maximum time from a confirmed departure until the last request reaches the server. */
  drainMs: 2_500,
  /** The maximum time for which requests may reach a backend server after their caller left. */
  callerLeftMs: 500,
  /** The time after which all hosts must know of a statement, or of ends under a request. */
  statementMs: 500,
  contactMs: 3_000,
  /** The time in which the requests to a backend server with a limit are counted. */
  limitWindowMs: 2_000,
  /** How far they may exceed the limit, and by how many more. */
  limitFactor: 1.5,
  limitExtra: 5,
  /** The ends under one content from which on it may not be sent, and how many more may follow. */
  blockingEnds: 3,
  laterEnds: 3,
  /** The maximum duration of a planned stop. */
  graceMs: GRACE_MS,
  /** A run may be cut by a planned stop only if its request was sent by then, and not before the end. */
  stopSentMs: 3_000,
  stopCutMs: 5_000,
  /** How long before the deadline of a request its node may answer that it has passed. */
  deadlineMarginMs: 100,
  /** The share of the time of a request for which the soak test was blocked, from which it is not judged. */
  heldShare: 0.25,
  /** The maximum time from the end of all faults until every node has the current state. */
  recoveryMs: 6_000,
  /** The timeout of a route, where a deployment states no other. */
  routeTimeoutMs: 800,
} as const;

/** The names of the headers of requests and responses. */
export const Header = {
  requestId: 'x-attempt-id',
  deadlineMs: 'x-deadline-ms',
  seal: 'x-server-seal',
  limit: 'server-limit',
  leaving: 'server-leaving',
} as const;

/** The lengths that a request asks for, which its body carries after its identity. */
export interface RequestPlan {
  readonly bodyBytes: number;
  readonly answerBytes: number;
  readonly runMs: number;
}

/**
 * @param id - the identity of the request
 * @param plan - the lengths, if they are not left to the backend server
 * @returns the body of the request
 */
export function encodeBody(id: string, plan?: RequestPlan): string {
  if (plan === undefined) {
    return id;
  }
  const { answerBytes, bodyBytes, runMs } = plan;
  return [id, runMs, answerBytes, 'x'.repeat(bodyBytes)].join(' ');
}

/**
 * @param id - the identity of the request
 * @param answerBytes - the length of the answer, if it is longer than what it says
 * @returns the body of the answer
 */
export function answerBody(id: string, answerBytes = 0): string {
  return `ran ${id}`.padEnd(answerBytes);
}

/** The start of the body of requests that run long; the time in milliseconds follows. */
export const SLOW_PREFIX = 'slow-';
/** The timeout of the route for them, in milliseconds: beyond the end of a planned stop. */
export const SLOW_TIMEOUT_MS = 8_000;

/** The start of the body of requests under which backend servers end. */
export const CRASHING_PREFIX = 'crashing';

/** The topic that holds the operator's configuration. */
export const OPERATOR_TOPIC = 'keyed.op';
/** The key of the operator's configuration within its topic. */
export const CONFIGURATION_KEY = 'config';

/** The routes that the soak test sends requests to; each has its own host name. */
export const RouteName = {
  /** Idempotent: the node may send a request more than once. */
  Browse: 'browse',
  /** Not idempotent: a request must run once at most. */
  Lodge: 'lodge',
  /** Not idempotent: runs that last for seconds. */
  Slow: 'slow',
  /** Not idempotent; every version sends it to a different service than the version before. */
  Probe: 'probe',
  /** Not idempotent; to a service of its own, with long bodies. */
  Book: 'book',
} as const;
export type RouteName = (typeof RouteName)[keyof typeof RouteName];

/** A service that hosts run. */
export type Service = 'letters' | 'desk' | 'office';

/** A kind of requests. */
export interface RequestKind {
  readonly route: RouteName;
  /** The service of its route; by default, each version names another one. */
  readonly service?: Service;
  readonly timeoutMs: number;
}

/**
 * @param version - the number of a version, counted from 1
 * @returns the service to which this version routes probe requests
 */
export function probeServiceOf(version: number): Service {
  return version % 2 === 0 ? 'letters' : 'desk';
}

function route({ route: name, service, timeoutMs }: RequestKind, version: number): object {
  return {
    hostname: `${name}.example`,
    'path-prefix': '/',
    'route-type': name === RouteName.Browse ? 'idempotent' : 'non_idempotent',
    timeout: `${timeoutMs}ms`,
    'target-latency': '400ms',
    priority: 1,
    service: service ?? probeServiceOf(version),
    'max-attempts': 3,
  };
}

const slowKind: RequestKind = {
  route: RouteName.Slow,
  service: 'letters',
  timeoutMs: SLOW_TIMEOUT_MS,
};

/**
 * @param version - the number of a version, counted from 1
 * @param profile - the deployment: its services, kinds of requests and limits
 * @returns the operator's configuration, as JSON
 */
export function configurationDocument(version: number, profile: Profile): string {
  const { idleRoutes, kinds, limits, services } = profile;
  const routes = [...kinds, slowKind].map((kind) => [kind.route, route(kind, version)] as const);
  const idle = Array.from({ length: idleRoutes }, (_, index) => {
    const name = `idle-${index}`;
    return [name, { ...route(slowKind, version), hostname: `${name}.example` }] as const;
  });
  return JSON.stringify({
    version: version.toString(16).padStart(8, '0'),
    routes: Object.fromEntries([...routes, ...idle]),
    services: Object.fromEntries(services.map((service) => [service, {}])),
    limits: {
      'max-header-bytes': limits.headerBytes,
      'max-body-bytes': limits.bodyBytes,
      'header-timeout': '3s',
      'idle-timeout': '15s',
    },
  });
}
