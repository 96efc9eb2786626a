/** Limits retries to a percentage of calls, so that an outage does not multiply the load. */

/** The maximum number of retries that calls can accumulate. */
const MAX_BALANCE_RETRIES = 10;
const FULL_PERCENT = 100;

/** The retries available to the calls of one service; starts full. */
export class RetryBudget {
  private balance = MAX_BALANCE_RETRIES;

  /**
   * Adds the share of a retry that one call allows.
   *
   * @param percent - the retries allowed per hundred calls
   */
  deposit(percent: number): void {
    this.balance = Math.min(MAX_BALANCE_RETRIES, this.balance + percent / FULL_PERCENT);
  }

  /** @returns true if a retry was available and has been taken */
  tryWithdraw(): boolean {
    if (this.balance < 1) {
      return false;
    }
    this.balance -= 1;
    return true;
  }
}
