/** Serves the requests of other nodes at the gate, and tells them what has become of a request. */
import { Err } from 'ts-results-es';
import { Outcome } from '../calls/callHeaders.js';
import type { DeliveryReply } from '../directory/delivery.js';
import type { Clock } from '../kernel/clock.js';
import { waitForPendingInput } from '../utils/pendingInput.js';
import type { CallerRequest, EntryAnswer } from './entry.js';
import type { Gate } from './gate.js';
import { decodeRequest, deliveryKeyOf, encodeReply, processHeader } from './gateProtocol.js';
import type { HeaderNames } from './headerNames.js';
import type { ForwardedRequest, GateReply } from './messages.js';
import { FailureCause } from './messages.js';
import { ReceivedRequests } from './receivedRequests.js';

/**
 * The turns of the event loop in which a request that another node asks for is awaited: its connection
 * is accepted, it is read, and the end of its connection would be read.
 */
const MAX_ARRIVAL_TURNS = 3;
const BAD_REQUEST = 400;

/** The gate of a node as other nodes reach it. */
export class GateServer {
  private readonly received: ReceivedRequests;

  /**
   * @param services - the clock and the gate
   * @param options - the header names of callers, and the identity of this process
   */
  constructor(
    private readonly services: { readonly clock: Clock; readonly gate: Pick<Gate, 'serve'> },
    private readonly options: { readonly names: HeaderNames; readonly processId: number },
  ) {
    this.received = new ReceivedRequests(services.clock);
  }

  /**
   * Serves a request of another node.
   *
   * @param request - the request as it arrived
   * @param isFirstOnConnection - whether no other request has come on its connection before
   * @returns the answer to the other node
   */
  async serve(request: CallerRequest, isFirstOnConnection: boolean): Promise<EntryAnswer> {
    const { names, processId } = this.options;
    const forwarded = decodeRequest(this.services.clock, names, request);
    if (forwarded === undefined) {
      return { status: BAD_REQUEST, headers: {}, body: Buffer.alloc(0) };
    }
    const { body, headers, status } = encodeReply(await this.serveOnce(forwarded));
    const process = isFirstOnConnection ? processHeader(processId) : {};
    return { status, headers: { ...headers, ...process }, body };
  }

  /**
   * Tells another node what has become of a request. One that has not arrived will not run.
   *
   * @param key - the key under which the other node sent it
   * @returns the reply
   */
  async inquire(key: string): Promise<DeliveryReply> {
    // While this process is busy, it reads datagrams before connections that wait to be accepted.
    for (let turn = 0; turn < MAX_ARRIVAL_TURNS && !this.received.isKnown(key); turn += 1) {
      await waitForPendingInput();
    }
    return { key, state: this.received.inquire(key), processId: this.options.processId };
  }

  /** Serves a request, unless the other node was told that it has not run. */
  private async serveOnce(request: ForwardedRequest): Promise<GateReply> {
    const { gate } = this.services;
    const key = deliveryKeyOf(request);
    if (key === undefined) {
      return gate.serve(request);
    }
    if (!this.received.admit(key)) {
      const failure = { outcome: Outcome.NotRun, cause: FailureCause.ConnectionSilent };
      return { result: Err(failure), report: undefined };
    }
    const reply = await gate.serve(request);
    const isNotRun = reply.result.isErr() && reply.result.error.outcome === Outcome.NotRun;
    this.received.recordEnd(key, !isNotRun);
    return reply;
  }
}
