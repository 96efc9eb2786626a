/**
 * Sends requests of callers to another process, the gate of another host or a backend server, while
 * their callers are known to be there.
 */
import { Err } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import type { CallerPresence } from '../calls/callerPresence.js';
import type { Clock } from '../kernel/clock.js';
import type { MemoryBudget } from '../memory/memoryBudget.js';
import type { ExchangeAnswer, ExchangeRequest } from './exchange.js';
import { exchange, ExchangeFailure, refusalFailures } from './exchange.js';
import type { ForwardedRequest } from './messages.js';
import type { Receiver, RecordedSend, SendRecorder } from './sendRecorder.js';

/** The receiver of a request, and what differs between receivers. */
export interface Destination extends Pick<
  ExchangeRequest,
  'agent' | 'address' | 'headers' | 'headersAtSend' | 'isTerse' | 'mayReuse' | 'onSent'
> {
  readonly receiver: Receiver;
  /** The time limit for the connection, in milliseconds. */
  readonly connectTimeoutMs: number;
  /** The allowance for an answer that is in transit when the deadline passes, in milliseconds. */
  readonly answerGraceMs: number;
}

/** Sends requests on behalf of callers. */
export class RequestSender {
  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly memory: MemoryBudget;
      readonly presence: CallerPresence;
      readonly sends: SendRecorder;
    },
  ) {}

  /**
   * Sends a request and reads its complete answer.
   *
   * @param request - the request
   * @param destination - the receiver
   * @returns the answer, or the reason why there is none
   */
  async send(
    request: ForwardedRequest,
    destination: Destination,
  ): Promise<Result<ExchangeAnswer, ExchangeFailure>> {
    const { clock, memory, presence, sends } = this.services;
    const { body, cancellation, deadlineAtMs, method, target } = request;
    // A connection for a caller that has left would only lengthen the queue at the receiver.
    const refusal = await presence.confirm(request);
    if (refusal !== undefined) {
      return Err(refusalFailures[refusal]);
    }
    const remainingMs = Math.max(0, deadlineAtMs - clock.monotonicMs());
    let recorded: RecordedSend | undefined;
    const answer = await exchange(clock, {
      // Copied by name: to spread the rest of an object takes tens of microseconds.
      agent: destination.agent,
      address: destination.address,
      headers: destination.headers,
      headersAtSend: destination.headersAtSend,
      isTerse: destination.isTerse,
      mayReuse: destination.mayReuse,
      method,
      target,
      body,
      cancellation,
      memory,
      presence,
      deadlineAtMs,
      connectTimeoutMs: Math.min(remainingMs, destination.connectTimeoutMs),
      timeoutMs: remainingMs + destination.answerGraceMs,
      onSent: (sent) => {
        recorded = sends.record(sent.onReusedConnection);
        destination.onSent?.(sent);
      },
    });
    if (recorded !== undefined && answer.isErr() && answer.error === ExchangeFailure.Cancelled) {
      sends.reportDeparture(request, destination.receiver, recorded);
    }
    return answer;
  }
}
