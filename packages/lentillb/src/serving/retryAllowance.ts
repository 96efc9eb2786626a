/**
 * Limits the retries that a node sends to further backend servers, because unlimited retries would
 * multiply the load when every request fails at once. All nodes share the limit of a service
 * without coordination: each node uses the ratio of its own requests and its part of the fixed
 * amount.
 */
import type { Clock } from '../kernel/clock.js';

/** The retry limit for all nodes together, as the platform sets it. */
export interface RetryTerms {
  /** The retries allowed per request within the window. */
  readonly ratio: number;
  /** The additional retries allowed within the window, for all nodes together. */
  readonly extra: number;
  /** The length of the sliding window, in milliseconds. */
  readonly windowMs: number;
}

/** The share of the limit for direct retries; the rest covers calls that repeated runs make. */
const DIRECT_RETRY_SHARE = 0.8;
/**
 * The share of the limit that direct retries leave where all requests to a service are calls. The runs
 * that make them are repeated at up to the ratio of their own service.
 */
const CALL_SHARE = 0.35;

interface Usage {
  readonly requests: number[];
  /** The times of those requests that are calls of runs. */
  readonly calls: number[];
  readonly retries: number[];
}

function removeBefore(times: number[], beforeMs: number): void {
  const firstKeptIndex = times.findIndex((time) => time >= beforeMs);
  times.splice(0, firstKeptIndex < 0 ? times.length : firstKeptIndex);
}

/** Counts the requests and retries of this node by service. */
export class RetryAllowance {
  private readonly usages = new Map<string, Usage>();

  /**
   * @param clock - the clock for the sliding window
   * @param terms - the limit for all nodes together
   * @param nodeCount - returns the number of nodes that share the limit
   */
  constructor(
    private readonly clock: Clock,
    private readonly terms: RetryTerms,
    private readonly nodeCount: () => number,
  ) {}

  /**
   * Counts a request, which raises the limit.
   *
   * @param service - the service that the request is for
   * @param isCall - whether a run is known to have made the request
   */
  recordRequest(service: string, isCall = false): void {
    const { calls, requests } = this.usageOf(service);
    const nowMs = this.clock.monotonicMs();
    requests.push(nowMs);
    if (isCall) {
      calls.push(nowMs);
    }
  }

  /**
   * Reserves a retry if the limit allows it.
   *
   * @param service - the service that the request would be retried on
   * @returns whether the retry is allowed; an allowed retry counts as sent
   */
  tryAcquireRetry(service: string): boolean {
    const { extra, ratio } = this.terms;
    const usage = this.usageOf(service);
    const allowed = ratio * usage.requests.length + extra / Math.max(1, this.nodeCount());
    const callShare = usage.calls.length / Math.max(1, usage.requests.length);
    if (usage.retries.length + 1 > allowed * (DIRECT_RETRY_SHARE - CALL_SHARE * callShare)) {
      return false;
    }
    usage.retries.push(this.clock.monotonicMs());
    return true;
  }

  private usageOf(service: string): Usage {
    const usage = this.usages.get(service) ?? { requests: [], calls: [], retries: [] };
    this.usages.set(service, usage);
    const beforeMs = this.clock.monotonicMs() - this.terms.windowMs;
    removeBefore(usage.requests, beforeMs);
    removeBefore(usage.calls, beforeMs);
    removeBefore(usage.retries, beforeMs);
    return usage;
  }
}
