/** Types of the configuration by which requests are routed. */
import type { Repetition } from '../rules/ruleForms.js';

/** A service that receives a share of a route's requests. */
export interface Destination {
  readonly service: string;
  /** The share, relative to the other destinations of the route. */
  readonly weight: number;
}

/** Defines where the requests of a host name and path prefix are sent, and how they are handled. */
export interface MeshRoute {
  readonly name: string;
  readonly hostname: string;
  /** The path prefix; begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly destinations: readonly Destination[];
  /** Whether a request may be sent again after it may have run. */
  readonly repetition: Repetition;
  /** The maximum number of backend servers that may run one request. */
  readonly maxBackendServers: number;
  /** The maximum time a caller waits for a response, in milliseconds. */
  readonly timeoutMs: number;
  /** The latency up to which a response has its full value for the caller, in milliseconds. */
  readonly targetLatencyMs: number;
  /** The rank among other requests for the same slots; 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key where the configuration defines customers; false by default. */
  readonly anonymous?: boolean | undefined;
}

/** A customer, whose callers authenticate with its keys. */
export interface Customer {
  readonly name: string;
  /** The keys that identify requests of the customer; they must not appear in logs. */
  readonly keys: readonly string[];
  /** The rank of its requests, compared before the priority of the route; 0 is the most urgent. */
  readonly priority: number;
  /** The requests per second that it may send over all hosts; 0 means no limit. */
  readonly ratePerSecond: number;
  /** The requests that it may send at once in addition to the rate. */
  readonly burst: number;
}

/** Limits the size of what callers may send, and the time they may take to send it. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** The maximum time a caller may take to send the head of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** The maximum time a connection may be idle, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** A complete version of the configuration. */
export interface MeshConfiguration {
  /** The version number; increases with every version, not necessarily by 1. */
  readonly version: number;
  readonly routes: readonly MeshRoute[];
  readonly limits: CallerLimits;
  /** The customers; undefined if callers need no keys. */
  readonly customers?: readonly Customer[] | undefined;
}
