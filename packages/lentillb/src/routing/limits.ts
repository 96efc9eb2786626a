/** Enforces the limits of routes and caller groups on this node. */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { AdmissionRequest, Release } from '../calls/admissionQueue.js';
import { AdmissionQueue } from '../calls/admissionQueue.js';
import type { CallFailure } from '../calls/call.js';
import { FailureReason, refusalReasons } from '../calls/call.js';
import { Outcome } from '../calls/callHeaders.js';
import type { Clock } from '../kernel/clock.js';
import type { LimitRule } from './table/routingTable.js';
import { TokenBucket } from './tokenBucket.js';

/** Calls saved up for a burst, in seconds of the rate. */
const BURST_SECONDS = 1;
/** When to come back after a full queue, in milliseconds. */
const FULL_RETRY_AFTER_MS = 1_000;

interface Limit {
  readonly rule: LimitRule;
  readonly bucket: TokenBucket;
  readonly admission: AdmissionQueue;
}

function nameOf(rule: LimitRule): string {
  return rule.kind === 'limitGroup' ? `group ${rule.group}` : `route ${rule.method} ${rule.path}`;
}

function notRun(reason: FailureReason, message: string, retryAfterMs: number): CallFailure {
  return { outcome: Outcome.NotRun, reason, message, retryAfterMs };
}

/** The limits in force. */
export class Limits {
  private readonly byName = new Map<string, Limit>();

  constructor(private readonly services: { readonly clock: Clock }) {}

  /**
   * Takes a place under every limit, or none.
   *
   * @param rules - the limits the call has to pass
   * @param request - the call
   * @returns what gives all places back, or the answer to the caller
   */
  async admit(
    rules: readonly LimitRule[],
    request: AdmissionRequest,
  ): Promise<Result<Release, CallFailure>> {
    const releases: Release[] = [];
    const releaseAll = (): void => releases.forEach((release) => release());
    for (const rule of rules) {
      const limit = this.limitOf(rule);
      if (!limit.bucket.take()) {
        releaseAll();
        const message = `limit of ${nameOf(rule)}: more than ${rule.ratePerSecond} calls a second`;
        return Err(notRun(FailureReason.RateLimited, message, limit.bucket.waitMs));
      }
      const admitted = await limit.admission.admit(request);
      if (admitted.isErr()) {
        releaseAll();
        const message = `limit of ${nameOf(rule)}: ${admitted.error}`;
        return Err(notRun(refusalReasons[admitted.error], message, FULL_RETRY_AFTER_MS));
      }
      releases.push(admitted.value);
    }
    return Ok(releaseAll);
  }

  /** The state of a limit goes on through versions that leave its rate as it is. */
  private limitOf(rule: LimitRule): Limit {
    const { clock } = this.services;
    const name = nameOf(rule);
    const held = this.byName.get(name);
    if (held?.rule === rule) {
      return held;
    }
    const { ratePerSecond } = rule;
    const bucket =
      held?.rule.ratePerSecond === ratePerSecond
        ? held.bucket
        : new TokenBucket(clock, ratePerSecond, ratePerSecond * BURST_SECONDS);
    const bounds = (): { places: number; queue: number } => {
      const current = this.byName.get(name)?.rule ?? rule;
      return { places: current.concurrency, queue: current.queue };
    };
    const admission = held?.admission ?? new AdmissionQueue(clock, bounds);
    const limit = { rule, bucket, admission };
    this.byName.set(name, limit);
    return limit;
  }
}
