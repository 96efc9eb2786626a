/**
 * Divides the requests of a route among its destinations by smooth weighted round-robin. Over a few
 * hundred requests, each share stays within one request of its weight; independent random choices
 * would deviate by several requests in a hundred.
 */
import type { Randomness } from '../kernel/randomness.js';
import type { Destination, MeshRoute } from './meshConfiguration.js';

/** The state of the round-robin of one route. */
interface RoundRobinState {
  /** The destinations and weights that the state belongs to. */
  readonly destinationsKey: string;
  readonly currentWeights: number[];
}

function keyOf(destinations: readonly Destination[]): string {
  return destinations.map(({ service, weight }) => `${service}=${weight}`).join(' ');
}

/** Selects destinations, with a separate round-robin for each route that has several. */
export class SmoothWeightedRoundRobin {
  private readonly states = new Map<string, RoundRobinState>();

  /**
   * @param randomness - offsets the start of each round-robin, so that nodes do not select the same
   *   destinations at the same time
   */
  constructor(private readonly randomness: Randomness) {}

  /**
   * Selects the destination of the next request.
   *
   * @param route - the route of the request
   * @returns the service to send the request to
   */
  next(route: MeshRoute): string {
    const { destinations } = route;
    const [only] = destinations;
    if (destinations.length === 1 && only !== undefined) {
      return only.service;
    }
    const { currentWeights } = this.stateOf(route);
    const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
    let selected = 0;
    destinations.forEach(({ weight }, index) => {
      currentWeights[index] = (currentWeights[index] ?? 0) + weight;
      if ((currentWeights[index] ?? 0) > (currentWeights[selected] ?? 0)) {
        selected = index;
      }
    });
    currentWeights[selected] = (currentWeights[selected] ?? 0) - total;
    return (destinations[selected] as Destination).service;
  }

  private stateOf({ name, destinations }: MeshRoute): RoundRobinState {
    const key = keyOf(destinations);
    const existing = this.states.get(name);
    if (existing?.destinationsKey === key) {
      return existing;
    }
    const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
    const offsets = destinations.map(({ weight }) => this.randomness.fraction() * weight);
    const offsetSum = offsets.reduce((sum, offset) => sum + offset, 0);
    // The offsets are shifted so that the current weights sum to zero.
    const initial = {
      destinationsKey: key,
      currentWeights: offsets.map((offset, index) => {
        const share = (destinations[index] as Destination).weight / Math.max(1, total);
        return offset - offsetSum * share;
      }),
    };
    this.states.set(name, initial);
    return initial;
  }
}
