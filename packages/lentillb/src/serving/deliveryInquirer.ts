/**
 * Asks gates what has become of requests. Each inquiry takes a new connection to the gate: its data
 * goes the same way as that of the requests, through the same queues, so a reply tells what a request
 * sent before on a working connection would have met by now, however slow the link or busy the node.
 */
import { Agent } from 'node:http';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { Cancellation } from '../calls/cancellation.js';
import type { DeliveryQuestion, DeliveryReply } from '../directory/delivery.js';
import type { Clock } from '../kernel/clock.js';
import type { MemoryBudget } from '../memory/memoryBudget.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { MetricsRegistry } from '../observability/metricsRegistry.js';
import { decodeStates, encodeQuestions, inquiryHeaders } from './deliveryProtocol.js';
import { exchange, ExchangeFailure } from './exchange.js';
import type { GateProcesses } from './gateProcesses.js';
import { processIdOf } from './gateProtocol.js';

/** How long a reply is awaited, in milliseconds; nothing is concluded from a reply that is missing. */
const REPLY_TIMEOUT_MS = 2_000;

/** Sends inquiries to gates. */
export class DeliveryInquirer {
  private readonly agent = new Agent({ keepAlive: false, noDelay: true });

  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly memory: MemoryBudget;
      readonly processes: GateProcesses;
      readonly log: DecisionLog;
      readonly metrics: MetricsRegistry;
    },
  ) {}

  /**
   * Asks a gate what has become of requests.
   *
   * @param gateAddress - the address and port of the gate
   * @param questions - the requests
   * @returns the reply, or why there is none
   */
  async inquire(
    gateAddress: string,
    questions: readonly DeliveryQuestion[],
  ): Promise<Result<DeliveryReply, ExchangeFailure>> {
    const { clock, log, memory, metrics, processes } = this.services;
    metrics.count('delivery_inquiries');
    const body = encodeQuestions(questions);
    const answer = await exchange(clock, {
      agent: this.agent,
      address: gateAddress,
      method: 'POST',
      target: '/',
      headers: { ...inquiryHeaders, host: gateAddress, 'content-length': `${body.length}` },
      body,
      connectTimeoutMs: REPLY_TIMEOUT_MS,
      timeoutMs: REPLY_TIMEOUT_MS,
      cancellation: new Cancellation(),
      memory,
    });
    const reply = answer.andThen(({ body: replyBody, headers }) => {
      const states = decodeStates(replyBody, questions.length);
      processes.record(gateAddress, headers);
      return states === undefined
        ? Err(ExchangeFailure.Malformed)
        : Ok({ states, processId: processIdOf(headers) });
    });
    if (reply.isErr()) {
      const count = questions.length;
      log.record(Importance.Notable, 'inquiry-failed', { gateAddress, cause: reply.error, count });
    }
    return reply;
  }

  /** Ends the inquiries in progress. */
  close(): void {
    this.agent.destroy();
  }
}
