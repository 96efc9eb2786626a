/** Who this node is, among its own restarts. */
import type { Clock } from './clock.js';

/** The identity of one run of a node on its host. */
export class Identity {
  private current: number;

  /** @param services - the clock, whose wall-clock time numbers the run */
  constructor({ clock }: { readonly clock: Clock }) {
    this.current = clock.now().getTime();
  }

  /** The number of this run: larger than that of every earlier run on this host. */
  get incarnation(): number {
    return this.current;
  }

  /**
   * Takes a larger number, where an earlier run turns out to have had one that is not smaller
   * because the host's clock went back.
   *
   * @param earlier - the number of the earlier run
   */
  surpass(earlier: number): void {
    this.current = Math.max(this.current, earlier + 1);
  }
}
