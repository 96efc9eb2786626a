/** Enforces the rate and concurrency limits of routes and caller groups on this node. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { AdmissionRequest, Release } from '../calls/admissionQueue.js';
import { AdmissionQueue } from '../calls/admissionQueue.js';
import type { CallFailure } from '../calls/call.js';
import { FailureReason, admissionFailureReasons } from '../calls/call.js';
import { Outcome } from '../calls/callHeaders.js';
import type { Clock } from '../kernel/clock.js';
import type { LimitRule } from './table/routingTable.js';
import { TokenBucket } from './tokenBucket.js';

/** The capacity of a token bucket: the calls that the rate allows in this many seconds. */
const BURST_CAPACITY_SECONDS = 1;
/** The retry delay sent to callers when the queue of a limit is full. */
const QUEUE_FULL_RETRY_AFTER_MS = 1_000;

interface Limit {
  readonly rule: LimitRule;
  readonly bucket: TokenBucket;
  readonly admission: AdmissionQueue;
}

function limitName(rule: LimitRule): string {
  return rule.kind === 'limitGroup' ? `group ${rule.group}` : `route ${rule.method} ${rule.path}`;
}

function notRunFailure(reason: FailureReason, message: string, retryAfterMs: number): CallFailure {
  return { outcome: Outcome.NotRun, reason, message, retryAfterMs };
}

/** Admits calls under the limits of the current routing table. */
export class Limits {
  private readonly limitsByName = new Map<string, Limit>();

  constructor(private readonly services: { readonly clock: Clock }) {}

  /**
   * Acquires admission under every given limit, or under none of them.
   *
   * @param rules - the limits that apply to the call
   * @param request - the priority, deadline and cancellation of the call
   * @returns a function that releases all limits, or the failure to return to the caller
   */
  async admit(
    rules: readonly LimitRule[],
    request: AdmissionRequest,
  ): Promise<Result<Release, CallFailure>> {
    const releases: Release[] = [];
    const releaseAll = (): void => releases.forEach((release) => release());
    for (const rule of rules) {
      const limit = this.getOrCreateLimit(rule);
      if (!limit.bucket.tryTake()) {
        releaseAll();
        const message = `limit of ${limitName(rule)}: more than ${rule.ratePerSecond} calls a second`;
        return Err(notRunFailure(FailureReason.RateLimited, message, limit.bucket.waitMs));
      }
      const admitted = await limit.admission.admit(request);
      if (admitted.isErr()) {
        releaseAll();
        const message = `limit of ${limitName(rule)}: ${admitted.error}`;
        return Err(
          notRunFailure(
            admissionFailureReasons[admitted.error],
            message,
            QUEUE_FULL_RETRY_AFTER_MS,
          ),
        );
      }
      releases.push(admitted.value);
    }
    return Ok(releaseAll);
  }

  /**
   * Finds the state of a limit. It survives a new configuration version: the token bucket while the
   * rate is unchanged, the admission queue always.
   */
  private getOrCreateLimit(rule: LimitRule): Limit {
    const { clock } = this.services;
    const name = limitName(rule);
    const existing = this.limitsByName.get(name);
    if (existing?.rule === rule) {
      return existing;
    }
    const { ratePerSecond } = rule;
    const bucket =
      existing?.rule.ratePerSecond === ratePerSecond
        ? existing.bucket
        : new TokenBucket(clock, ratePerSecond, ratePerSecond * BURST_CAPACITY_SECONDS);
    const currentBounds = (): { maxConcurrent: number; maxWaiting: number } => {
      const current = this.limitsByName.get(name)?.rule ?? rule;
      return { maxConcurrent: current.concurrency, maxWaiting: current.queue };
    };
    const admission = existing?.admission ?? new AdmissionQueue(clock, currentBounds);
    const limit = { rule, bucket, admission };
    this.limitsByName.set(name, limit);
    return limit;
  }
}
