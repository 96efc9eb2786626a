/**
 * Generates random numbers from a seed. It is injected wherever needed, so that runs are
 * reproducible.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** A source of random numbers. */
export interface Randomness {
  /** @returns a number from 0 (inclusive) to 1 (exclusive) */
  fraction(): number;
  /**
   * @param bound - the exclusive upper bound, at least 1
   * @returns an integer from 0 (inclusive) to the bound (exclusive)
   */
  integer(bound: number): number;
}

const FRACTION_STEPS = 2 ** 31;

/** A pseudo-random number generator; equal seeds give equal sequences. */
export class SeededRandomness implements Randomness {
  private readonly generator: RandomGenerator;

  /** @param seed - any integer */
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
