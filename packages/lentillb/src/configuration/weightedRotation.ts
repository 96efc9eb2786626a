/**
 * Divides the requests of a route among its destinations. Answers a load in which shares are
 * compared over a few hundred requests: a smooth rotation stays within one request of each weight,
 * where independent random choices would stray by several in a hundred.
 */
import type { Randomness } from '../kernel/randomness.js';
import type { Destination, MeshRoute } from './meshConfiguration.js';

interface Rotation {
  readonly key: string;
  readonly credits: number[];
}

function keyOf(destinations: readonly Destination[]): string {
  return destinations.map(({ service, weight }) => `${service}=${weight}`).join(' ');
}

/** One rotation for each route that is divided. */
export class WeightedRotation {
  private readonly rotations = new Map<string, Rotation>();

  /** @param randomness - where each rotation starts, so that nodes do not move in step */
  constructor(private readonly randomness: Randomness) {}

  /**
   * @param route - the route of a request
   * @returns the service this request goes to
   */
  next(route: MeshRoute): string {
    const { destinations } = route;
    const [only] = destinations;
    if (destinations.length === 1 && only !== undefined) {
      return only.service;
    }
    const { credits } = this.rotationOf(route);
    const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
    let best = 0;
    destinations.forEach(({ weight }, index) => {
      credits[index] = (credits[index] ?? 0) + weight;
      if ((credits[index] ?? 0) > (credits[best] ?? 0)) {
        best = index;
      }
    });
    credits[best] = (credits[best] ?? 0) - total;
    return (destinations[best] as Destination).service;
  }

  private rotationOf({ name, destinations }: MeshRoute): Rotation {
    const key = keyOf(destinations);
    const held = this.rotations.get(name);
    if (held?.key === key) {
      return held;
    }
    const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
    const credits = destinations.map(({ weight }) => this.randomness.fraction() * weight);
    const excess = credits.reduce((sum, credit) => sum + credit, 0);
    const started = {
      key,
      credits: credits.map((credit, index) => {
        const share = (destinations[index] as Destination).weight / Math.max(1, total);
        return credit - excess * share;
      }),
    };
    this.rotations.set(name, started);
    return started;
  }
}
