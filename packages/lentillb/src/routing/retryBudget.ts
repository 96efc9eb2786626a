/** Bounds retries to a share of the calls, so that an outage does not multiply load. */

/** How many retries may be saved up while calls succeed. */
const MAX_SAVED_RETRIES = 10;
const FULL_PERCENT = 100;

/** The retries that a service's calls may use. */
export class RetryBudget {
  private saved = MAX_SAVED_RETRIES;

  /** @param percent - how many retries every hundred calls allow */
  earn(percent: number): void {
    this.saved = Math.min(MAX_SAVED_RETRIES, this.saved + percent / FULL_PERCENT);
  }

  /** @returns whether a retry was left and has been used */
  spend(): boolean {
    if (this.saved < 1) {
      return false;
    }
    this.saved -= 1;
    return true;
  }
}
