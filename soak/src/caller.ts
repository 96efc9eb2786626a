/** Sends requests from one host, over connections that stay open until the node process exits. */
import { Agent, request as openRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { parseAddress, runInBackground } from 'lentillb/sidecar';
import { answerBody, Bounds, encodeBody, Header } from './platformDocuments.js';
import type { RequestPlan, RouteName } from './platformDocuments.js';
import { drawSpread } from './profiles.js';
import type { Profile, SentKind } from './profiles.js';
import type { SoakServices } from './soakBackendServer.js';
import type { SentRequest } from './soakRecord.js';
import { RequestOutcome } from './soakRecord.js';

/** The node process to send to; looked up before each request. */
export interface NodeTarget {
  readonly hostIndex: number;
  readonly address: string;
  readonly processNumber: number;
}

/** The time after the deadline until which a response is still accepted. */
const LATE_RESPONSE_MS = 700;
/**
 * The range of the random time after which the caller aborts: from `min`, less than `spread` more.
 */
const ABORT_DELAY_MS = { min: 5, spread: 300 } as const;

const HttpStatus = { ServerError: 500, Unavailable: 503 } as const;

/** The number of requests of which, on average, one is aborted by its caller. */
const ABORT_ONE_IN = 6;

/** What a request is like, where it differs from the others. */
export interface RequestOptions {
  /** The time after which the caller leaves, in milliseconds; by default it stays. */
  readonly leaveAfterMs?: number;
  /** The time that the caller gives for an answer, in milliseconds. */
  readonly deadlineMs?: number;
  readonly plan?: RequestPlan | undefined;
  /** The body and the path, in place of the identity of the request. */
  readonly content?: string;
}

/** The result of a request that has ended. */
type RequestResult = Pick<SentRequest, 'outcome' | 'detail' | 'isMatchingResponse'>;

function classifyResponse(
  response: IncomingMessage,
  body: string,
  id: string,
  plan: RequestPlan | undefined,
): RequestResult {
  const status = response.statusCode ?? 0;
  const isMatchingResponse =
    body === answerBody(id, plan?.answerBytes) &&
    response.headers[Header.requestId] === id &&
    response.headers[Header.seal] !== undefined;
  const detail = `${status} ${response.headers[Header.seal] === undefined ? 'from the node' : ''}`;
  if (status < HttpStatus.ServerError) {
    return { outcome: RequestOutcome.Answered, detail, isMatchingResponse };
  }
  const outcome = status === HttpStatus.Unavailable ? RequestOutcome.NotRun : RequestOutcome.Failed;
  return { outcome, detail, isMatchingResponse };
}

/** Sends requests at a constant rate and records their outcomes. */
export class Caller {
  private readonly agent: Agent;

  private readonly pending = new Set<Promise<RequestResult>>();

  private stopped = false;

  constructor(
    private readonly services: SoakServices,
    private readonly node: () => NodeTarget,
    maxConnections: number,
  ) {
    this.agent = new Agent({ keepAlive: true, maxSockets: maxConnections });
  }

  /**
   * Sends requests until `stop` is called, then waits until the pending ones have ended.
   *
   * @param profile - the kinds of requests, and the time between them
   */
  async run({ kinds, requestIntervalMs }: Profile): Promise<void> {
    const { clock, randomness } = this.services;
    const drawnKinds = kinds.flatMap((kind) => Array.from({ length: kind.share }, () => kind));
    for (let count = 0; !this.stopped; count += 1) {
      const kind = drawnKinds[randomness.integer(drawnKinds.length)];
      if (kind !== undefined) {
        const { route, timeoutMs: deadlineMs } = kind;
        const options = {
          deadlineMs,
          leaveAfterMs: this.drawAbortDelayMs(),
          plan: this.drawPlan(kind),
        };
        runInBackground(this.send(`${this.node().hostIndex}-${count}`, route, options));
      }
      await clock.sleep(requestIntervalMs);
    }
    await Promise.all(this.pending);
    this.close();
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }

  /** Stops sending new requests. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Sends one request and records its outcome.
   *
   * @param id - the identity of the request, with which its body starts
   * @param route - the route to send it on
   * @param options - what the request is like
   */
  async send(id: string, route: RouteName, options: RequestOptions = {}): Promise<void> {
    const { clock, record } = this.services;
    const { address, hostIndex, processNumber } = this.node();
    const { deadlineMs = Bounds.routeTimeoutMs } = options;
    const sentAtMs = clock.monotonicMs();
    const exchange = this.exchange(id, route, address, { ...options, deadlineMs });
    this.pending.add(exchange);
    const result = await exchange;
    this.pending.delete(exchange);
    const endedAtMs = clock.monotonicMs();
    record.requests.push({
      id,
      route,
      host: hostIndex,
      processNumber,
      sentAtMs,
      endedAtMs,
      deadlineMs,
      ...result,
    });
  }

  private exchange(
    id: string,
    route: RouteName,
    address: string,
    {
      deadlineMs,
      leaveAfterMs = Infinity,
      plan,
      content = encodeBody(id, plan),
    }: RequestOptions & { readonly deadlineMs: number },
  ): Promise<RequestResult> {
    return new Promise((resolve) => {
      const outgoing = openRequest({
        agent: this.agent,
        ...parseAddress(address),
        method: 'POST',
        path: `/${content.split(' ', 1).join('')}`,
        headers: {
          host: `${route}.example`,
          [Header.requestId]: id,
          [Header.deadlineMs]: String(deadlineMs),
          'content-length': content.length,
        },
      });
      const cancellations: (() => void)[] = [];
      const settle = (result: RequestResult): void => {
        cancellations.forEach((cancel) => cancel());
        resolve(result);
      };
      const fail = (outcome: RequestOutcome, detail: string): void =>
        settle({ outcome, detail, isMatchingResponse: false });
      const giveUpAfter = (delayMs: number, outcome: RequestOutcome, detail: string): void => {
        const cancel = this.services.clock.after(delayMs, () => {
          fail(outcome, detail);
          outgoing.destroy();
        });
        cancellations.push(cancel);
      };
      if (Number.isFinite(leaveAfterMs)) {
        giveUpAfter(leaveAfterMs, RequestOutcome.Aborted, `after ${leaveAfterMs} ms`);
      }
      giveUpAfter(deadlineMs + LATE_RESPONSE_MS, RequestOutcome.TimedOut, 'no response in time');
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        const isRefused = error.code === 'ECONNREFUSED';
        fail(
          isRefused ? RequestOutcome.ConnectFailed : RequestOutcome.ConnectionLost,
          error.code ?? error.message,
        );
      });
      outgoing.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          const body = Buffer.concat(chunks).toString('utf8');
          if (response.complete) {
            settle(classifyResponse(response, body, id, plan));
          } else {
            fail(RequestOutcome.ConnectionLost, 'incomplete response');
          }
        });
      });
      outgoing.end(content);
    });
  }

  private drawPlan({ sizes }: SentKind): RequestPlan | undefined {
    const { randomness } = this.services;
    return (
      sizes && {
        bodyBytes: drawSpread(sizes.bodyBytes, randomness),
        answerBytes: drawSpread(sizes.answerBytes, randomness),
        runMs: drawSpread(sizes.runMs, randomness),
      }
    );
  }

  /** Draws after which time the caller leaves: infinite for most requests. */
  private drawAbortDelayMs(): number {
    const { randomness } = this.services;
    return randomness.integer(ABORT_ONE_IN) === 0
      ? ABORT_DELAY_MS.min + randomness.integer(ABORT_DELAY_MS.spread)
      : Infinity;
  }
}
