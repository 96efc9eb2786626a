/** Seeded randomness, passed in wherever a decision is random, so that runs can be repeated. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** A source of random numbers. */
export interface Randomness {
  /** @returns a number from 0 up to, not including, 1 */
  fraction(): number;
  /**
   * @param bound - the exclusive upper bound, at least 1
   * @returns a whole number from 0 up to, not including, the bound
   */
  integer(bound: number): number;
}

const FRACTION_STEPS = 2 ** 31;

/** Randomness that repeats itself for equal seeds. */
export class SeededRandomness implements Randomness {
  private readonly generator: RandomGenerator;

  /** @param seed - any whole number */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  fraction(): number {
    return this.integer(FRACTION_STEPS) / FRACTION_STEPS;
  }

  integer(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }
}
