/**
 * Chooses the gate for a request. Answers a load that is uneven between availability zones, on
 * backend servers that differ in speed, some of them slow, failing or just started: the least
 * expected time to an answer wins, where another zone counts with a price for the bytes between
 * zones, so that a zone's requests stay in it until its backend servers are nearly full.
 */
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import type { GateEndpoint } from '../directory/directory.js';
import type { GateObservations } from './gateObservations.js';

/** What a request wants of a gate. */
export interface PlacementRequest {
  readonly candidates: readonly GateEndpoint[];
  /** Hosts whose gates refused the request, or lost it. */
  readonly excluded: ReadonlySet<string>;
  /** The target latency of the request, in milliseconds. */
  readonly targetMs: number;
}

/** A gate and what a request can expect there. */
export interface Placement {
  readonly endpoint: GateEndpoint;
  /** How long an answer is expected to take, all prices included, in milliseconds. */
  readonly expectedMs: number;
  /** How long the request is expected to wait and run, in milliseconds. */
  readonly finishMs: number;
}

/** The share of its slots up to which a backend server counts as unhurried. */
const UNHURRIED_SHARE = 0.6;
/** How much longer a request is expected to take where all slots are busy, as a share of its time. */
const CROWDING = 0.5;
/** What sending a request to another zone counts for, as a share of its target latency. */
const OTHER_ZONE_SHARE = 0.2;
/** What a failure counts for, as a multiple of the time a request takes. */
const FAILURE_SHARE = 6;
/** Placements closer than this share of the best are drawn between. */
const NEAR_SHARE = 0.05;

/** Chooses gates by what this node has seen of them. */
export class Placer {
  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly randomness: Randomness;
      readonly observations: GateObservations;
      readonly isSilent: (host: string) => boolean;
    },
    private readonly zone: string,
  ) {}

  /**
   * @param request - what the request wants
   * @returns the best gate left, or undefined where there is none
   */
  choose({ candidates, excluded, targetMs }: PlacementRequest): Placement | undefined {
    const { isSilent, observations } = this.services;
    const left = candidates.filter(({ host }) => !excluded.has(host));
    const reachable = left.filter(
      (endpoint) => observations.isReachable(endpoint) && !isSilent(endpoint.host),
    );
    return this.best(reachable.length > 0 ? reachable : left, targetMs);
  }

  private best(endpoints: readonly GateEndpoint[], targetMs: number): Placement | undefined {
    const { observations, randomness } = this.services;
    if (endpoints.length === 0) {
      return undefined;
    }
    const typicalMs = observations.typicalServiceMs(endpoints);
    const placements = endpoints.map((endpoint) => this.expect(endpoint, typicalMs, targetMs));
    const leastMs = placements.reduce((least, { expectedMs }) => Math.min(least, expectedMs), Infinity);
    const near = placements.filter(({ expectedMs }) => expectedMs <= leastMs * (1 + NEAR_SHARE));
    return near[randomness.integer(near.length)];
  }

  private expect(endpoint: GateEndpoint, typicalMs: number, targetMs: number): Placement {
    const seen = this.services.observations.of(endpoint);
    const { slots } = endpoint.backendServer;
    const serviceMs = seen.serviceMs(typicalMs);
    const load = seen.load();
    const share = load / slots;
    const crowding = 1 + CROWDING * Math.max(0, Math.min(share, 1) - UNHURRIED_SHARE);
    const waitMs = Math.max(0, ((load + 1 - slots) * serviceMs) / slots);
    const zoneMs = endpoint.zone === this.zone ? 0 : OTHER_ZONE_SHARE * targetMs;
    const failureMs = seen.failureShare() * FAILURE_SHARE * typicalMs;
    const finishMs = serviceMs + waitMs;
    return { endpoint, finishMs, expectedMs: serviceMs * crowding + waitMs + zoneMs + failureMs };
  }
}
