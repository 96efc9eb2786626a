/** What this node has seen of the gates it sends requests to. */
import type { Clock } from '../kernel/clock.js';
import type { GateEndpoint } from '../directory/directory.js';
import { GateObservation } from './gateObservation.js';

/** Observations by gate. */
export class GateObservations {
  private readonly byGate = new Map<string, GateObservation>();

  constructor(
    private readonly clock: Clock,
    private readonly defaultServiceMs: number,
  ) {}

  /**
   * @param endpoint - a gate
   * @returns what was seen of it
   */
  of({ host, backendServer }: GateEndpoint): GateObservation {
    const key = `${host} ${backendServer.id} ${backendServer.startedAtMs}`;
    const held = this.byGate.get(key);
    if (held !== undefined) {
      return held;
    }
    const observation = new GateObservation(this.clock);
    this.byGate.set(key, observation);
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
    [...this.byGate.keys()]
      .filter((key) => key.startsWith(`${host} `) && !key.startsWith(`${host} ${currentId} `))
      .forEach((key) => this.byGate.delete(key));
  }
}
