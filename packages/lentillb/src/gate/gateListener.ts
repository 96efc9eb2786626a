/** Receives calls from other nodes for the backend servers of this host. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Priority } from '../rules/ruleForms.js';
import { Deadline } from '../kernel/deadline.js';
import type { Services } from '../kernel/services.js';
import { CallHeader, parseIntegerHeader, Outcome, forwardedHeaders } from '../calls/callHeaders.js';
import { FailureReason } from '../calls/call.js';
import { cancelOnDisconnect } from '../calls/callerDisconnect.js';
import { CancelReason } from '../calls/cancellation.js';
import { readBody } from '../calls/requestBody.js';
import { sendResponse, sendFailure } from '../calls/respond.js';
import { HttpListener } from '../utils/httpListener.js';
import { afterPendingInput } from '../utils/pendingInput.js';

/** The maximum duration of a call whose request has no deadline header, in milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000;

type Dependencies = Pick<Services, 'announcer' | 'clock' | 'gate' | 'settings'>;

function headerOf(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

function priorityOf(request: IncomingMessage): Priority {
  const given = headerOf(request, CallHeader.Priority);
  return Object.values(Priority).find((priority) => priority === given) ?? Priority.Normal;
}

/** Listens on the gate port. */
export class GateListener {
  readonly http: HttpListener;

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
    this.http = new HttpListener((request, response) => {
      this.serve(request, response);
    });
  }

  /** Starts listening on the configured gate port. */
  async listen(): Promise<void> {
    const { announcer, settings } = this.services;
    announcer.ports.gatePort = await this.http.listen(settings.gatePort, settings.address);
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, gate } = this.services;
    const cancellation = cancelOnDisconnect(request, response);
    const body = await readBody(request);
    if (body.isErr()) {
      const message = `request body was cut short: ${body.error}`;
      const reason = FailureReason.CallerGone;
      sendFailure(response, { outcome: Outcome.NotRun, reason, message });
      return;
    }
    const deadlineMs =
      parseIntegerHeader(request.headers, CallHeader.DeadlineMs) ?? DEFAULT_DEADLINE_MS;
    // The deadline is also enforced here, because the other node may have stopped responding.
    const cancelTimer = afterPendingInput(clock, deadlineMs, () =>
      cancellation.cancel(CancelReason.DeadlinePassed),
    );
    response.once('close', cancelTimer);
    const result = await gate.call({
      requestId: headerOf(request, CallHeader.RequestId),
      method: request.method ?? 'GET',
      target: request.url ?? '/',
      headers: forwardedHeaders(request.headers),
      body: body.value,
      service: headerOf(request, CallHeader.Service),
      backendServer: headerOf(request, CallHeader.BackendServer),
      priority: priorityOf(request),
      deadline: Deadline.after(clock, deadlineMs),
      attempt: parseIntegerHeader(request.headers, CallHeader.Attempt) ?? 1,
      cancellation,
    });
    if (result.isOk()) {
      await sendResponse(response, result.value);
    } else {
      sendFailure(response, result.error);
    }
  }
}
