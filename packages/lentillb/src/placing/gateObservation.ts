/** Records this node's observations of one gate. */
import { SmoothedMean } from '../admission/smoothedMean.js';
import type { Clock } from '../kernel/clock.js';
import type { GateLoad } from '../directory/gateLoad.js';
import { FailureShare } from './failureShare.js';
import type { UsualLoad } from './usualLoad.js';

/** The maximum age of a mean service time; an idle gate is tried again once its mean expires. */
const MAX_SERVICE_TIME_AGE_MS = 2_000;
/**
 * The weight of a request that this node sent since the last report. Other nodes know the same
 * reports and act on them at the same time, so each own request stands for several. In runs with 72
 * entries, 3 to 10 shortened the queues by 9 to 29 %.
 */
const OWN_SEND_WEIGHT = 4;
/**
 * The maximum age of the load that the node of a gate reported by itself, in milliseconds: a few
 * report intervals, of which some may be lost.
 */
const MAX_SHARED_LOAD_AGE_MS = 2_000;
/**
 * The weight of a newly reported service time. A gate reports the mean of its last ten or so requests,
 * which varies between equal backend servers, and all nodes would follow it together.
 */
const REPORTED_TIME_WEIGHT = 0.15;
/** The factor of the earlier service time above which a backend server is taken to have become slow. */
const SLOWDOWN_FACTOR = 2;
/** The time for which an unreachable gate is first avoided; it doubles up to the maximum. */
const MIN_AVOIDANCE_MS = 250;
const MAX_AVOIDANCE_MS = 2_000;

/** Tracks the load, service time, failures and reachability of one gate. */
export class GateObservation {
  private readonly meanServiceMs = new SmoothedMean();

  private measuredAtMs = -Infinity;

  private inFlight = 0;

  private reportedLoad = 0;

  /** When the reported load was measured, as far as known. */
  private measuredLoadAtMs = -Infinity;

  private reportedAtMs = -Infinity;

  /** The number of requests started less those ended since the last load report. */
  private inFlightChange = 0;

  private sharedServiceMs: ReadonlyMap<number, number> = new Map();

  private sharedAtMs = -Infinity;

  private sharedIntervalMs = MAX_SHARED_LOAD_AGE_MS;

  private sharedFailureShare = 0;

  private readonly ownFailureShare: FailureShare;

  private reportedLimit: number | undefined;

  private hasStatedDeparture = false;

  private avoidUntilMs = -Infinity;

  private avoidMs = MIN_AVOIDANCE_MS;

  /**
   * @param clock - the clock by which reports age
   * @param slots - the number of slots of the backend server
   * @param usual - the usual load of the gates of the service in the zone
   */
  constructor(
    private readonly clock: Clock,
    private readonly slots: number,
    readonly usual: UsualLoad,
  ) {
    this.ownFailureShare = new FailureShare(clock);
  }

  /** Whether the backend server stated in an answer to this node that it is leaving. */
  get leaving(): boolean {
    return this.hasStatedDeparture;
  }

  /** Whether requests may be sent to the gate. */
  get reachable(): boolean {
    return this.clock.monotonicMs() >= this.avoidUntilMs;
  }

  /** The mean service time, in milliseconds; undefined if there is no recent sample. */
  get measuredMs(): number | undefined {
    return this.clock.monotonicMs() - this.measuredAtMs < MAX_SERVICE_TIME_AGE_MS
      ? this.meanServiceMs.value
      : undefined;
  }

  /**
   * Returns the service time that the node of the gate reported for a route.
   *
   * @param routeHash - the hash of the route's name
   * @returns the mean service time in milliseconds; undefined if there is no recent report of it
   */
  reportedServiceMs(routeHash: number): number | undefined {
    return this.hasSharedLoad ? this.sharedServiceMs.get(routeHash) : undefined;
  }

  /**
   * Estimates the service time at the gate. Its node has measured the route by the requests of all
   * hosts; this node has seen few of them, and those of other routes as well.
   *
   * @param routeHash - the hash of the name of the request's route
   * @param typicalMs - returns the typical service time at the gates of the service, in milliseconds;
   *   called only if neither node has a recent time
   * @returns the expected service time at this gate, in milliseconds
   */
  serviceMs(routeHash: number, typicalMs: () => number): number {
    return this.reportedServiceMs(routeHash) ?? this.measuredMs ?? typicalMs();
  }

  /** The reported share of the slots in use; undefined if there is no recent report. */
  get reportedShare(): number | undefined {
    return this.clock.monotonicMs() - this.reportedAtMs < MAX_SHARED_LOAD_AGE_MS
      ? this.reportedLoad / this.slots
      : undefined;
  }

  /**
   * Returns how much the last report still says about the load. Requests that were at the gate end
   * within about a service time, and others take their place.
   *
   * @param serviceMs - the mean service time at the gate, in milliseconds
   * @returns the weight of the report, from 0 to 1
   */
  reportWeight(serviceMs: number): number {
    return Math.exp((this.measuredLoadAtMs - this.clock.monotonicMs()) / serviceMs);
  }

  /**
   * Estimates the load: the older the report, the closer it is to the usual load of the zone.
   *
   * @param reportWeight - the weight of the last report, from 0 to 1
   * @returns the expected number of requests that run or wait at the gate
   */
  expectedLoad(reportWeight: number): number {
    const usualLoad = this.usual.share * this.slots;
    const reported = usualLoad + (this.reportedLoad - usualLoad) * reportWeight;
    return Math.max(this.inFlight, reported + OWN_SEND_WEIGHT * this.inFlightChange);
  }

  /** @returns the recent share of failures that this node or the node of the gate saw, from 0 to 1 */
  failureShare(): number {
    return Math.max(this.ownFailureShare.value, this.hasSharedLoad ? this.sharedFailureShare : 0);
  }

  /** @returns the requests per second that the backend server takes, if it stated a limit lately */
  limitPerSecond(): number | undefined {
    const ageMs = this.clock.monotonicMs() - this.reportedAtMs;
    return ageMs < MAX_SHARED_LOAD_AGE_MS ? this.reportedLimit : undefined;
  }

  /** Records that the backend server stated in an answer that it is leaving. */
  recordLeaving(): void {
    this.hasStatedDeparture = true;
  }

  /** Records that a request is sent. */
  recordStart(): void {
    this.inFlight += 1;
    this.inFlightChange += 1;
  }

  /** Records the end of a request, whatever its outcome. */
  recordEnd(): void {
    this.inFlight -= 1;
    this.inFlightChange -= 1;
  }

  /**
   * Records the load that the gate reported with an answer, which shows that it is reachable.
   *
   * @param load - the number of requests that run or wait at the gate
   * @param limitPerSecond - the requests per second that the backend server takes, if limited
   */
  recordLoad(load: number, limitPerSecond?: number): void {
    this.reportedAtMs = this.clock.monotonicMs();
    this.reportedLimit = limitPerSecond;
    this.setLoad(load, this.reportedAtMs);
    this.avoidUntilMs = -Infinity;
    this.avoidMs = MIN_AVOIDANCE_MS;
  }

  /**
   * Records the load and the service times that the node of the gate reported to all nodes of its
   * zone. It does not show whether the gate itself is reachable. It was measured about half an
   * interval of reports ago; the load in a reply that is newer is kept.
   *
   * @param report - the report
   */
  recordSharedLoad({ failureShare, limitPerSecond, load, serviceTimes }: GateLoad): void {
    this.sharedServiceMs = new Map(
      serviceTimes.map(({ meanMs, routeHash }) => [routeHash, this.smoothTime(routeHash, meanMs)]),
    );
    this.sharedFailureShare = failureShare;
    const nowMs = this.clock.monotonicMs();
    this.sharedIntervalMs = Math.min(MAX_SHARED_LOAD_AGE_MS, nowMs - this.sharedAtMs);
    this.sharedAtMs = nowMs;
    this.reportedAtMs = nowMs;
    this.reportedLimit = limitPerSecond;
    const measuredAtMs = nowMs - this.sharedIntervalMs / 2;
    if (measuredAtMs >= this.measuredLoadAtMs) {
      this.setLoad(load, measuredAtMs);
    } else {
      this.usual.add(load / this.slots);
    }
  }

  /**
   * Records the load of the gate on the host of this node.
   *
   * @param load - the number of requests that run or wait there now
   */
  recordOwnLoad(load: number): void {
    this.reportedLoad = load;
    this.measuredLoadAtMs = this.clock.monotonicMs();
    this.inFlightChange = 0;
  }

  /** Lets reported service times follow new reports slowly, unless the backend server became slow. */
  private smoothTime(routeHash: number, meanMs: number): number {
    const earlierMs = this.reportedServiceMs(routeHash);
    return earlierMs === undefined || meanMs > earlierMs * SLOWDOWN_FACTOR
      ? meanMs
      : earlierMs + (meanMs - earlierMs) * REPORTED_TIME_WEIGHT;
  }

  private setLoad(load: number, measuredAtMs: number): void {
    this.reportedLoad = load;
    this.measuredLoadAtMs = measuredAtMs;
    this.inFlightChange = 0;
    this.usual.add(load / this.slots);
  }

  /**
   * Records the service time of a request.
   *
   * @param serviceMs - the service time at the backend server, in milliseconds
   */
  recordServiceTime(serviceMs: number): void {
    this.meanServiceMs.add(serviceMs);
    this.measuredAtMs = this.clock.monotonicMs();
  }

  /**
   * Records whether a request failed.
   *
   * @param failed - whether the request failed
   */
  recordOutcome(failed: boolean): void {
    this.ownFailureShare.record(failed);
  }

  /** Records that the gate could not be reached, and avoids it for a while. */
  recordUnreachable(): void {
    if (this.reachable) {
      this.avoidUntilMs = this.clock.monotonicMs() + this.avoidMs;
      this.avoidMs = Math.min(MAX_AVOIDANCE_MS, this.avoidMs * 2);
    }
  }

  private get hasSharedLoad(): boolean {
    return this.clock.monotonicMs() - this.sharedAtMs < MAX_SHARED_LOAD_AGE_MS;
  }
}
