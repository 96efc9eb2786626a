/** Records this node's observations of all gates. */
import type { Clock } from '../kernel/clock.js';
import type { GateEndpoint } from '../directory/directory.js';
import type { GateLoad } from '../directory/gateLoad.js';
import { GateObservation } from './gateObservation.js';
import { UsualLoad } from './usualLoad.js';

/** The time for which a typical service time is used again, in milliseconds: half a report interval. */
const MAX_TYPICAL_AGE_MS = 250;

interface TypicalTime {
  readonly typicalMs: number;
  readonly atMs: number;
}

/** How evenly the slots of gates are used. */
export interface LoadSpread {
  /** The mean share of the slots in use; above 1 where requests wait. */
  readonly mean: number;
  /** The standard deviation of the share between gates. */
  readonly deviation: number;
}

/** The observations of each gate. */
export class GateObservations {
  private readonly byGate = new Map<string, GateObservation>();

  /** The observation of the gate that was looked up last for each host. */
  private readonly currentByHost = new Map<string, GateObservation>();

  /**
   * A cache of lookups, which avoids building a key per gate and request; reset when the directory
   * changes.
   */
  private byEndpoint = new WeakMap<GateEndpoint, GateObservation>();

  private readonly usualLoads = new Map<string, UsualLoad>();

  /** The typical service times by list of gates and hash of the route. */
  private readonly typicalTimes = new WeakMap<readonly GateEndpoint[], Map<number, TypicalTime>>();

  constructor(
    private readonly clock: Clock,
    private readonly defaultServiceMs: number,
  ) {}

  /**
   * Returns the observation of a gate, and creates it if there is none.
   *
   * @param endpoint - the gate
   * @returns the observation of the gate
   */
  of(endpoint: GateEndpoint): GateObservation {
    const known = this.byEndpoint.get(endpoint);
    if (known !== undefined) {
      return known;
    }
    const { backendServer, host } = endpoint;
    const key = `${host} ${backendServer.id} ${backendServer.startedAtMs}`;
    const observation = this.byGate.get(key) ?? this.create(endpoint);
    this.byGate.set(key, observation);
    this.currentByHost.set(host, observation);
    this.byEndpoint.set(endpoint, observation);
    return observation;
  }

  private create({ backendServer, zone }: GateEndpoint): GateObservation {
    const key = `${backendServer.service} ${zone}`;
    const usual = this.usualLoads.get(key) ?? new UsualLoad(this.clock);
    this.usualLoads.set(key, usual);
    return new GateObservation(this.clock, Math.max(1, backendServer.slots), usual);
  }

  /**
   * Compares the loads that the gates of a service in one zone reported lately.
   *
   * @param service - the name of the service
   * @param zone - the name of the zone
   * @returns the mean and the standard deviation, both 0 if no gate reported
   */
  spreadOf(service: string, zone: string): LoadSpread {
    const usual = this.usualLoads.get(`${service} ${zone}`);
    const shares = [...this.byGate.values()].flatMap((observation) =>
      observation.usual === usual ? (observation.reportedShare ?? []) : [],
    );
    const count = Math.max(1, shares.length);
    const mean = shares.reduce((sum, share) => sum + share, 0) / count;
    const variance = shares.reduce((sum, share) => sum + (share - mean) ** 2, 0) / count;
    return { mean, deviation: Math.sqrt(variance) };
  }

  /**
   * Checks whether a gate is reachable.
   *
   * @param endpoint - the gate
   * @returns whether requests may be sent to it
   */
  isReachable(endpoint: GateEndpoint): boolean {
    return this.of(endpoint).reachable;
  }

  /**
   * Records the load that the node of a host reported.
   *
   * @param host - the address of the host
   * @param load - the load of its gate
   */
  recordSharedLoad(host: string, load: GateLoad): void {
    this.currentByHost.get(host)?.recordSharedLoad(load);
  }

  /**
   * Averages the recent service times of a route at gates.
   *
   * @param endpoints - the gates of a service
   * @param routeHash - the hash of the route's name
   * @returns the mean of what their nodes reported for the route, else of what this node measured,
   *   else the default, in milliseconds
   */
  typicalServiceMs(endpoints: readonly GateEndpoint[], routeHash: number): number {
    const nowMs = this.clock.monotonicMs();
    const times = this.typicalTimes.get(endpoints) ?? new Map<number, TypicalTime>();
    this.typicalTimes.set(endpoints, times);
    const known = times.get(routeHash);
    if (known !== undefined && nowMs - known.atMs < MAX_TYPICAL_AGE_MS) {
      return known.typicalMs;
    }
    const typicalMs = this.meanServiceMs(endpoints, routeHash);
    if (typicalMs === undefined) {
      return this.defaultServiceMs;
    }
    // Taking the mean is a pass over all gates, of which a service may have hundreds.
    times.set(routeHash, { typicalMs, atMs: nowMs });
    return typicalMs;
  }

  private meanServiceMs(endpoints: readonly GateEndpoint[], routeHash: number): number | undefined {
    const reported = { sum: 0, count: 0 };
    const measured = { sum: 0, count: 0 };
    const add = (total: typeof reported, timeMs: number | undefined): void => {
      if (timeMs !== undefined) {
        Object.assign(total, { sum: total.sum + timeMs, count: total.count + 1 });
      }
    };
    endpoints.forEach((endpoint) => {
      const observation = this.of(endpoint);
      add(reported, observation.reportedServiceMs(routeHash));
      add(measured, observation.measuredMs);
    });
    const { sum, count } = reported.count > 0 ? reported : measured;
    return count === 0 ? undefined : sum / count;
  }

  /**
   * Removes the observations of backend servers that ran on a host earlier.
   *
   * @param host - the address of the host
   * @param currentId - the identity of the backend server that runs there now, if any
   */
  removeOthers(host: string, currentId: string | undefined): void {
    this.byEndpoint = new WeakMap();
    this.currentByHost.delete(host);
    [...this.byGate.keys()]
      .filter((key) => key.startsWith(`${host} `) && !key.startsWith(`${host} ${currentId} `))
      .forEach((key) => this.byGate.delete(key));
  }
}
