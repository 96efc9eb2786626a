/** Derives from the platform's bound how much may be granted beyond a customer's rate and burst. */
import type { Customer } from '../configuration/meshConfiguration.js';

const MS_PER_SECOND = 1_000;
/** The share of the tolerance that covers leases of hosts that can't be heard. */
const OVERCOMMIT_SHARE = 0.4;
/** How often the overcommitment can be granted at once: by a former allocator and by its successor. */
const OVERCOMMITS = 2;
/**
 * The shares of `overshoot` and `slack` that cover buckets that save a whole token where their share is
 * less, and a deeper pool. Small customers, for whom `slack` is most of the tolerance, need them most.
 */
const ROUNDING_OVERSHOOT_SHARE = 0.2;
const ROUNDING_SLACK_SHARE = 0.45;

/**
 * The bound on a customer's requests: no window may have more than the rate over the window and the
 * burst, times 1 + `overshoot`, plus `slack`.
 */
export interface QuotaTerms {
  /** The length of the window, in milliseconds. */
  readonly windowMs: number;
  readonly overshoot: number;
  /** In requests. */
  readonly slack: number;
}

/** The bound where the platform states none. */
export const DEFAULT_QUOTA_TERMS: QuotaTerms = { windowMs: 5_000, overshoot: 0.1, slack: 20 };

/** The limits of one customer; the rest of the tolerance covers delays between admission and run. */
export interface Quota {
  /** The hash of the customer's name. */
  readonly customerHash: number;
  readonly ratePerSecond: number;
  /** The tokens that a bucket saves for each token per second of its rate. */
  readonly burstSeconds: number;
  /** The rate that may be granted while others that can't be heard may hold the whole rate. */
  readonly overcommitPerSecond: number;
  /** The tokens that all buckets may save beyond their shares of the burst. */
  readonly roundingTokens: number;
}

/**
 * Derives the limits of a customer.
 *
 * @param customer - the customer
 * @param customerHash - the hash of its name
 * @param terms - the bound
 * @returns the limits
 */
export function deriveQuota(
  { burst, ratePerSecond }: Pick<Customer, 'burst' | 'ratePerSecond'>,
  customerHash: number,
  { overshoot, slack, windowMs }: QuotaTerms,
): Quota {
  const windowSeconds = windowMs / MS_PER_SECOND;
  const excess = overshoot * (windowSeconds * ratePerSecond + burst);
  const burstSeconds = burst / ratePerSecond;
  return {
    customerHash,
    ratePerSecond,
    burstSeconds,
    overcommitPerSecond:
      (OVERCOMMIT_SHARE * (excess + slack)) / OVERCOMMITS / (windowSeconds + burstSeconds),
    roundingTokens: ROUNDING_OVERSHOOT_SHARE * excess + ROUNDING_SLACK_SHARE * slack,
  };
}
