/** Records this node's observations of all gates. */
import type { Clock } from '../kernel/clock.js';
import type { GateEndpoint } from '../directory/directory.js';
import type { GateLoad } from '../directory/gateLoad.js';
import { GateObservation } from './gateObservation.js';

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
    const observation = this.byGate.get(key) ?? new GateObservation(this.clock);
    this.byGate.set(key, observation);
    this.currentByHost.set(host, observation);
    this.byEndpoint.set(endpoint, observation);
    return observation;
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
    return (
      this.mean(endpoints, (observation) => observation.reportedServiceMs(routeHash)) ??
      this.mean(endpoints, (observation) => observation.measuredMs) ??
      this.defaultServiceMs
    );
  }

  private mean(
    endpoints: readonly GateEndpoint[],
    select: (observation: GateObservation) => number | undefined,
  ): number | undefined {
    let sum = 0;
    let count = 0;
    endpoints.forEach((endpoint) => {
      const value = select(this.of(endpoint));
      if (value !== undefined) {
        sum += value;
        count += 1;
      }
    });
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
