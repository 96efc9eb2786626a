/** What this node has seen of one gate it sends requests to. */
import type { Clock } from '../kernel/clock.js';
import { SmoothedMean } from './smoothedMean.js';

/** How long a measured time counts in full, in milliseconds; an idle gate is tried again after it. */
const MAX_SERVICE_TIME_AGE_MS = 2_000;
/** How long a load that a gate reported is trusted, in milliseconds: about one request's time. */
const MAX_LOAD_AGE_MS = 1_000;
/** The half-life of what failures say about a gate, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 1_000;
/** What one request weighs in the share of failures. */
const FAILURE_WEIGHT = 0.15;
/** How long a gate that could not be reached is avoided, in milliseconds; it doubles up to the most. */
const MIN_AVOIDANCE_MS = 250;
const MAX_AVOIDANCE_MS = 2_000;

/** What was seen of one gate. */
export class GateObservation {
  private readonly meanServiceMs = new SmoothedMean();

  private measuredAtMs = -Infinity;

  private inFlight = 0;

  private reportedLoad = 0;

  private reportedAtMs = -Infinity;

  /** Requests sent less requests ended since the load was reported. */
  private inFlightChange = 0;

  private failures = 0;

  private failuresAtMs = 0;

  private avoidUntilMs = -Infinity;

  private avoidMs = MIN_AVOIDANCE_MS;

  constructor(private readonly clock: Clock) {}

  /** Whether requests may be sent there. */
  get reachable(): boolean {
    return this.clock.monotonicMs() >= this.avoidUntilMs;
  }

  /** The measured time a request takes there, in milliseconds, while it is fresh. */
  get measuredMs(): number | undefined {
    return this.clock.monotonicMs() - this.measuredAtMs < MAX_SERVICE_TIME_AGE_MS
      ? this.meanServiceMs.value
      : undefined;
  }

  /**
   * @param typicalMs - what a request takes at gates of its service, in milliseconds
   * @returns what a request is expected to take once it runs there, in milliseconds
   */
  serviceMs(typicalMs: number): number {
    return this.measuredMs ?? typicalMs;
  }

  /** @returns how many requests are there now, as far as this node knows */
  load(): number {
    const fresh = this.clock.monotonicMs() - this.reportedAtMs < MAX_LOAD_AGE_MS;
    return fresh ? Math.max(this.inFlight, this.reportedLoad + this.inFlightChange) : this.inFlight;
  }

  /** @returns the recent share of failures, from 0 to 1 */
  failureShare(): number {
    const ageMs = this.clock.monotonicMs() - this.failuresAtMs;
    return this.failures * 0.5 ** (ageMs / FAILURE_HALF_LIFE_MS);
  }

  /** Notes a request that is sent. */
  recordStart(): void {
    this.inFlight += 1;
    this.inFlightChange += 1;
  }

  /** Notes the end of a request, whatever came of it. */
  recordEnd(): void {
    this.inFlight -= 1;
    this.inFlightChange -= 1;
  }

  /**
   * Notes the load that the gate reported with an answer.
   *
   * @param load - requests that run or wait there
   */
  recordLoad(load: number): void {
    this.reportedLoad = load;
    this.reportedAtMs = this.clock.monotonicMs();
    this.inFlightChange = 0;
    this.avoidUntilMs = -Infinity;
    this.avoidMs = MIN_AVOIDANCE_MS;
  }

  /** @param serviceMs - how long the backend server took over a request, in milliseconds */
  recordServiceTime(serviceMs: number): void {
    this.meanServiceMs.add(serviceMs);
    this.measuredAtMs = this.clock.monotonicMs();
  }

  /** @param failed - whether a request failed there */
  recordOutcome(failed: boolean): void {
    const share = this.failureShare();
    this.failures = share + ((failed ? 1 : 0) - share) * FAILURE_WEIGHT;
    this.failuresAtMs = this.clock.monotonicMs();
  }

  /** Notes that the gate could not be reached. */
  recordUnreachable(): void {
    if (this.reachable) {
      this.avoidUntilMs = this.clock.monotonicMs() + this.avoidMs;
      this.avoidMs = Math.min(MAX_AVOIDANCE_MS, this.avoidMs * 2);
    }
  }
}
