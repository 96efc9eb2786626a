/** Defines the clock of a simulated host. */
import { ManualClock } from './manualClock.js';

/** The clock of a host that is suspended now and then; its monotonic time stops meanwhile. */
export class HostClock extends ManualClock {
  /**
   * @param elapsed - returns the time since the start, in milliseconds
   * @param suspended - returns how much of it the host was suspended, in milliseconds
   */
  constructor(
    private readonly elapsed: () => number,
    private readonly suspended: () => number,
  ) {
    super();
  }

  override now(): Date {
    return new Date(super.now().getTime() + this.elapsed());
  }

  override monotonicMs(): number {
    return this.elapsed() - this.suspended();
  }
}
