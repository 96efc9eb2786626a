/** Sends calls to the gate on a backend server's host: within this process, or over HTTP. */
import { Agent } from 'undici';
import { Err } from 'ts-results-es';
import type { CallRequest, CallResult } from '../calls/call.js';
import { cancelledBeforeForwarding } from '../calls/call.js';
import { CallHeader } from '../calls/callHeaders.js';
import { exchange } from '../calls/httpExchange.js';
import type { HeaderFields } from '../calls/callHeaders.js';
import type { Services } from '../kernel/services.js';
import type { Endpoint } from '../membership/fleetView.js';

const MAX_CONNECTIONS_PER_GATE = 128;
const CONNECT_TIMEOUT_MS = 1_000;
/**
 * The idle time after which a connection is closed, well before the gate would close it, to avoid
 * calls on a closing connection.
 */
const KEEP_ALIVE_TIMEOUT_MS = 3_000;

type Dependencies = Pick<Services, 'callerPresence' | 'gate' | 'settings'>;

/** Forwards calls to local and remote gates. */
export class GateClient {
  private readonly agent = new Agent({
    connections: MAX_CONNECTIONS_PER_GATE,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
    pipelining: 1,
  });

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /**
   * Sends a call to a backend server through the gate on its host.
   *
   * @param endpoint - the backend server
   * @param request - the call
   * @returns the answer, or a failure that states the reason and whether the call may have run
   */
  async call(endpoint: Endpoint, request: CallRequest): Promise<CallResult> {
    return endpoint.host === this.services.settings.host
      ? this.services.gate.call(request)
      : this.callRemote(endpoint, request);
  }

  /** Closes all connections to gates. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async callRemote(endpoint: Endpoint, request: CallRequest): Promise<CallResult> {
    const cancelled = await this.services.callerPresence.confirmArrival({
      cancellation: request.cancellation,
      deadlineAtMs: request.deadline.atMs,
    });
    if (cancelled !== undefined) {
      return Err(cancelledBeforeForwarding(cancelled));
    }
    const headers: HeaderFields = {
      ...request.headers,
      [CallHeader.RequestId]: request.requestId,
      [CallHeader.Service]: request.service,
      [CallHeader.BackendServer]: request.backendServer,
      [CallHeader.Priority]: request.priority,
      [CallHeader.DeadlineMs]: String(Math.floor(request.deadline.remainingMs())),
      [CallHeader.Attempt]: String(request.attempt),
    };
    const { method, target, body, cancellation } = request;
    const origin = `http://${endpoint.address}:${endpoint.gatePort}`;
    return exchange(this.agent, {
      origin,
      method,
      target,
      headers,
      body,
      cancellation,
      toGate: true,
    });
  }
}
