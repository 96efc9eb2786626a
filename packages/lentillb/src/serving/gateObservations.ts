/** Records this node's observations of all gates. */
import type { Clock } from '../kernel/clock.js';
import type { GateEndpoint } from '../directory/directory.js';
import { GateObservation } from './gateObservation.js';

/** The observations of each gate. */
export class GateObservations {
  private readonly byGate = new Map<string, GateObservation>();

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
   * Averages the recent service times of gates.
   *
   * @param endpoints - the gates of a service
   * @returns the mean service time, or the default if none is recent, in milliseconds
   */
  typicalServiceMs(endpoints: readonly GateEndpoint[]): number {
    const measured = endpoints
      .map((endpoint) => this.of(endpoint).measuredMs)
      .filter((value) => value !== undefined);
    return measured.length === 0
      ? this.defaultServiceMs
      : measured.reduce((sum, value) => sum + value, 0) / measured.length;
  }

  /**
   * Removes the observations of backend servers that ran on a host earlier.
   *
   * @param host - the address of the host
   * @param currentId - the identity of the backend server that runs there now, if any
   */
  removeOthers(host: string, currentId: string | undefined): void {
    this.byEndpoint = new WeakMap();
    [...this.byGate.keys()]
      .filter((key) => key.startsWith(`${host} `) && !key.startsWith(`${host} ${currentId} `))
      .forEach((key) => this.byGate.delete(key));
  }
}
