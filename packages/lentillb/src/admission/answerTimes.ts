/** Tracks how long the requests of each route have taken lately until their answers. */
import { RecentMaximum } from '../utils/recentMaximum.js';
import { SmoothedMean } from './smoothedMean.js';

interface RouteTimes {
  readonly usual: SmoothedMean;
  readonly longest: RecentMaximum;
}

/** The times until answers by route, in milliseconds. */
export class AnswerTimes {
  private readonly byRoute = new Map<string, RouteTimes>();

  /**
   * @param route - the name of a route
   * @returns the usual time of its requests, in milliseconds; 0 before the first answer
   */
  usualMs(route: string): number {
    return this.byRoute.get(route)?.usual.value ?? 0;
  }

  /**
   * @param route - the name of a route
   * @returns the longest time that one of its last hundred requests took, in milliseconds
   */
  longestMs(route: string): number {
    return this.byRoute.get(route)?.longest.value ?? 0;
  }

  /**
   * Records the time of a request that was answered.
   *
   * @param route - the name of its route
   * @param elapsedMs - the time until its answer, in milliseconds
   */
  recordAnswer(route: string, elapsedMs: number): void {
    const times = this.timesOf(route);
    times.usual.add(elapsedMs);
    times.longest.add(elapsedMs);
  }

  /**
   * Records the time of a request that was cut off, which would have taken longer.
   *
   * @param route - the name of its route
   * @param elapsedMs - the time until it was cut off, in milliseconds
   */
  recordCut(route: string, elapsedMs: number): void {
    this.timesOf(route).longest.add(elapsedMs);
  }

  private timesOf(route: string): RouteTimes {
    const known = this.byRoute.get(route);
    if (known !== undefined) {
      return known;
    }
    const times = { usual: new SmoothedMean(), longest: new RecentMaximum() };
    this.byRoute.set(route, times);
    return times;
  }
}
