/**
 * Bounds how many requests a node sends to further backend servers. All nodes share the bound of
 * a service without asking each other: a node spends its own requests' share and its part of
 * the fixed amount. Answers a load in which every request fails at once, where unbounded
 * retries would multiply it.
 */
import type { Clock } from '../kernel/clock.js';

/** The bound that all nodes together keep, from the platform's terms. */
export interface RetryTerms {
  /** Retries allowed for each request within the window. */
  readonly ratio: number;
  /** Retries allowed besides, within the window, for the whole fleet. */
  readonly extra: number;
  readonly windowMs: number;
}

/** The part of the bound that nodes spend themselves; the rest covers calls that repeated runs make. */
const DIRECT_RETRY_SHARE = 0.8;

interface Usage {
  readonly requests: number[];
  readonly retries: number[];
}

function removeBefore(times: number[], beforeMs: number): void {
  const firstKeptIndex = times.findIndex((time) => time >= beforeMs);
  times.splice(0, firstKeptIndex < 0 ? times.length : firstKeptIndex);
}

/** The retries of this node, by service. */
export class RetryAllowance {
  private readonly usages = new Map<string, Usage>();

  /**
   * @param clock - the clock that the window goes by
   * @param terms - the bound of the whole fleet
   * @param nodeCount - how many nodes share it
   */
  constructor(
    private readonly clock: Clock,
    private readonly terms: RetryTerms,
    private readonly nodeCount: () => number,
  ) {}

  /** @param service - the service that a request goes to */
  recordRequest(service: string): void {
    this.usageOf(service).requests.push(this.clock.monotonicMs());
  }

  /**
   * @param service - the service that a request would be sent to again
   * @returns whether it may be sent; it then counts
   */
  tryAcquireRetry(service: string): boolean {
    const { extra, ratio } = this.terms;
    const usage = this.usageOf(service);
    const allowed = ratio * usage.requests.length + extra / Math.max(1, this.nodeCount());
    if (usage.retries.length + 1 > allowed * DIRECT_RETRY_SHARE) {
      return false;
    }
    usage.retries.push(this.clock.monotonicMs());
    return true;
  }

  private usageOf(service: string): Usage {
    const usage = this.usages.get(service) ?? { requests: [], retries: [] };
    this.usages.set(service, usage);
    const beforeMs = this.clock.monotonicMs() - this.terms.windowMs;
    removeBefore(usage.requests, beforeMs);
    removeBefore(usage.retries, beforeMs);
    return usage;
  }
}
