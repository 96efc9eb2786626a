/** Describes the load of a gate as its node reports it to the other nodes of its availability zone. */

/** The mean service time of one route at a backend server. */
export interface RouteServiceTime {
  /** A hash of the route's name, which is shorter than the name. */
  readonly routeHash: number;
  readonly meanMs: number;
}

/** The load and the speed of one backend server. */
export interface GateLoad {
  /** The number of requests that run or wait at the gate. */
  readonly load: number;
  /** The recent share of requests that the backend server failed or turned away, from 0 to 1. */
  readonly failureShare: number;
  /** The mean service times of the routes that the backend server has served lately. */
  readonly serviceTimes: readonly RouteServiceTime[];
  /** The requests per second that the backend server takes; undefined if it states no limit. */
  readonly limitPerSecond?: number;
}

/** The load of the gate of a host, as one node passes it on to others. */
export interface HostGateLoad extends GateLoad {
  /** A hash of the host's address, which is shorter than the address. */
  readonly hostHash: number;
}
