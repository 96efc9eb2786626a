/** Amounts that are forgotten over time, to compare what several kinds had lately. */
import type { Clock } from '../kernel/clock.js';

/** After this time an amount counts half, in milliseconds: a few times the longest usual run. */
const HALF_LIFE_MS = 2_000;

interface Share {
  amount: number;
  atMs: number;
}

/** Decaying amounts by key. */
export class DecayingShares {
  private readonly shares = new Map<number, Share>();

  /** @param clock - the clock that amounts decay by */
  constructor(private readonly clock: Clock) {}

  /**
   * @param key - whose amount
   * @returns what is left of it
   */
  of(key: number): number {
    const share = this.shares.get(key);
    if (share === undefined) {
      return 0;
    }
    return share.amount * 0.5 ** ((this.clock.monotonicMs() - share.atMs) / HALF_LIFE_MS);
  }

  /**
   * @param key - whose amount
   * @param amount - what is added to it
   */
  add(key: number, amount: number): void {
    this.shares.set(key, { amount: this.of(key) + amount, atMs: this.clock.monotonicMs() });
  }
}
