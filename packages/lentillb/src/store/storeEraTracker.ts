/**
 * Tracks the era of the store. After an outage the store may continue from an older copy: records
 * that it had acknowledged are gone, and their offsets are given out again. The era in its answers
 * then rises, and what was read or written before is no longer certain to be in the store.
 */
import type { StoreEra } from './keyedStore.js';

/** Knows the highest era that this node has heard of, from the store or from other nodes. */
export class StoreEraTracker {
  private era: StoreEra;

  private readonly listeners: ((era: number) => void)[] = [];

  /** The current era; undefined until an answer has named one. */
  get current(): StoreEra {
    return this.era;
  }

  /**
   * Records the era named by an answer of the store or by another node. Listeners are called before
   * this returns if the store went back since the last answer.
   *
   * @param era - the era, or undefined if none was named, which counts as the current one
   * @returns whether the answer belongs to the current era
   */
  observe(era: StoreEra): boolean {
    if (era === undefined || era === this.era) {
      return true;
    }
    if (this.era === undefined) {
      this.era = era;
      return true;
    }
    if (era < this.era) {
      return false;
    }
    this.era = era;
    this.listeners.forEach((listener) => listener(era));
    return true;
  }

  /** @param listener - called each time the store has gone back to an older copy */
  subscribe(listener: (era: number) => void): void {
    this.listeners.push(listener);
  }
}
