/**
 * Chooses the gate for a request. The load is uneven between availability zones, and backend
 * servers differ in speed; some are slow, failing or just started. The gate with the lowest risk of
 * a late or missing answer is chosen. A gate in another zone carries an added risk, which stands
 * for the price of traffic between zones: requests stay in their zone until its backend servers
 * cannot serve them in time, and a faster backend server elsewhere does not draw requests that are
 * on time here.
 */
import type { Randomness } from '../kernel/randomness.js';
import type { GateEndpoint } from '../directory/directory.js';
import type { GateObservations } from './gateObservations.js';

/** The request to place and its candidate gates. */
export interface PlacementRequest {
  readonly candidates: readonly GateEndpoint[];
  /** The hosts whose gates refused the request or failed to answer it. */
  readonly excluded: ReadonlySet<string>;
  /** The target latency of the request, in milliseconds. */
  readonly targetMs: number;
  /** The hash of the name of the request's route. */
  readonly routeHash: number;
}

/** A gate and the estimates for a request sent to it. */
export interface Placement {
  readonly endpoint: GateEndpoint;
  /** The risk of a late or missing answer plus surcharges for load and zone; may exceed 1. */
  readonly risk: number;
  /** The expected time to wait and run, in milliseconds. */
  readonly expectedMs: number;
}

/**
 * The standard deviation of the logarithm of a service time, about the deviation of the run times
 * of the platform's backend servers.
 */
const SERVICE_TIME_LOG_DEVIATION = 0.7;
/** The ratio of the median to the mean of a log-normal service time. */
const MEDIAN_TO_MEAN_RATIO = Math.exp(
  (-SERVICE_TIME_LOG_DEVIATION * SERVICE_TIME_LOG_DEVIATION) / 2,
);
/** The risk added for another zone: four requests sent there weigh as much as one late answer. */
const CROSS_ZONE_RISK = 0.25;
/** The risk added at full load, so that the less loaded of two gates that are on time wins. */
const LOAD_RISK = 0.05;
/** The difference from the lowest risk up to which placements are chosen between at random. */
const RISK_TOLERANCE = 0.004;

/** The usable slots of a backend server that states a limit of 0; keeps the estimates finite. */
const MIN_USABLE_SLOTS = 0.01;
const MS_PER_SECOND = 1_000;

/** The maximum number of gates of the own zone, and of other zones, that are compared. */
const MAX_COMPARED_GATES = 5;

/** Returns the probability that a log-normal service time exceeds the remaining time. */
function lateRisk(meanMs: number, remainingMs: number): number {
  if (remainingMs <= 0) {
    return 1;
  }
  const deviations =
    Math.log(remainingMs / (meanMs * MEDIAN_TO_MEAN_RATIO)) / SERVICE_TIME_LOG_DEVIATION;
  // Approximates the normal distribution by a logistic curve; 1.702 gives the closest fit.
  return 1 / (1 + Math.exp(1.702 * deviations));
}

/** Returns the number of slots that requests at the stated limit keep occupied on average. */
function usableSlots(slots: number, limitPerSecond: number | undefined, serviceMs: number): number {
  // Infinity times a service time of 0, to which reports round those of fast servers, is not a number.
  const occupied =
    limitPerSecond === undefined ? slots : (limitPerSecond * serviceMs) / MS_PER_SECOND;
  return Math.min(slots, Math.max(MIN_USABLE_SLOTS, occupied));
}

/** The numbers of candidate gates of a request and of excluded ones, for the log. */
export interface CandidateCount {
  readonly hosts: number;
  /** The number of hosts that do not respond to any message. */
  readonly silentHosts: number;
  /** The number of recently unreachable gates; they are used only if no other is available. */
  readonly avoidedHosts: number;
}

/** Chooses gates by this node's observations of them. */
export class GateSelector {
  constructor(
    private readonly services: {
      readonly randomness: Randomness;
      readonly observations: GateObservations;
      readonly isSilent: (host: string) => boolean;
    },
    private readonly zone: string,
  ) {}

  /**
   * Chooses the gate with the lowest risk.
   *
   * @param request - the request to place
   * @returns the placement, or undefined if no gate is available
   */
  choose({ candidates, excluded, routeHash, targetMs }: PlacementRequest): Placement | undefined {
    const { isSilent, observations } = this.services;
    const available: GateEndpoint[] = [];
    const reachable: GateEndpoint[] = [];
    // A service may have hundreds of gates, so they are gone through once for each request.
    candidates.forEach((endpoint) => {
      // Skips silent hosts: the failure detector probes them, and a request sent there would only wait.
      if (excluded.has(endpoint.host) || isSilent(endpoint.host)) {
        return;
      }
      const observation = observations.of(endpoint);
      if (!observation.leaving) {
        available.push(endpoint);
        if (observation.reachable) {
          reachable.push(endpoint);
        }
      }
    });
    const endpoints = reachable.length > 0 ? reachable : available;
    return this.chooseLeastRisk(endpoints, { routeHash, targetMs });
  }

  /**
   * Counts candidates for the log.
   *
   * @param candidates - the gates of a service
   * @returns the number of gates, and of those that are silent or unreachable
   */
  countCandidates(candidates: readonly GateEndpoint[]): CandidateCount {
    const { isSilent, observations } = this.services;
    return {
      hosts: candidates.length,
      silentHosts: candidates.filter(({ host }) => isSilent(host)).length,
      avoidedHosts: candidates.filter((endpoint) => !observations.isReachable(endpoint)).length,
    };
  }

  private chooseLeastRisk(
    endpoints: readonly GateEndpoint[],
    request: Pick<PlacementRequest, 'routeHash' | 'targetMs'>,
  ): Placement | undefined {
    const { observations, randomness } = this.services;
    if (endpoints.length === 0) {
      return undefined;
    }
    let knownTypicalMs: number | undefined;
    // Takes a pass over all gates, and is needed only where a drawn gate has no time of its own.
    const typicalMs = (): number => {
      knownTypicalMs ??= observations.typicalServiceMs(endpoints, request.routeHash);
      return knownTypicalMs;
    };
    const placements = this.sample(endpoints).map((endpoint) =>
      this.estimate(endpoint, typicalMs, request),
    );
    const minRisk = placements.reduce((lowest, { risk }) => Math.min(lowest, risk), Infinity);
    const tied = placements.filter(({ risk }) => risk <= minRisk + RISK_TOLERANCE);
    return tied[randomness.integer(tied.length)];
  }

  /**
   * Draws gates to choose from. The loads that gates report are up to one interval old and the same
   * for all nodes; if each node compared all gates, they would all send to the same one meanwhile.
   */
  private sample(endpoints: readonly GateEndpoint[]): readonly GateEndpoint[] {
    const near: GateEndpoint[] = [];
    const far: GateEndpoint[] = [];
    endpoints.forEach((endpoint) => (endpoint.zone === this.zone ? near : far).push(endpoint));
    return [...this.draw(near), ...this.draw(far)];
  }

  private draw(endpoints: readonly GateEndpoint[]): readonly GateEndpoint[] {
    if (endpoints.length <= MAX_COMPARED_GATES) {
      return endpoints;
    }
    const drawn = new Set<GateEndpoint>();
    while (drawn.size < MAX_COMPARED_GATES) {
      const index = this.services.randomness.integer(endpoints.length);
      drawn.add(endpoints[index] as GateEndpoint);
    }
    return [...drawn];
  }

  private estimate(
    endpoint: GateEndpoint,
    typicalMs: () => number,
    { routeHash, targetMs }: Pick<PlacementRequest, 'routeHash' | 'targetMs'>,
  ): Placement {
    const observation = this.services.observations.of(endpoint);
    const serviceMs = observation.serviceMs(routeHash, typicalMs);
    const slots = usableSlots(
      endpoint.backendServer.slots,
      observation.limitPerSecond(),
      serviceMs,
    );
    const load = observation.load();
    const waitMs = Math.max(0, ((load + 1 - slots) * serviceMs) / slots);
    const expectedMs = serviceMs + waitMs;
    const risk =
      lateRisk(serviceMs, targetMs - waitMs) +
      observation.failureShare() +
      (LOAD_RISK * load) / slots +
      (endpoint.zone === this.zone ? 0 : CROSS_ZONE_RISK);
    return { endpoint, expectedMs, risk };
  }
}
