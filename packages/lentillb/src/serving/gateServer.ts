/** Serves the requests of other nodes at the gate, and tells them what has become of a request. */
import { Err } from 'ts-results-es';
import { Outcome } from '../calls/callHeaders.js';
import type { DeliveryQuestion, DeliveryState } from '../directory/delivery.js';
import type { Clock } from '../kernel/clock.js';
import { waitForPendingInput } from '../utils/pendingInput.js';
import { decodeQuestions, encodeStates, isInquiry } from './deliveryProtocol.js';
import type { EntryAnswer } from './entry.js';
import type { Gate } from './gate.js';
import type { LinkQueue } from '../transfers/linkQueue.js';
import type { Reservation } from '../transfers/transferProtocol.js';
import { decodeReservation } from '../transfers/transferProtocol.js';
import { decodeRequest, deliveryKeyOf, encodeReply, processHeader } from './gateProtocol.js';
import type { HeaderNames } from './headerNames.js';
import type { CallerRequest, ForwardedRequest, GateReply } from './messages.js';
import { FailureCause } from '../calls/failureCause.js';
import { ReceivedRequests } from './receivedRequests.js';

/**
 * The turns of the event loop in which a request that another node asks for is awaited: its connection
 * is accepted, it is read, and the end of its connection would be read.
 */
const MAX_ARRIVAL_TURNS = 3;
const HttpStatus = { Ok: 200, BadRequest: 400 } as const;

/** The gate of a node as other nodes reach it. */
export class GateServer {
  private readonly received: ReceivedRequests;

  /**
   * @param services - the clock and the gate
   * @param options - the header names of callers, and the identity of this process
   */
  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly gate: Pick<Gate, 'serve'>;
      /** Judges requests whose bodies are still with their senders. */
      readonly admission: Pick<Gate, 'judge' | 'report'>;
      readonly transfers: Pick<LinkQueue, 'complete' | 'reserve'>;
    },
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
    const answer = isInquiry(request.headers)
      ? await this.answerInquiry(request.body)
      : await this.answerRequest(request);
    const process = isFirstOnConnection ? processHeader(this.options.processId) : {};
    return { ...answer, headers: { ...answer.headers, ...process } };
  }

  private async answerRequest(request: CallerRequest): Promise<EntryAnswer> {
    const forwarded = decodeRequest(this.options.names, request);
    if (forwarded === undefined) {
      return { status: HttpStatus.BadRequest, headers: {}, body: Buffer.alloc(0) };
    }
    const reservation = decodeReservation(request.headers);
    if (reservation !== undefined) {
      return encodeReply(await this.reserve(forwarded, reservation));
    }
    return encodeReply(await this.serveOnce(forwarded));
  }

  /** Waits until the body of a request may be sent here; refuses it if it would not be answered in time. */
  private async reserve(
    request: ForwardedRequest,
    { bytes, crossesZones, senderMegabits }: Reservation,
  ): Promise<GateReply> {
    const { admission, transfers } = this.services;
    const key = deliveryKeyOf(request);
    const expected = admission.judge(request);
    if (expected.isErr()) {
      const failure = { outcome: Outcome.NotRun, cause: expected.error };
      return { result: Err(failure), report: admission.report() };
    }
    const reserved = await transfers.reserve({
      ...request,
      key: key ?? '',
      bytes,
      crossesZones,
      senderMegabits,
      expectedMs: expected.value,
    });
    return {
      result: reserved
        .map(() => ({ status: HttpStatus.Ok, headers: {}, body: Buffer.alloc(0) }))
        .mapErr(({ waitMs }) => ({
          outcome: Outcome.NotRun,
          cause: FailureCause.NoSlotInTime,
          waitMs,
        })),
      report: admission.report(),
    };
  }

  private async answerInquiry(body: Buffer): Promise<EntryAnswer> {
    const questions = decodeQuestions(body);
    return questions === undefined
      ? { status: HttpStatus.BadRequest, headers: {}, body: Buffer.alloc(0) }
      : {
          status: HttpStatus.Ok,
          headers: {},
          body: encodeStates(await this.inquire(questions)),
        };
  }

  /**
   * Tells another node what has become of requests. One that has not arrived will not run if this
   * process is the only one that may have got it.
   */
  private async inquire(questions: readonly DeliveryQuestion[]): Promise<readonly DeliveryState[]> {
    const isUnknown = ({ key }: DeliveryQuestion): boolean => !this.received.isKnown(key);
    // Another connection may have been read before those on which the requests arrived.
    for (let turn = 0; turn < MAX_ARRIVAL_TURNS && questions.some(isUnknown); turn += 1) {
      await waitForPendingInput();
    }
    return questions.map(({ key, processId }) =>
      this.received.inquire(key, processId === this.options.processId),
    );
  }

  /** Serves a request, unless the other node was told that it has not run. */
  private async serveOnce(request: ForwardedRequest): Promise<GateReply> {
    const { gate, transfers } = this.services;
    const key = deliveryKeyOf(request);
    if (key === undefined) {
      return gate.serve(request);
    }
    transfers.complete(key);
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
