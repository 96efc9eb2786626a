/** The configuration that decides where requests go, as a table of typed routes. */
import type { Repetition } from '../rules/ruleForms.js';

/** A service that receives a share of a route's requests. */
export interface Destination {
  readonly service: string;
  /** The share, relative to the other destinations of the route. */
  readonly weight: number;
}

/** Where the requests of one host name and path prefix go, and how they are treated. */
export interface MeshRoute {
  readonly name: string;
  readonly hostname: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly destinations: readonly Destination[];
  /** Whether a request may be sent again after it may have run. */
  readonly repetition: Repetition;
  /** How many backend servers may run one request. */
  readonly maxBackendServers: number;
  /** The longest a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** How soon an answer has its full value for the caller, in milliseconds. */
  readonly targetLatencyMs: number;
  /** The rank among other requests for the same slots; 0 is the most urgent. */
  readonly priority: number;
}

/** What callers may send, and how long they may take over it. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** How long a caller may take over the head of a request, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** How long a connection may be idle, in milliseconds. */
  readonly idleTimeoutMs: number;
}

/** One version of the configuration, complete. */
export interface MeshConfiguration {
  /** Rises from version to version, in uneven steps. */
  readonly version: number;
  readonly routes: readonly MeshRoute[];
  readonly limits: CallerLimits;
}
