/** What this node has seen of the gates it sends requests to. */
import type { Clock } from '../kernel/clock.js';
import type { GateEndpoint } from '../directory/directory.js';
import { GateObservation } from './gateObservation.js';

/** Observations by gate. */
export class GateObservations {
  private readonly byGate = new Map<string, GateObservation>();

  /** Spares making the key of every gate for every request; emptied with each change of the directory. */
  private byEndpoint = new WeakMap<GateEndpoint, GateObservation>();

  constructor(
    private readonly clock: Clock,
    private readonly defaultServiceMs: number,
  ) {}

  /**
   * @param endpoint - a gate
   * @returns what was seen of it
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
   * @param endpoint - a gate
   * @returns whether requests may be sent there
   */
  isReachable(endpoint: GateEndpoint): boolean {
    return this.of(endpoint).reachable;
  }

  /**
   * @param endpoints - the gates of a service
   * @returns what a request takes there on average, in milliseconds
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
   * Forgets backend servers that ran on a host before.
   *
   * @param host - the address of the host
   * @param currentId - the identity of the one that runs there now, if any
   */
  forgetOthers(host: string, currentId: string | undefined): void {
    this.byEndpoint = new WeakMap();
    [...this.byGate.keys()]
      .filter((key) => key.startsWith(`${host} `) && !key.startsWith(`${host} ${currentId} `))
      .forEach((key) => this.byGate.delete(key));
  }
}
