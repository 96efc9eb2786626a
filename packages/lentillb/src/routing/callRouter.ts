/** Carries a caller's request to a backend server, again where that is safe. */
import type { IncomingHttpHeaders } from 'node:http';
import { Readable } from 'node:stream';
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import type { CallAnswer, CallFailure, CallRequest, CallResult } from '../calls/call.js';
import { FailureReason, whenPassedOn } from '../calls/call.js';
import type { Cancellation } from '../calls/cancellation.js';
import { CancelReason } from '../calls/cancellation.js';
import { CallHeader, numberIn, Outcome, passedOnHeaders } from '../calls/callHeaders.js';
import type { RequestBody } from '../calls/requestBody.js';
import { Deadline } from '../kernel/deadline.js';
import type { Services } from '../kernel/services.js';
import type { Endpoint } from '../membership/fleetView.js';
import type { PlacedRule } from '../rules/ruleFile.js';
import { Repetition } from '../rules/ruleForms.js';
import { EventKind } from '../timeline/event.js';
import { endpointKey } from './endpointStats.js';
import { RetryBudget } from './retryBudget.js';
import type { RoutingTable } from './table/routingTable.js';

/** How often a call is offered to other backend servers after it was certainly not run. */
const MAX_NOT_RUN_TRIES = 4;
/** When to come back while nothing can take the call, in milliseconds. */
const RETRY_AFTER_MS = 1_000;

/** A request as the caller sent it. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingHttpHeaders;
  /** Reads the body; called at most once, after the call is admitted. */
  readonly readBody: () => Promise<Result<RequestBody, string>>;
  /** Cancelled when the caller goes away, and by the router when the deadline passes. */
  readonly cancellation: Cancellation;
}

/** What became of a caller's request, and the version that decided it. */
export interface RoutedResult {
  readonly version: number;
  readonly result: CallResult;
}

/** One call while it is under way. */
interface Journey {
  readonly table: RoutingTable;
  readonly route: PlacedRule<'route'>;
  readonly service: string;
  readonly request: CallerRequest;
  readonly deadline: Deadline;
  readonly body: RequestBody;
}

type Needs = Pick<
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

/** Routes calls. */
export class CallRouter {
  private readonly budgets = new Map<string, RetryBudget>();

  private active = 0;

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
  }

  /** How many calls are under way. */
  get inFlight(): number {
    return this.active;
  }

  /**
   * Carries a request to a backend server.
   *
   * @param request - the caller's request
   * @returns the answer, whose body must be read or destroyed; or the truth about why there is none
   */
  async route(request: CallerRequest): Promise<RoutedResult> {
    const table = this.services.tableStore.current;
    if (table === undefined) {
      const message = 'this node holds no configuration yet; the call was not run';
      const reason = FailureReason.NoConfiguration;
      return { version: 0, result: Err(failure(Outcome.NotRun, reason, message, RETRY_AFTER_MS)) };
    }
    this.active += 1;
    try {
      return { version: table.version, result: await this.routeBy(table, request) };
    } finally {
      this.active -= 1;
    }
  }

  private async routeBy(table: RoutingTable, request: CallerRequest): Promise<CallResult> {
    const { clock, limits, randomness } = this.services;
    const route = table.route(request.method, request.target);
    if (route === undefined) {
      const message = `no route for ${request.method} ${request.target}; the call was not run`;
      return Err(failure(Outcome.NotRun, FailureReason.NoRoute, message));
    }
    const givenMs = numberIn(request.headers, CallHeader.DeadlineMs) ?? Number.POSITIVE_INFINITY;
    const deadline = Deadline.after(clock, Math.min(route.deadlineMs, givenMs));
    const { cancellation } = request;
    const rules = table.limits(route, table.group(request.headers));
    const { priority } = route;
    const admitted = await limits.admit(rules, { priority, deadline, cancellation });
    if (admitted.isErr()) {
      return admitted;
    }
    const service = table.splitTarget(route.service, request.headers, randomness);
    const body = await request.readBody();
    if (body.isErr()) {
      admitted.value();
      const message = `request body was cut short: ${body.error}; the call was not run`;
      return Err(failure(Outcome.NotRun, FailureReason.CallerGone, message));
    }
    const forget = clock.after(deadline.remainingMs(), () =>
      cancellation.cancel(CancelReason.DeadlinePassed),
    );
    const finish = (): void => {
      forget();
      admitted.value();
    };
    const journey = { table, route, service, request, deadline, body: body.value };
    const result = await this.attempt(journey);
    if (result.isErr()) {
      finish();
    } else {
      whenPassedOn(result.value, finish);
    }
    return result;
  }

  /** Sends the call until it is answered, may have run once too often, or nothing is left to try. */
  private async attempt(journey: Journey): Promise<CallResult> {
    const { service, table } = journey;
    const tried = new Set<string>();
    let maybeRan: CallFailure | undefined;
    let refused: CallFailure | undefined;
    this.budgetOf(service).earn(table.retry(service)?.budgetPercent ?? 0);
    for (let attempt = 1; attempt <= MAX_NOT_RUN_TRIES; attempt += 1) {
      const endpoint = this.services.balancer.choose(table, service, tried);
      if (endpoint === undefined) {
        break;
      }
      tried.add(endpointKey(endpoint));
      const result = await this.send(journey, endpoint, attempt);
      if (result.isOk()) {
        return result;
      }
      if (result.error.outcome === Outcome.NotRun) {
        refused = result.error;
      } else {
        maybeRan = result.error;
      }
      if (!this.mayGoOn(journey, result.error, attempt)) {
        break;
      }
    }
    return Err(this.conclude(journey, maybeRan, refused));
  }

  private async send(
    journey: Journey,
    endpoint: Endpoint,
    attempt: number,
  ): Promise<Result<CallAnswer, CallFailure>> {
    const { endpointStats, gateClient, timeline } = this.services;
    const { request, route, service, deadline, body } = journey;
    const sent: CallRequest = {
      requestId: request.requestId,
      method: request.method,
      target: request.target,
      headers: passedOnHeaders(request.headers),
      body,
      service,
      backendServer: endpoint.id,
      priority: route.priority,
      deadline,
      attempt: (numberIn(request.headers, CallHeader.Attempt) ?? 1) + attempt - 1,
      cancellation: request.cancellation,
    };
    endpointStats.begin(endpoint);
    const result = await gateClient.call(endpoint, sent);
    if (result.isOk()) {
      endpointStats.succeed(endpoint);
      whenPassedOn(result.value, () => endpointStats.end(endpoint));
      return result;
    }
    endpointStats.end(endpoint);
    const atFault =
      result.error.reason === FailureReason.ConnectFailed ||
      (result.error.reason === FailureReason.ConnectionLost &&
        request.cancellation.reason !== CancelReason.CallerGone);
    if (atFault && endpointStats.fail(endpoint)) {
      const backendServer = endpointKey(endpoint);
      timeline.record(EventKind.BackendServerEjected, { backendServer, service });
    }
    return result;
  }

  private mayGoOn(journey: Journey, last: CallFailure, attempt: number): boolean {
    const { deadline, request, route, service, table, body } = journey;
    const { timeline, metrics } = this.services;
    if (request.cancellation.reason !== undefined || deadline.expired()) {
      return false;
    }
    if (body instanceof Readable && body.readableDidRead) {
      return false;
    }
    if (last.outcome === Outcome.NotRun) {
      return true;
    }
    const allowed = table.retry(service)?.attempts ?? 1;
    const fromRetry = (numberIn(request.headers, CallHeader.Attempt) ?? 1) > 1;
    if (route.repetition === Repetition.Once || attempt >= allowed || fromRetry) {
      return false;
    }
    const { requestId } = request;
    if (!this.budgetOf(service).spend()) {
      timeline.record(EventKind.RetryBudgetExhausted, { service, requestId });
      return false;
    }
    metrics.count('retries', { service });
    timeline.record(EventKind.CallRetried, { service, requestId, detail: last.message });
    return true;
  }

  /** A call that may have run stays in doubt, whatever was refused afterwards. */
  private conclude(
    journey: Journey,
    maybeRan: CallFailure | undefined,
    refused: CallFailure | undefined,
  ): CallFailure {
    const { request, service } = journey;
    const { requestId } = request;
    if (maybeRan !== undefined) {
      const { message } = maybeRan;
      this.services.timeline.record(EventKind.OutcomeUnknown, {
        service,
        requestId,
        detail: message,
      });
      const late = request.cancellation.reason === CancelReason.DeadlinePassed;
      const reason = late ? FailureReason.DeadlinePassed : maybeRan.reason;
      return failure(Outcome.Unknown, reason, message);
    }
    if (refused !== undefined) {
      return { ...refused, retryAfterMs: refused.retryAfterMs ?? RETRY_AFTER_MS };
    }
    const message = `no backend server of "${service}" is ready; the call was not run`;
    const reason = FailureReason.NoBackendServer;
    return failure(Outcome.NotRun, reason, message, RETRY_AFTER_MS);
  }

  private budgetOf(service: string): RetryBudget {
    const held = this.budgets.get(service);
    if (held !== undefined) {
      return held;
    }
    const budget = new RetryBudget();
    this.budgets.set(service, budget);
    return budget;
  }
}
