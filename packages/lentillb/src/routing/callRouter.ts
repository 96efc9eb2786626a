/** Routes a caller's request to a backend server and retries it where that is safe. */
import type { IncomingHttpHeaders } from 'node:http';
import { Readable } from 'node:stream';
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import type { CallResponse, CallFailure, CallRequest, CallResult } from '../calls/call.js';
import { FailureReason, onForwarded } from '../calls/call.js';
import type { Cancellation } from '../calls/cancellation.js';
import { CancelReason } from '../calls/cancellation.js';
import { CallHeader, parseIntegerHeader, Outcome, forwardedHeaders } from '../calls/callHeaders.js';
import type { RequestBody } from '../calls/requestBody.js';
import { Deadline } from '../kernel/deadline.js';
import type { Services } from '../kernel/services.js';
import type { Endpoint } from '../membership/fleetView.js';
import type { LocatedRule } from '../rules/ruleFile.js';
import { Repetition } from '../rules/ruleForms.js';
import { EventKind } from '../timeline/event.js';
import { afterPendingInput } from '../utils/pendingInput.js';
import { endpointKey } from './endpointStats.js';
import { RetryBudget } from './retryBudget.js';
import type { RoutingTable } from './table/routingTable.js';

/** The maximum number of backend servers that one call is sent to, retries included. */
const MAX_SENDS_PER_CALL = 4;
/** The retry delay sent to callers when no backend server could take the call. */
const RETRY_AFTER_MS = 1_000;

/** A request as received from the caller. */
export interface IncomingCall {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingHttpHeaders;
  /** Reads the body; called at most once, after the call is admitted. */
  readonly readBody: () => Promise<Result<RequestBody, string>>;
  /**
   * The cancellation, triggered when the caller disconnects, and by the router when the deadline
   * passes.
   */
  readonly cancellation: Cancellation;
}

/** The result of a caller's request. */
export interface RoutedResult {
  /** The configuration version that was used; 0 if there was none. */
  readonly version: number;
  readonly result: CallResult;
}

/** A call that has a route and is admitted under its limits. */
interface RoutedCall {
  readonly table: RoutingTable;
  readonly route: LocatedRule<'route'>;
  readonly service: string;
  readonly request: IncomingCall;
  readonly deadline: Deadline;
  readonly body: RequestBody;
}

type Dependencies = Pick<
  Services,
  | 'balancer'
  | 'clock'
  | 'endpointStats'
  | 'gateClient'
  | 'limits'
  | 'metrics'
  | 'randomness'
  | 'tableStore'
  | 'timeline'
>;

function failure(
  outcome: Outcome,
  reason: FailureReason,
  message: string,
  retryAfterMs?: number,
): CallFailure {
  return { outcome, reason, message, retryAfterMs };
}

/** Routes calls by the current routing table. */
export class CallRouter {
  private readonly retryBudgets = new Map<string, RetryBudget>();

  private activeCalls = 0;

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /** The number of calls in progress. */
  get inFlight(): number {
    return this.activeCalls;
  }

  /**
   * Routes a request to a backend server.
   *
   * @param request - the caller's request
   * @returns the answer, whose body must be read or destroyed; or a failure that states the reason and
   *   whether the request may have run
   */
  async route(request: IncomingCall): Promise<RoutedResult> {
    const table = this.services.tableStore.current;
    if (table === undefined) {
      const message = 'this node holds no configuration yet; the call was not run';
      const reason = FailureReason.NoConfiguration;
      return { version: 0, result: Err(failure(Outcome.NotRun, reason, message, RETRY_AFTER_MS)) };
    }
    this.activeCalls += 1;
    try {
      return { version: table.version, result: await this.routeWithTable(table, request) };
    } finally {
      this.activeCalls -= 1;
    }
  }

  private async routeWithTable(table: RoutingTable, request: IncomingCall): Promise<CallResult> {
    const { clock, limits, randomness } = this.services;
    const route = table.route(request.method, request.target);
    if (route === undefined) {
      const message = `no route for ${request.method} ${request.target}; the call was not run`;
      return Err(failure(Outcome.NotRun, FailureReason.NoRoute, message));
    }
    const callerDeadlineMs =
      parseIntegerHeader(request.headers, CallHeader.DeadlineMs) ?? Number.POSITIVE_INFINITY;
    const deadline = Deadline.after(clock, Math.min(route.deadlineMs, callerDeadlineMs));
    const { cancellation } = request;
    const rules = table.limits(route, table.group(request.headers));
    const { priority } = route;
    const admission = await limits.admit(rules, { priority, deadline, cancellation });
    if (admission.isErr()) {
      return admission;
    }
    const service = table.splitTarget(route.service, request.headers, randomness);
    const body = await request.readBody();
    if (body.isErr()) {
      admission.value();
      const message = `request body was cut short: ${body.error}; the call was not run`;
      return Err(failure(Outcome.NotRun, FailureReason.CallerGone, message));
    }
    const clearDeadlineTimer = afterPendingInput(clock, deadline.remainingMs(), () =>
      cancellation.cancel(CancelReason.DeadlinePassed),
    );
    const cleanUp = (): void => {
      clearDeadlineTimer();
      admission.value();
    };
    const call = { table, route, service, request, deadline, body: body.value };
    const result = await this.sendWithRetries(call);
    if (result.isErr()) {
      cleanUp();
    } else {
      onForwarded(result.value, cleanUp);
    }
    return result;
  }

  /** Sends the call until it is answered, may not be sent again, or no backend server is left. */
  private async sendWithRetries(call: RoutedCall): Promise<CallResult> {
    const { service, table } = call;
    const triedEndpoints = new Set<string>();
    let unknownFailure: CallFailure | undefined;
    let notRunFailure: CallFailure | undefined;
    this.getOrCreateRetryBudget(service).deposit(table.retry(service)?.budgetPercent ?? 0);
    for (let attempt = 1; attempt <= MAX_SENDS_PER_CALL; attempt += 1) {
      const endpoint = this.services.balancer.choose(table, service, triedEndpoints);
      if (endpoint === undefined) {
        break;
      }
      triedEndpoints.add(endpointKey(endpoint));
      const result = await this.send(call, endpoint, attempt);
      if (result.isOk()) {
        return result;
      }
      if (result.error.outcome === Outcome.NotRun) {
        notRunFailure = result.error;
      } else {
        unknownFailure = result.error;
      }
      if (!this.canSendAgain(call, result.error, attempt)) {
        break;
      }
    }
    return Err(this.toFinalFailure(call, unknownFailure, notRunFailure));
  }

  private async send(
    call: RoutedCall,
    endpoint: Endpoint,
    attempt: number,
  ): Promise<Result<CallResponse, CallFailure>> {
    const { endpointStats, gateClient, timeline } = this.services;
    const { request, route, service, deadline, body } = call;
    const outgoing: CallRequest = {
      requestId: request.requestId,
      method: request.method,
      target: request.target,
      headers: forwardedHeaders(request.headers),
      body,
      service,
      backendServer: endpoint.id,
      priority: route.priority,
      deadline,
      attempt: (parseIntegerHeader(request.headers, CallHeader.Attempt) ?? 1) + attempt - 1,
      cancellation: request.cancellation,
    };
    endpointStats.recordStart(endpoint);
    const result = await gateClient.call(endpoint, outgoing);
    if (result.isOk()) {
      endpointStats.recordSuccess(endpoint);
      onForwarded(result.value, () => endpointStats.recordEnd(endpoint));
      return result;
    }
    endpointStats.recordEnd(endpoint);
    const isEndpointFailure =
      result.error.reason === FailureReason.ConnectFailed ||
      (result.error.reason === FailureReason.ConnectionLost &&
        request.cancellation.reason !== CancelReason.CallerGone);
    if (isEndpointFailure && endpointStats.recordFailure(endpoint)) {
      const backendServer = endpointKey(endpoint);
      timeline.record(EventKind.BackendServerEjected, { backendServer, service });
    }
    return result;
  }

  /**
   * Decides whether a failed call is sent to another backend server: not after it was cancelled, its
   * deadline has passed or its streamed body was read. Otherwise, a call that was certainly not run
   * may be sent again. A call that may have run also needs a repeatable route, attempts left in the
   * retry rule and a retry from the budget, and must not itself be a retry by the caller.
   */
  private canSendAgain(call: RoutedCall, lastFailure: CallFailure, attempt: number): boolean {
    const { deadline, request, route, service, table, body } = call;
    const { timeline, metrics } = this.services;
    if (request.cancellation.reason !== undefined || deadline.expired()) {
      return false;
    }
    if (body instanceof Readable && body.readableDidRead) {
      return false;
    }
    if (lastFailure.outcome === Outcome.NotRun) {
      return true;
    }
    const maxAttempts = table.retry(service)?.attempts ?? 1;
    const isCallerRetry = (parseIntegerHeader(request.headers, CallHeader.Attempt) ?? 1) > 1;
    if (route.repetition === Repetition.Once || attempt >= maxAttempts || isCallerRetry) {
      return false;
    }
    const { requestId } = request;
    if (!this.getOrCreateRetryBudget(service).tryWithdraw()) {
      timeline.record(EventKind.RetryBudgetExhausted, { service, requestId });
      return false;
    }
    metrics.count('retries', { service });
    timeline.record(EventKind.CallRetried, { service, requestId, detail: lastFailure.message });
    return true;
  }

  /**
   * Chooses the failure to report. A call that may have run keeps an unknown outcome, even if a
   * later attempt was refused without being run.
   */
  private toFinalFailure(
    call: RoutedCall,
    unknownFailure: CallFailure | undefined,
    notRunFailure: CallFailure | undefined,
  ): CallFailure {
    const { request, service } = call;
    const { requestId } = request;
    if (unknownFailure !== undefined) {
      const { message } = unknownFailure;
      this.services.timeline.record(EventKind.OutcomeUnknown, {
        service,
        requestId,
        detail: message,
      });
      const deadlinePassed = request.cancellation.reason === CancelReason.DeadlinePassed;
      const reason = deadlinePassed ? FailureReason.DeadlinePassed : unknownFailure.reason;
      return failure(Outcome.Unknown, reason, message);
    }
    if (notRunFailure !== undefined) {
      return { ...notRunFailure, retryAfterMs: notRunFailure.retryAfterMs ?? RETRY_AFTER_MS };
    }
    const message = `no backend server of "${service}" is ready; the call was not run`;
    const reason = FailureReason.NoBackendServer;
    return failure(Outcome.NotRun, reason, message, RETRY_AFTER_MS);
  }

  private getOrCreateRetryBudget(service: string): RetryBudget {
    const existing = this.retryBudgets.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const budget = new RetryBudget();
    this.retryBudgets.set(service, budget);
    return budget;
  }
}
