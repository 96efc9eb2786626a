/**
 * Chooses the gate for a request. What a node knows of the load of other gates is up to a second
 * old, and all nodes know much the same at the same time, so a node never takes the best of all
 * gates. It draws a few at random, fast ones more often, and takes the one with the lowest risk of a
 * late or missing answer. The gate on its own host, to which no link is used, is always compared. A gate in another zone carries an added risk, which stands for the price
 * of traffic between zones: requests stay in their zone until its backend servers cannot serve them
 * in time, and a faster backend server elsewhere does not draw requests that are on time here.
 */
import type { Randomness } from '../kernel/randomness.js';
import type { GateEndpoint } from '../directory/directory.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import { sample } from '../utils/sample.js';
import type { GateObservation } from './gateObservation.js';
import type { GateObservations } from './gateObservations.js';

/** The request to place and its candidate gates. */
export interface PlacementRequest {
  readonly candidates: readonly GateEndpoint[];
  /** The hosts whose gates refused the request or failed to answer it. */
  readonly excluded: ReadonlySet<string>;
  /** The target latency of the request, in milliseconds. */
  readonly targetMs: number;
  /** The length of the request's body in bytes, which a link carries; 0 by default. */
  readonly bodyBytes?: number;
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
/** The number of gates of a service in a zone from which on its load can be made even. */
const MIN_EVENED_GATES = 3;

/** The weights of a comparison. */
interface Weights {
  /** The risk added for another zone, which stands for the price of traffic between zones. */
  readonly crossZone: number;
  /** The risk added at full load, so that the less loaded of two gates that are on time wins. */
  readonly load: number;
  /** The risk added by a wait as long as the target latency, which others behind the request share. */
  readonly wait: number;
  /** The difference from the lowest risk up to which placements are chosen between at random. */
  readonly tolerance: number;
  /** The number of gates of other zones that are compared. */
  readonly farGates: number;
}

const evenedWeights: Weights = {
  crossZone: 0.3,
  load: 0.1,
  wait: 2,
  tolerance: 0.02,
  farGates: 2,
};
/** With one or two gates in the zone, weighing waits would only move requests to other zones. */
const fewGatesWeights: Weights = {
  crossZone: 0.25,
  load: 0.05,
  wait: 0,
  tolerance: 0.004,
  farGates: 5,
};
/** The length of a body up to which requests to another zone weigh alike, in bytes. */
const USUAL_BODY_BYTES = 8_192;
/**
 * The highest risk added by a wait. Where all zones have more requests than slots, waits differ by
 * chance, and without a limit most requests are sent to another zone for no gain.
 */
const MAX_WAIT_RISK = 0.5;
/**
 * The standard deviation of the load of a gate without a recent report, as a factor on the square
 * root of its slots. That of independent requests is 1 at full load; runs with 0 to 1 differed little.
 */
const UNKNOWN_LOAD_DEVIATION = 0.5;
/** The number of deviations above which the expected excess is that of a known load. */
const MAX_DEVIATIONS = 30;

/** The usable slots of a backend server that states a limit of 0; keeps the estimates finite. */
const MIN_USABLE_SLOTS = 0.01;
const MS_PER_SECOND = 1_000;

/**
 * The number of gates of the own zone that are compared, and the power of their relative speeds by
 * which they are drawn, at two usual loads of the zone; in between, they change evenly. With slots to
 * spare, the fastest gates can serve most requests. Where slots are scarce, each gate needs a share in
 * proportion to its speed, and comparing more than two sends all nodes to the same gates.
 */
const SPARE = { usualShare: 0.4, gates: 3, speedPower: 4 } as const;
const SCARCE = { usualShare: 0.7, gates: 2, speedPower: 1 } as const;
/** The speed, relative to the typical one, from which on a drawn gate is always compared. */
const FULL_SPEED = 1.5;
/** The number of draws for each gate to compare, after which slow gates are compared, too. */
const MAX_DRAWS_PER_GATE = 6;

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

/**
 * Returns the expected number of requests for which there is no slot.
 *
 * @param excess - the expected load less the slots, in requests
 * @param deviation - the standard deviation of the load, in requests
 * @returns the excess of a known load, and more of an uncertain one
 */
function expectedExcess(excess: number, deviation: number): number {
  const deviations = excess / deviation;
  return deviation > 0 && deviations < MAX_DEVIATIONS
    ? deviation * Math.log1p(Math.exp(deviations))
    : Math.max(0, excess);
}

/** Returns the number of slots that requests at the stated limit keep occupied on average. */
function usableSlots(slots: number, limitPerSecond: number | undefined, serviceMs: number): number {
  if (limitPerSecond === undefined) {
    return slots;
  }
  const occupied = (limitPerSecond * serviceMs) / MS_PER_SECOND;
  return Math.min(slots, Math.max(MIN_USABLE_SLOTS, occupied));
}

/** The numbers of candidate gates of a request and of excluded ones, for the log. */
export interface CandidateCount {
  readonly hosts: number;
  /** The number of hosts that do not respond to any message. */
  readonly silentHosts: number;
  /** The number of recently unreachable gates; they are used only if no other is available. */
  readonly avoidedHosts: number;
  /** The mean share of the slots in use in this zone, in percent; above 100 where requests wait. */
  readonly zoneLoadPercent: number;
  /** The standard deviation of that share between the gates, in percent. */
  readonly zoneDeviationPercent: number;
}

/** The gates of a service by zone. */
interface SplitGates {
  /** The gate on the host of this node. */
  readonly own: readonly GateEndpoint[];
  /** The other gates of this zone. */
  readonly near: readonly GateEndpoint[];
  readonly far: readonly GateEndpoint[];
}

/** A gate that may get the request, with the observation of it. */
interface UsableGate {
  readonly endpoint: GateEndpoint;
  readonly observation: GateObservation;
}

/** How gates are drawn to be compared. */
interface Draw {
  readonly gates: number;
  /** Looks a gate up; returns none if the request may not be sent to it. */
  readonly lookUp: (endpoint: GateEndpoint) => readonly UsableGate[];
  /** Returns the probability with which a drawn gate is compared. */
  readonly acceptance: (gate: UsableGate) => number;
}

type RiskInput = Pick<PlacementRequest, 'bodyBytes' | 'routeHash' | 'targetMs'>;

/** Returns the risk added for another zone; traffic between zones is priced by the byte. */
function crossZoneRisk({ bodyBytes = 0 }: RiskInput, { crossZone }: Weights): number {
  return crossZone * Math.max(1, bodyBytes / USUAL_BODY_BYTES);
}

const PERCENT = 100;

/** Chooses gates by this node's observations of them. */
export class GateSelector {
  /** The gates by zone, of each list of candidates that the directory returned. */
  private readonly splitByCandidates = new WeakMap<readonly GateEndpoint[], SplitGates>();

  private readonly gaugedServices = new Set<string>();

  constructor(
    private readonly services: {
      readonly randomness: Randomness;
      readonly observations: GateObservations;
      readonly isSilent: (host: string) => boolean;
      readonly metrics: MetricsRegistry;
      /** The gate on the host of this node, with the number of requests that run or wait there. */
      readonly gate: { readonly inFlight: number };
    },
    private readonly location: { readonly host: string; readonly zone: string },
  ) {}

  /**
   * Chooses the gate with the lowest risk among some that are drawn.
   *
   * @param request - the request to place
   * @returns the placement, or undefined if no gate is available
   */
  choose(request: PlacementRequest): Placement | undefined {
    const { metrics, observations } = this.services;
    const { candidates, excluded } = request;
    const { far, near, own } = this.splitByZone(candidates);
    let knownTypicalMs: number | undefined;
    const typicalMs = (): number => {
      knownTypicalMs ??= observations.typicalServiceMs(candidates, request.routeHash);
      return knownTypicalMs;
    };
    const lookUp = (endpoint: GateEndpoint): readonly UsableGate[] =>
      this.lookUp(endpoint, excluded).filter(({ observation }) => observation.reachable);
    const isEvened = near.length + own.length >= MIN_EVENED_GATES;
    const weights = isEvened ? evenedWeights : fewGatesWeights;
    const { gates, speedPower } = this.nearDraw(near);
    const acceptance = ({ observation }: UsableGate): number =>
      (typicalMs() / FULL_SPEED / observation.serviceMs(request.routeHash, typicalMs)) **
      speedPower;
    this.updateOwn(own);
    const drawn = [
      ...own.flatMap(lookUp),
      ...this.draw(near, { gates, lookUp, acceptance }),
      ...this.draw(far, { gates: weights.farGates, lookUp, acceptance }),
    ];
    const compared =
      drawn.length > 0 ? drawn : candidates.flatMap((endpoint) => this.lookUp(endpoint, excluded));
    const placement = this.chooseLeastRisk(compared, typicalMs, request, weights);
    if (placement !== undefined) {
      const zone = placement.endpoint.zone === this.location.zone ? 'own' : 'other';
      metrics.count('placing_choices', { service: placement.endpoint.backendServer.service, zone });
    }
    return placement;
  }

  /**
   * Counts candidates and compares the loads of those in this zone, for the log.
   *
   * @param candidates - the gates of a service
   * @returns the number of gates, and of those that are silent or unreachable, and how evenly the
   *   slots of the zone are used
   */
  countCandidates(candidates: readonly GateEndpoint[]): CandidateCount {
    const { isSilent, observations } = this.services;
    const service = candidates[0]?.backendServer.service ?? '';
    const { deviation, mean } = observations.spreadOf(service, this.location.zone);
    return {
      hosts: candidates.length,
      silentHosts: candidates.filter(({ host }) => isSilent(host)).length,
      avoidedHosts: candidates.filter((endpoint) => !observations.isReachable(endpoint)).length,
      zoneLoadPercent: Math.round(mean * PERCENT),
      zoneDeviationPercent: Math.round(deviation * PERCENT),
    };
  }

  private lookUp(endpoint: GateEndpoint, excluded: ReadonlySet<string>): readonly UsableGate[] {
    const { isSilent, observations } = this.services;
    // Skips silent hosts: the failure detector probes them, and a request sent there would only wait.
    if (excluded.has(endpoint.host) || isSilent(endpoint.host)) {
      return [];
    }
    const observation = observations.of(endpoint);
    return observation.leaving ? [] : [{ endpoint, observation }];
  }

  /** The load of the gate on this host is known without a report. */
  private updateOwn(endpoints: readonly GateEndpoint[]): void {
    const { gate, observations } = this.services;
    endpoints.forEach((endpoint) => observations.of(endpoint).recordOwnLoad(gate.inFlight));
  }

  private splitByZone(candidates: readonly GateEndpoint[]): SplitGates {
    const known = this.splitByCandidates.get(candidates);
    if (known !== undefined) {
      return known;
    }
    const split = {
      own: candidates.filter(({ host }) => host === this.location.host),
      near: candidates.filter(
        ({ host, zone }) => zone === this.location.zone && host !== this.location.host,
      ),
      far: candidates.filter(({ zone }) => zone !== this.location.zone),
    };
    this.splitByCandidates.set(candidates, split);
    this.registerGauges(candidates);
    return split;
  }

  /** Shows how evenly the slots of a service in this zone are used. */
  private registerGauges([one]: readonly GateEndpoint[]): void {
    const { metrics, observations } = this.services;
    if (one === undefined || this.gaugedServices.has(one.backendServer.service)) {
      return;
    }
    const { service } = one.backendServer;
    const { zone } = this.location;
    this.gaugedServices.add(service);
    metrics.gauge(
      `placing_zone_load{service="${service}"}`,
      () => observations.spreadOf(service, zone).mean,
    );
    metrics.gauge(
      `placing_zone_load_deviation{service="${service}"}`,
      () => observations.spreadOf(service, zone).deviation,
    );
  }

  /** Returns how many gates of the own zone are compared, and how much speed counts in drawing them. */
  private nearDraw([one]: readonly GateEndpoint[]): { gates: number; speedPower: number } {
    const { observations, randomness } = this.services;
    if (one === undefined) {
      return { gates: 0, speedPower: SCARCE.speedPower };
    }
    const { share } = observations.of(one).usual;
    const range = SCARCE.usualShare - SPARE.usualShare;
    const spare = Math.min(1, Math.max(0, (SCARCE.usualShare - share) / range));
    const gates = SCARCE.gates + (SPARE.gates - SCARCE.gates) * spare;
    return {
      gates: Math.floor(gates + randomness.fraction()),
      speedPower: SCARCE.speedPower + (SPARE.speedPower - SCARCE.speedPower) * spare,
    };
  }

  /** Draws different usable gates at a cost that does not grow with the number of gates. */
  private draw(
    endpoints: readonly GateEndpoint[],
    { acceptance, gates, lookUp }: Draw,
  ): readonly UsableGate[] {
    const { randomness } = this.services;
    if (endpoints.length <= gates) {
      return endpoints.flatMap(lookUp);
    }
    const drawn = new Map<GateEndpoint, UsableGate>();
    const passedOver = new Map<GateEndpoint, UsableGate>();
    for (let left = gates * MAX_DRAWS_PER_GATE; left > 0 && drawn.size < gates; left -= 1) {
      const endpoint = endpoints[randomness.integer(endpoints.length)] as GateEndpoint;
      const [gate] = drawn.has(endpoint) ? [] : lookUp(endpoint);
      if (gate !== undefined) {
        const isCompared = randomness.fraction() < acceptance(gate);
        (isCompared ? drawn : passedOver).set(endpoint, gate);
      }
    }
    // A gate that was passed over and then drawn again is listed once.
    const found = [...new Map([...drawn, ...passedOver]).values()];
    return found.length > 0
      ? found.slice(0, gates)
      : sample(randomness, endpoints.flatMap(lookUp), gates);
  }

  private chooseLeastRisk(
    gates: readonly UsableGate[],
    typicalMs: () => number,
    request: RiskInput,
    weights: Weights,
  ): Placement | undefined {
    const placements = gates.map((gate) => this.estimate(gate, typicalMs, request, weights));
    const minRisk = placements.reduce((lowest, { risk }) => Math.min(lowest, risk), Infinity);
    const tied = placements.filter(({ risk }) => risk <= minRisk + weights.tolerance);
    return tied[this.services.randomness.integer(tied.length)];
  }

  private estimate(
    { endpoint, observation }: UsableGate,
    typicalMs: () => number,
    request: RiskInput,
    weights: Weights,
  ): Placement {
    const { routeHash, targetMs } = request;
    const serviceMs = observation.serviceMs(routeHash, typicalMs);
    const slots = usableSlots(
      endpoint.backendServer.slots,
      observation.limitPerSecond(),
      serviceMs,
    );
    const weight = observation.reportWeight(serviceMs);
    const load = observation.expectedLoad(weight);
    const deviation = UNKNOWN_LOAD_DEVIATION * Math.sqrt(slots * (1 - weight * weight));
    const waitMs = (expectedExcess(load + 1 - slots, deviation) * serviceMs) / slots;
    const expectedMs = serviceMs + waitMs;
    const risk =
      lateRisk(serviceMs, targetMs - waitMs) +
      observation.failureShare() +
      (weights.load * load) / slots +
      Math.min(MAX_WAIT_RISK, (weights.wait * waitMs) / targetMs) +
      (endpoint.zone === this.location.zone ? 0 : crossZoneRisk(request, weights));
    return { endpoint, expectedMs, risk };
  }
}
