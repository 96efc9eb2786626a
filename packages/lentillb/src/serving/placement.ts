/**
 * Chooses the gate for a request. Answers a load that is uneven between availability zones, on
 * backend servers that differ in speed, some of them slow, failing or just started: the least
 * risk of an answer that is late or none wins, where another zone counts as a further risk, the
 * price of its bytes. So a zone's requests stay in it until its backend servers can't serve them in
 * time, and a faster backend server elsewhere attracts nothing that is on time at home.
 */
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
  /** How likely an answer is late or none, with the price of another zone; may exceed 1. */
  readonly risk: number;
  /** How long the request is expected to wait and run, in milliseconds. */
  readonly expectedMs: number;
}

/** How widely the time of a run spreads: the deviation of its logarithm, about that of the sheets' work. */
const SERVICE_TIME_LOG_DEVIATION = 0.7;
/** The median of such a time, as a share of its mean. */
const MEDIAN_TO_MEAN_RATIO = Math.exp(
  (-SERVICE_TIME_LOG_DEVIATION * SERVICE_TIME_LOG_DEVIATION) / 2,
);
/** What sending a request to another zone counts for: a late answer in so many of one request. */
const CROSS_ZONE_RISK = 0.25;
/** What a busy backend server counts for beside an idle one, where both would be on time. */
const LOAD_RISK = 0.05;
/** Placements whose risks differ by less are drawn between. */
const RISK_TOLERANCE = 0.004;

/** The probability that a run with a mean time takes longer than a time, for a log-normal spread. */
function lateRisk(meanMs: number, remainingMs: number): number {
  if (remainingMs <= 0) {
    return 1;
  }
  const deviations =
    Math.log(remainingMs / (meanMs * MEDIAN_TO_MEAN_RATIO)) / SERVICE_TIME_LOG_DEVIATION;
  // The logistic curve that is nearest to the normal distribution's.
  return 1 / (1 + Math.exp(1.702 * deviations));
}

/** How many gates there are for a request, and how many of them are left out; for the log. */
export interface CandidateCount {
  readonly hosts: number;
  /** Hosts that answer nothing. */
  readonly silentHosts: number;
  /** Gates that took no connection lately; asked only where no other is left. */
  readonly avoidedHosts: number;
}

/** Chooses gates by what this node has seen of them. */
export class Placer {
  constructor(
    private readonly services: {
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
    // The link watch asks silent hosts whether they are back; a request sent there would only wait.
    const available = candidates.filter(({ host }) => !excluded.has(host) && !isSilent(host));
    const reachable = available.filter((endpoint) => observations.isReachable(endpoint));
    return this.chooseLeastRisk(reachable.length > 0 ? reachable : available, targetMs);
  }

  /**
   * @param candidates - the gates of a service
   * @returns how many there are, and how many are left out
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
    targetMs: number,
  ): Placement | undefined {
    const { observations, randomness } = this.services;
    if (endpoints.length === 0) {
      return undefined;
    }
    const typicalMs = observations.typicalServiceMs(endpoints);
    const placements = endpoints.map((endpoint) => this.estimate(endpoint, typicalMs, targetMs));
    const minRisk = placements.reduce((lowest, { risk }) => Math.min(lowest, risk), Infinity);
    const tied = placements.filter(({ risk }) => risk <= minRisk + RISK_TOLERANCE);
    return tied[randomness.integer(tied.length)];
  }

  private estimate(endpoint: GateEndpoint, typicalMs: number, targetMs: number): Placement {
    const observation = this.services.observations.of(endpoint);
    const { slots } = endpoint.backendServer;
    const serviceMs = observation.serviceMs(typicalMs);
    const load = observation.load();
    const waitMs = Math.max(0, ((load + 1 - slots) * serviceMs) / slots);
    const finishMs = serviceMs + waitMs;
    const risk =
      lateRisk(serviceMs, targetMs - waitMs) +
      observation.failureShare() +
      (LOAD_RISK * load) / slots +
      (endpoint.zone === this.zone ? 0 : CROSS_ZONE_RISK);
    return { endpoint, expectedMs: finishMs, risk };
  }
}
