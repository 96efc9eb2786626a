/** Admits calls to the backend servers of this host. */
import { Err } from 'ts-results-es';
import type { CallFailure, CallRequest, CallResult } from '../calls/call.js';
import {
  FailureReason,
  admissionFailureReasons,
  onForwarded,
  cancelledBeforeForwarding,
} from '../calls/call.js';
import type { Release } from '../calls/admissionQueue.js';
import { CallHeader, Outcome } from '../calls/callHeaders.js';
import { exchange } from '../calls/httpExchange.js';
import type { Services } from '../kernel/services.js';
import { ANY_PORT } from '../rules/valueCodecs.js';
import { EventKind } from '../timeline/event.js';
import type { LocalServer } from './backendServerRegistry.js';
import { ServerState } from './backendServerRegistry.js';

/** The time after which callers may retry at a full backend server, in milliseconds. */
const FULL_RETRY_AFTER_MS = 1_000;

type Dependencies = Pick<
  Services,
  'backendServerRegistry' | 'callerPresence' | 'tableStore' | 'timeline'
>;

function notRunFailure(reason: FailureReason, message: string, retryAfterMs?: number): CallFailure {
  return { outcome: Outcome.NotRun, reason, message, retryAfterMs };
}

/** Queues calls for the slots of the backend servers of this host, and forwards them. */
export class CallGate {
  private draining = false;

  private callsInFlight = 0;

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /** The number of calls that backend servers of this host are handling. */
  get inFlight(): number {
    return this.callsInFlight;
  }

  /** Refuses new and waiting calls from now on. Admitted calls continue. */
  startDraining(): void {
    this.draining = true;
    this.services.backendServerRegistry.all().forEach(({ admission }) => admission.rejectWaiting());
  }

  /**
   * Sends a call to a backend server of this host once it has a free slot.
   *
   * @param request - the call
   * @returns the response, whose body must be read or destroyed, or the reason why there is none
   */
  async call(request: CallRequest): Promise<CallResult> {
    const { backendServerRegistry, callerPresence, timeline } = this.services;
    const server = backendServerRegistry.get(request.backendServer);
    const refusal = this.findRefusal(request, server);
    if (refusal !== undefined || server === undefined) {
      return Err(
        refusal ?? notRunFailure(FailureReason.UnknownBackendServer, 'no such backend server'),
      );
    }
    const admitted = await server.admission.admit(request);
    if (admitted.isErr()) {
      timeline.record(EventKind.CallShed, {
        backendServer: server.id,
        service: server.service,
        requestId: request.requestId,
        detail: admitted.error,
      });
      const message = `backend server ${server.id}: ${admitted.error}; the call was not run`;
      return Err(
        notRunFailure(admissionFailureReasons[admitted.error], message, FULL_RETRY_AFTER_MS),
      );
    }
    const { cancellation, deadline } = request;
    const cancelled = await callerPresence.confirmArrival({
      cancellation,
      deadlineAtMs: deadline.atMs,
    });
    if (cancelled !== undefined) {
      admitted.value();
      return Err(cancelledBeforeForwarding(cancelled));
    }
    const refusalAfterWait = this.findRefusal(request, backendServerRegistry.get(server.id));
    if (refusalAfterWait !== undefined) {
      admitted.value();
      return Err(refusalAfterWait);
    }
    return this.send(request, server, admitted.value);
  }

  private findRefusal(
    request: CallRequest,
    server: LocalServer | undefined,
  ): CallFailure | undefined {
    const { backendServer: id, service } = request;
    if (server === undefined || server.service !== service) {
      const message = `backend server ${id} of service "${service}" is not on this host`;
      return notRunFailure(FailureReason.UnknownBackendServer, message);
    }
    const rule = this.services.tableStore.current?.service(service);
    if (rule !== undefined && rule.port !== ANY_PORT && rule.port !== server.port) {
      const message = `backend server ${id} listens on port ${server.port}, the rules say ${rule.port}`;
      return notRunFailure(FailureReason.UnknownBackendServer, message);
    }
    if (this.draining || server.state !== ServerState.Ready) {
      return notRunFailure(FailureReason.Draining, `backend server ${id} is leaving; try another`);
    }
    return undefined;
  }

  private async send(
    request: CallRequest,
    server: LocalServer,
    release: Release,
  ): Promise<CallResult> {
    this.callsInFlight += 1;
    const finish = (): void => {
      this.callsInFlight -= 1;
      release();
    };
    const result = await exchange(server.pool, {
      origin: `http://${server.address}:${server.port}`,
      method: request.method,
      target: request.target,
      headers: {
        ...request.headers,
        [CallHeader.RequestId]: request.requestId,
        [CallHeader.DeadlineMs]: String(Math.floor(request.deadline.remainingMs())),
        [CallHeader.Attempt]: String(request.attempt),
      },
      body: request.body,
      cancellation: request.cancellation,
      toGate: false,
    });
    if (result.isErr()) {
      finish();
    } else {
      onForwarded(result.value, finish);
    }
    return result;
  }
}
