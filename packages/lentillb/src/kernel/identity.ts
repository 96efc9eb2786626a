/** Distinguishes the runs of a node across restarts. */
import type { Clock } from './clock.js';

/** The identity of one run of a node on its host. */
export class Identity {
  private currentIncarnation: number;

  /** @param services - the clock; its wall-clock time is the initial incarnation */
  constructor({ clock }: { readonly clock: Clock }) {
    this.currentIncarnation = clock.now().getTime();
  }

  /** The number of this run; larger than that of every earlier run on this host. */
  get incarnation(): number {
    return this.currentIncarnation;
  }

  /**
   * Raises the incarnation above that of an earlier run. Needed if the clock of the host was set
   * back between the runs.
   *
   * @param earlier - the incarnation of the earlier run
   */
  advancePast(earlier: number): void {
    this.currentIncarnation = Math.max(this.currentIncarnation, earlier + 1);
  }
}
