/**
 * Chooses the backend server of a call: the less loaded of two random candidates, preferring the
 * node's own availability zone.
 */
import type { Services } from '../kernel/services.js';
import type { Endpoint } from '../membership/fleetView.js';
import { ZonePreference } from '../rules/ruleForms.js';
import { endpointKey } from './endpointStats.js';
import type { RoutingTable } from './table/routingTable.js';

const FULL_PERCENT = 100;
/** The share of its slots that a backend server counts with when it has just become ready. */
const MIN_RAMP_SHARE = 0.1;

type Dependencies = Pick<
  Services,
  'clock' | 'endpointStats' | 'fleetView' | 'randomness' | 'settings'
>;

/** Balances calls over the backend servers of a service. */
export class Balancer {
  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /**
   * @param table - the routing table that the call uses
   * @param service - the service to call
   * @param tried - the backend servers already tried for this call, by `endpointKey`
   * @returns the backend server to call; undefined if none is left
   */
  choose(table: RoutingTable, service: string, tried: ReadonlySet<string>): Endpoint | undefined {
    const eligible = this.services.fleetView
      .endpointsOf(service)
      .filter((endpoint) => !tried.has(endpointKey(endpoint)));
    const notEjected = eligible.filter(
      (endpoint) => !this.services.endpointStats.isEjected(endpoint),
    );
    // Ignores ejections when they affect more than half of the backend servers: the fault is then
    // more likely in this node's own connectivity.
    const candidates = notEjected.length * 2 >= eligible.length ? notEjected : eligible;
    return this.pickLessLoadedOfTwo(table, this.preferLocalZone(table, service, candidates));
  }

  /**
   * Narrows the candidates to this node's zone, unless the mean load there has reached the spill
   * share or the service's zone rule does not ask for it.
   */
  private preferLocalZone(
    table: RoutingTable,
    service: string,
    candidates: readonly Endpoint[],
  ): readonly Endpoint[] {
    const rule = table.zone(service);
    if (rule === undefined || rule.preference === ZonePreference.Any) {
      return candidates;
    }
    const local = candidates.filter(({ zone }) => zone === this.services.settings.zone);
    if (local.length === 0) {
      return candidates;
    }
    const loads = local.map((endpoint) => this.load(table, endpoint));
    const meanLoad = loads.reduce((total, load) => total + load, 0) / loads.length;
    return meanLoad * FULL_PERCENT < rule.spillPercent ? local : candidates;
  }

  private pickLessLoadedOfTwo(
    table: RoutingTable,
    candidates: readonly Endpoint[],
  ): Endpoint | undefined {
    const { randomness } = this.services;
    if (candidates.length <= 1) {
      return candidates[0];
    }
    const firstIndex = randomness.integer(candidates.length);
    const step = 1 + randomness.integer(candidates.length - 1);
    const first = candidates[firstIndex] as Endpoint;
    const second = candidates[(firstIndex + step) % candidates.length] as Endpoint;
    return this.load(table, second) < this.load(table, first) ? second : first;
  }

  /**
   * Computes the load as this node's calls in flight divided by the backend server's slots. During
   * the ramp after it becomes ready, a backend server counts with only a growing share of its slots.
   */
  private load(table: RoutingTable, endpoint: Endpoint): number {
    const { clock, endpointStats } = this.services;
    const rampMs = table.service(endpoint.service)?.rampMs ?? 0;
    const ageMs = clock.now().getTime() - endpoint.readyAt.getTime();
    const rampShare = rampMs === 0 ? 1 : Math.min(1, Math.max(MIN_RAMP_SHARE, ageMs / rampMs));
    return endpointStats.inFlight(endpoint) / (endpoint.slots * rampShare);
  }
}
