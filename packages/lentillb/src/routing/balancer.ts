/** Chooses the backend server of a call: the less loaded of two, its own zone's first. */
import type { Services } from '../kernel/services.js';
import type { Endpoint } from '../membership/fleetView.js';
import { ZonePreference } from '../rules/ruleForms.js';
import { endpointKey } from './endpointStats.js';
import type { RoutingTable } from './table/routingTable.js';

const FULL_PERCENT = 100;
/** The share of its slots that a backend server counts with when it has just become ready. */
const COLDEST_SHARE = 0.1;

type Needs = Pick<Services, 'clock' | 'endpointStats' | 'fleetView' | 'randomness' | 'settings'>;

/** Chooses backend servers. */
export class Balancer {
  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
  }

  /**
   * @param table - the table the call uses
   * @param service - the service to call
   * @param tried - backend servers that refused this call, by `endpointKey`
   * @returns the backend server to call; undefined where none is left
   */
  choose(table: RoutingTable, service: string, tried: ReadonlySet<string>): Endpoint | undefined {
    const eligible = this.services.fleetView
      .endpointsOf(service)
      .filter((endpoint) => !tried.has(endpointKey(endpoint)));
    const trusted = eligible.filter((endpoint) => !this.services.endpointStats.isEjected(endpoint));
    // With most of them ejected, the failing part is more likely to be this node's own view.
    const candidates = trusted.length * 2 >= eligible.length ? trusted : eligible;
    return this.lessLoadedOfTwo(table, this.nearby(table, service, candidates));
  }

  /** The own zone's backend servers, unless they are loaded over the spill share. */
  private nearby(
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
    const mean = loads.reduce((total, load) => total + load, 0) / loads.length;
    return mean * FULL_PERCENT < rule.spillPercent ? local : candidates;
  }

  private lessLoadedOfTwo(
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

  /** Calls of this node in flight, over the slots the backend server counts with. */
  private load(table: RoutingTable, endpoint: Endpoint): number {
    const { clock, endpointStats } = this.services;
    const rampMs = table.service(endpoint.service)?.rampMs ?? 0;
    const ageMs = clock.now().getTime() - endpoint.readyAt.getTime();
    const warmShare = rampMs === 0 ? 1 : Math.min(1, Math.max(COLDEST_SHARE, ageMs / rampMs));
    return endpointStats.inFlight(endpoint) / (endpoint.slots * warmShare);
  }
}
