/**
 * Forwards callers' requests to the gates of backend servers. A request that gets no answer is
 * refused only if it has certainly not run, so that its caller may safely send it again.
 */
import type { Allotments } from '../allotments/index.js';
import { AnswerTimes } from '../admission/answerTimes.js';
import {
  BEHIND_RETRY_AFTER_MS,
  chooseRetryAfterMs,
  UNCONFIGURED_RETRY_AFTER_MS,
  UNSERVED_RETRY_AFTER_MS,
  waitWithoutReportMs,
} from '../admission/retryAfter.js';
import { WaitLimit } from '../admission/slotQueue.js';
import { parseIntegerHeader, Outcome, forwardedHeaders } from '../calls/callHeaders.js';
import type { HeaderFields } from '../calls/callHeaders.js';
import { Cancellation, CancelReason } from '../calls/cancellation.js';
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { ConfigurationStatus } from '../configuration/configurationStatus.js';
import type { MeshRoute } from '../configuration/meshConfiguration.js';
import type { SmoothWeightedRoundRobin } from '../configuration/smoothWeightedRoundRobin.js';
import type { KeyDenial, RequestOwner } from '../customers/keyCheck.js';
import { KeyCheck } from '../customers/keyCheck.js';
import type { Directory, GateEndpoint } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import type { GateObservations } from '../placing/gateObservations.js';
import type { Placement, GateSelector } from '../placing/gateSelector.js';
import { Refusals } from '../refusals/refusals.js';
import { Repetition } from '../rules/ruleForms.js';
import { hash32 } from '../utils/hash.js';
import type { GateForwarder } from './gateForwarder.js';
import type { HeaderNames } from './headerNames.js';
import { Attempts } from './attempts.js';
import type { BackendAnswer, CallerRequest, ForwardedRequest, GateReply } from './messages.js';
import { FailureCause } from '../calls/failureCause.js';
import { isServerFailure, isUnrelatedToHost } from './serverFailure.js';
import { readStatement } from './serverStatement.js';
import type { RetryAllowance } from './retryAllowance.js';
import type { StopTimes } from './stopTimes.js';
import { endsInTime } from './stopTimes.js';
import type { SuspectGuard } from './suspectGuard.js';
import { SuspectVerdict } from './suspectRequests.js';

/** The answer that the caller receives. */
export interface EntryAnswer {
  readonly status: number;
  readonly headers: HeaderFields;
  readonly body: Buffer;
}

/** The services that an entry depends on. */
export interface EntryServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly configuration: ConfigurationHolder;
  readonly status: Pick<ConfigurationStatus, 'fields' | 'newerVersion'>;
  readonly rotation: SmoothWeightedRoundRobin;
  readonly directory: Directory;
  readonly observations: GateObservations;
  readonly gateSelector: Pick<GateSelector, 'choose' | 'countCandidates'>;
  readonly gateForwarder: Pick<GateForwarder, 'call'>;
  readonly allowance: RetryAllowance;
  readonly suspectGuard: SuspectGuard;
  readonly log: DecisionLog;
  readonly metrics: MetricsRegistry;
  /** Keeps customers within their rates. */
  readonly quotas: Pick<Allotments, 'admit'>;
  /** Returns the gates with a version that may get a request, by default all. */
  readonly filterVersions?: (
    attempts: Attempts,
    all: readonly GateEndpoint[],
  ) => readonly GateEndpoint[];
}

export interface EntryOptions {
  /** The header names of callers and backend servers. */
  readonly names: HeaderNames;
  /** The service of the backend server on this host. */
  readonly callerService: string;
}

const HttpStatus = {
  Unauthorized: 401,
  NotFound: 404,
  ServerError: 500,
  BadGateway: 502,
  Unavailable: 503,
  GatewayTimeout: 504,
} as const;

/**
 * The maximum number of gates asked for a slot within the target latency, before the request is
 * queued.
 */
const MAX_ON_TIME_ATTEMPTS = 2;
/** The share of the typical service time that must remain before the deadline for a retry. */
const MIN_RETRY_TIME_SHARE = 0.7;

/** Cancels a request when its caller leaves, until the returned function is called. */
function linkCancellation(caller: Cancellation, attempts: Cancellation): () => void {
  return caller.onCancel(() => attempts.cancel(caller.reason ?? CancelReason.CallerGone));
}

/** Forwards the requests of the callers on this host. */
export class Entry {
  /** The times of the planned stop of this node; undefined if it is not being stopped. */
  private stopTimes: StopTimes | undefined;

  /** The cancellations of the requests in flight. */
  private readonly inFlight = new Set<Cancellation>();

  private readonly answerTimes = new AnswerTimes();

  /** The longest deadline of callers by route, in milliseconds: that of a first attempt. */
  private readonly longestDeadlineMsByRoute = new Map<string, number>();

  private readonly keyCheck: KeyCheck;

  private readonly refusals: Refusals;

  constructor(
    private readonly services: EntryServices,
    private readonly options: EntryOptions,
  ) {
    this.keyCheck = new KeyCheck(services, options.names.customer);
    this.refusals = new Refusals(services, options.names.requestId);
  }

  /**
   * Takes only requests that are expected to end before the node does.
   *
   * @param stopTimes - the times of the planned stop
   */
  startStopping(stopTimes: StopTimes): void {
    this.stopTimes = stopTimes;
  }

  /**
   * Ends the requests in flight, so that their callers get an answer before the process ends.
   *
   * @returns the number of requests that were in flight
   */
  endAll(): number {
    const { size } = this.inFlight;
    [...this.inFlight].forEach((cancellation) => cancellation.cancel(CancelReason.NodeEnding));
    return size;
  }

  /**
   * Serves a request.
   *
   * @param request - the caller's request
   * @returns the answer for the caller
   */
  async serve(request: CallerRequest): Promise<EntryAnswer> {
    if (request.cancellation.reason !== undefined) {
      return this.refusals.refuse(request, FailureCause.CallerGone, 0);
    }
    const table = this.services.configuration.current;
    if (table === undefined) {
      return this.refusals.refuse(request, 'no-configuration', UNCONFIGURED_RETRY_AFTER_MS);
    }
    const route = table.find(request.headers.host ?? '', request.target);
    if (route === undefined) {
      return this.answerMissingRoute(request);
    }
    const owner = this.keyCheck.identify(request, route);
    if (owner.isErr()) {
      return this.deny(request, route, owner.error);
    }
    const quota = this.services.quotas.admit(owner.value.customer?.name);
    const admitted = quota instanceof Promise ? await quota : quota;
    if (admitted.isErr()) {
      const { retryAfterMs } = admitted.error;
      const customer = owner.value.customer?.name ?? '';
      return this.refusals.refuseOverQuota(request, retryAfterMs, { route: route.name, customer });
    }
    const answer = await this.serveAdmitted(request, route, owner.value);
    if (answer.status === HttpStatus.Unavailable) {
      // It has not run, so it does not count.
      admitted.value.giveBack();
    }
    return answer;
  }

  private async serveAdmitted(
    request: CallerRequest,
    route: MeshRoute,
    owner: RequestOwner,
  ): Promise<EntryAnswer> {
    const forwarded = this.toForwardedRequest(request, route, owner);
    this.logIfBehind(forwarded);
    if (!this.endsInTime(forwarded)) {
      return this.refusals.refuse(request, FailureCause.ShuttingDown, this.untilCallersMovedMs());
    }
    const isCall = owner.hasCustomers && owner.customer === undefined;
    this.services.allowance.recordRequest(forwarded.service, isCall);
    const { trialHostHash, trialInMs, verdict } = this.services.suspectGuard.judge(forwarded);
    if (verdict === SuspectVerdict.Blocked) {
      return this.refusals.refuse(request, FailureCause.SuspectRequest, trialInMs);
    }
    const attempts = new Attempts(forwarded, route, trialHostHash);
    if (trialHostHash !== undefined && this.candidatesFor(attempts).length === 0) {
      return this.refusals.refuse(request, FailureCause.SuspectRequest, UNSERVED_RETRY_AFTER_MS);
    }
    const stopLink = linkCancellation(request.cancellation, forwarded.cancellation);
    this.inFlight.add(forwarded.cancellation);
    const answer = await this.firstAnswer(attempts);
    this.inFlight.delete(forwarded.cancellation);
    stopLink();
    // Ends the attempts that are still under way.
    forwarded.cancellation.cancel(CancelReason.AnsweredElsewhere);
    return answer === undefined
      ? this.answerFailure(request, attempts)
      : this.deliverAnswer(request, attempts, answer);
  }

  /** Whether a request is expected to end before this node does. */
  private endsInTime({ deadlineAtMs, route, service }: ForwardedRequest): boolean {
    const { clock, directory, observations } = this.services;
    if (this.stopTimes === undefined) {
      return true;
    }
    const endpoints = directory.endpointsOf(service);
    const usualMs = Math.max(
      observations.typicalServiceMs(endpoints, hash32(route)),
      this.answerTimes.usualMs(route),
    );
    const longestMs = this.answerTimes.longestMs(route);
    return endsInTime(this.stopTimes, clock.monotonicMs(), { deadlineAtMs, usualMs, longestMs });
  }

  /** The time until callers have moved to other nodes, before which they would be refused here again. */
  private untilCallersMovedMs(): number {
    const { gateClosesAtMs } = this.stopTimes ?? { gateClosesAtMs: 0 };
    return Math.max(0, gateClosesAtMs - this.services.clock.monotonicMs());
  }

  /** A route that is missing may be one of a version that this node has heard of and not got yet. */
  private answerMissingRoute(request: CallerRequest): EntryAnswer {
    const { fields, newerVersion } = this.services.status;
    if (newerVersion !== undefined) {
      return this.refusals.refuse(request, 'newer-configuration', BEHIND_RETRY_AFTER_MS, fields);
    }
    return this.refusals.fail(request, 'no-route', HttpStatus.NotFound, fields);
  }

  /** Answers a request that has no valid key. */
  private deny(request: CallerRequest, route: MeshRoute, denial: KeyDenial): EntryAnswer {
    const fields = { ...this.services.status.fields, route: route.name };
    if (!denial.isFinal) {
      return this.refusals.refuse(request, denial.cause, BEHIND_RETRY_AFTER_MS, fields);
    }
    const headers = { 'www-authenticate': 'Bearer' };
    return this.refusals.fail(request, denial.cause, HttpStatus.Unauthorized, fields, headers);
  }

  /** Records by which version a request is routed while this node knows that a newer one exists. */
  private logIfBehind({ requestId, route, service }: ForwardedRequest): void {
    const { log, status } = this.services;
    if (status.newerVersion !== undefined) {
      const fields = { requestId, route, service, ...status.fields };
      log.record(Importance.Notable, 'routed-by-earlier-version', fields);
    }
  }

  /** Returns the gates that may get a request: those of its service, in a trial only one of them. */
  private candidatesFor(attempts: Attempts): readonly GateEndpoint[] {
    const all = this.services.directory.endpointsOf(attempts.request.service);
    const candidates = this.services.filterVersions?.(attempts, all) ?? all;
    return attempts.trialHostHash === undefined
      ? candidates
      : candidates.filter(({ host }) => hash32(host) === attempts.trialHostHash);
  }

  /**
   * Returns the first answer of the attempts; undefined once none can arrive any more. Attempts on
   * hosts that stopped responding may be at work there, so they are awaited to their deadline.
   */
  private async firstAnswer(attempts: Attempts): Promise<BackendAnswer | undefined> {
    const { lateAnswers } = attempts;
    const answer = await Promise.race([this.tryGates(attempts), lateAnswers.first]);
    return answer ?? Promise.race([lateAnswers.first, lateAnswers.untilEnded()]);
  }

  private toForwardedRequest(
    request: CallerRequest,
    route: MeshRoute,
    owner: RequestOwner,
  ): ForwardedRequest {
    const { callerService, names } = this.options;
    const { arrivedAtMs, body, headers, method, target } = request;
    const requestedMs = parseIntegerHeader(headers, names.deadlineMs) ?? route.timeoutMs;
    const longestMs = Math.max(requestedMs, this.longestDeadlineMsByRoute.get(route.name) ?? 0);
    this.longestDeadlineMsByRoute.set(route.name, longestMs);
    const requestId = headers[names.requestId];
    // The gate sets the time that remains when it sends the request.
    const passedOn = forwardedHeaders(headers, names.deadlineMs);
    const outgoingHeaders = this.keyCheck.ownedHeaders(passedOn, owner);
    outgoingHeaders[names.callerService] = callerService;
    if (typeof requestId === 'string') {
      outgoingHeaders[names.requestId] = requestId;
    }
    return {
      requestId: typeof requestId === 'string' ? requestId : '',
      method,
      target,
      headers: outgoingHeaders,
      body,
      service: this.services.rotation.next(route),
      route: route.name,
      priority: route.priority,
      customer: owner.customer?.name,
      customerPriority: owner.customer?.priority ?? 0,
      repeatable: route.repetition === Repetition.Repeat,
      targetLatencyMs: route.targetLatencyMs,
      // A shorter deadline than that of a first attempt shows how long the caller has been trying.
      targetAtMs: arrivedAtMs + route.targetLatencyMs - (longestMs - requestedMs),
      deadlineAtMs: Math.min(
        arrivedAtMs + Math.min(requestedMs, route.timeoutMs),
        this.stopTimes?.endsAtMs ?? Infinity,
      ),
      waitLimit: WaitLimit.OnTime,
      transmission: 0,
      cancellation: new Cancellation(),
    };
  }

  /** Tries gates in turn; returns undefined when no gate gives an answer. */
  private async tryGates(attempts: Attempts): Promise<BackendAnswer | undefined> {
    for (let attempt = 0; attempt < MAX_ON_TIME_ATTEMPTS; attempt += 1) {
      const placement = this.choosePlacement(
        attempts,
        new Set([...attempts.excluded, ...attempts.saturated]),
      );
      if (placement === undefined) {
        break;
      }
      if (placement.expectedMs > this.remainingTargetMs(attempts)) {
        break;
      }
      const answer = await this.sendToGate(attempts, placement, WaitLimit.OnTime);
      if (answer !== undefined || !this.mayRetry(attempts)) {
        return answer;
      }
    }
    return this.queueUntilDeadline(attempts);
  }

  /** Queues the request until its deadline at the best gate, though its answer will be late. */
  private async queueUntilDeadline(attempts: Attempts): Promise<BackendAnswer | undefined> {
    const placement = this.choosePlacement(attempts, attempts.excluded);
    if (placement === undefined) {
      return undefined;
    }
    return this.sendToGate(attempts, placement, WaitLimit.UntilDeadline);
  }

  private choosePlacement(
    attempts: Attempts,
    excluded: ReadonlySet<string>,
  ): Placement | undefined {
    const { route, routeHash } = attempts;
    return this.services.gateSelector.choose({
      candidates: this.candidatesFor(attempts),
      excluded,
      targetMs: route.targetLatencyMs,
      bodyBytes: attempts.request.body.length,
      routeHash,
    });
  }

  private async sendToGate(
    attempts: Attempts,
    { endpoint, expectedMs }: Placement,
    waitLimit: WaitLimit,
  ): Promise<BackendAnswer | undefined> {
    const { gateForwarder, observations } = this.services;
    const observation = observations.of(endpoint);
    observation.recordStart();
    // eslint-disable-next-line no-param-reassign -- the attempts of one request are recorded in place
    attempts.transmissions += 1;
    const { transmissions: transmission } = attempts;
    const sent = { ...attempts.request, transmission, waitLimit };
    const reply = await gateForwarder.call(endpoint, sent, expectedMs);
    observation.recordEnd();
    this.recordReply(endpoint, reply);
    if (reply.result.isErr()) {
      const failure = reply.result.error;
      if (reply.lateReply === undefined) {
        attempts.recordFailure(endpoint.host, failure);
      } else {
        attempts.recordSilence(endpoint.host, failure);
        attempts.lateAnswers.add(this.lateAnswer(attempts, endpoint, reply.lateReply));
      }
      return undefined;
    }
    const answer = reply.result.value;
    attempts.recordRun(endpoint.host);
    if (answer.status < HttpStatus.ServerError) {
      this.services.suspectGuard.recordAnswered(attempts.request);
      return answer;
    }
    attempts.recordFailedRun(answer);
    return undefined;
  }

  private async lateAnswer(
    attempts: Attempts,
    endpoint: Placement['endpoint'],
    lateReply: Promise<GateReply>,
  ): Promise<BackendAnswer | undefined> {
    const reply = await lateReply;
    this.recordReply(endpoint, reply);
    const { result } = reply;
    attempts.recordLateEnd(result);
    return result.isOk() && result.value.status < HttpStatus.ServerError ? result.value : undefined;
  }

  private recordReply(endpoint: Placement['endpoint'], { report, result }: GateReply): void {
    const observation = this.services.observations.of(endpoint);
    if (report !== undefined) {
      observation.recordLoad(report.load, report.limitPerSecond);
    }
    if (result.isOk()) {
      if (readStatement(result.value.headers, this.options.names).leaving) {
        // The node beside the backend server may be restarted and forget it, or be late to tell.
        observation.recordLeaving();
      }
      const failed = result.value.status >= HttpStatus.ServerError;
      observation.recordOutcome(failed);
      if (!failed && report !== undefined) {
        observation.recordServiceTime(report.serviceMs);
      }
      return;
    }
    const { cause } = result.error;
    if (report === undefined && isUnrelatedToHost(cause)) {
      return;
    }
    if (isServerFailure(result.error)) {
      observation.recordOutcome(true);
    }
    if (report === undefined) {
      observation.recordUnreachable();
    }
  }

  private mayRetry(attempts: Attempts): boolean {
    const { allowance, clock } = this.services;
    const { failure, mayHaveRun, request, route, routeHash, sent } = attempts;
    if (failure === undefined || request.cancellation.reason !== undefined) {
      return false;
    }
    if (failure.cause === FailureCause.SuspectRequest || attempts.trialHostHash !== undefined) {
      return false;
    }
    if (mayHaveRun && !request.repeatable) {
      return false;
    }
    const typicalMs = this.services.observations.typicalServiceMs(
      this.services.directory.endpointsOf(request.service),
      routeHash,
    );
    if (request.deadlineAtMs - clock.monotonicMs() < typicalMs * MIN_RETRY_TIME_SHARE) {
      return false;
    }
    const reachedBackendServer =
      failure.outcome === Outcome.Unknown || failure.cause === FailureCause.Rejected;
    if (!reachedBackendServer) {
      return true;
    }
    return sent < route.maxBackendServers && allowance.tryAcquireRetry(request.service);
  }

  private deliverAnswer(
    request: CallerRequest,
    { request: { customer, requestId, service }, route, sent }: Attempts,
    answer: BackendAnswer,
  ): EntryAnswer {
    const { clock, metrics, log } = this.services;
    const elapsedMs = clock.monotonicMs() - request.arrivedAtMs;
    metrics.count('entry_answers', { route: route.name, status: `${answer.status}` });
    metrics.observe('entry_latency_ms', elapsedMs, { route: route.name });
    const late = elapsedMs > route.targetLatencyMs;
    this.answerTimes.recordAnswer(route.name, elapsedMs);
    log.record(late ? Importance.Notable : Importance.Ordinary, 'request-answered', {
      requestId,
      route: route.name,
      service,
      customer,
      status: answer.status,
      late,
      elapsedMs: Math.round(elapsedMs),
      targetMs: route.targetLatencyMs,
      priority: route.priority,
      sent,
      configurationVersion: this.services.configuration.version,
    });
    return answer;
  }

  private answerFailure(request: CallerRequest, attempts: Attempts): EntryAnswer {
    const { clock, randomness } = this.services;
    const { failure, fallback, minWaitMs, mayHaveRun, request: forwarded, route } = attempts;
    if (fallback !== undefined) {
      return this.deliverAnswer(request, attempts, fallback);
    }
    const isEnding = forwarded.cancellation.reason === CancelReason.NodeEnding;
    const cause = isEnding ? FailureCause.ShuttingDown : (failure?.cause ?? 'no-backend-server');
    const remainingMs = forwarded.deadlineAtMs - clock.monotonicMs();
    const fields = {
      route: route.name,
      service: forwarded.service,
      sent: attempts.sent,
      leftMs: Math.round(remainingMs),
    };
    if (mayHaveRun) {
      this.answerTimes.recordCut(route.name, clock.monotonicMs() - request.arrivedAtMs);
      const timedOut = cause === FailureCause.DeadlinePassed;
      const status = timedOut ? HttpStatus.GatewayTimeout : HttpStatus.BadGateway;
      return this.refusals.fail(request, cause, status, fields);
    }
    const waitMs = Number.isFinite(minWaitMs) ? minWaitMs : waitWithoutReportMs(cause);
    const { directory, gateSelector } = this.services;
    return this.refusals.refuse(
      request,
      cause,
      chooseRetryAfterMs({ waitMs, remainingMs }, randomness),
      {
        ...fields,
        ...gateSelector.countCandidates(directory.endpointsOf(forwarded.service)),
      },
    );
  }

  private remainingTargetMs({ request }: Attempts): number {
    return request.targetAtMs - this.services.clock.monotonicMs();
  }
}
