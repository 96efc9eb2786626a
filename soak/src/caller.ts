/** A caller on one host, which keeps its connections open until the node's process is gone. */
import { Agent, request as openRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Clock, Randomness } from 'lentillb/sidecar';
import { parseAddress } from 'lentillb/sidecar';
import { Header, RouteName } from './platformDocuments.js';
import type { SentRequest, SoakRecord } from './record.js';
import { Told } from './record.js';

/** Where a caller sends, asked for before each request. */
export interface CalledNode {
  readonly index: number;
  readonly address: string;
  readonly life: number;
}

const MAX_CONNECTIONS = 6;
/** The time between two requests, in milliseconds. */
const PACE_MS = 40;
const DEADLINE_MS = 800;
/** How long after its deadline a caller still takes an answer, in milliseconds. */
const PATIENCE_MS = 700;
/** One request in this many is of a caller that leaves early. */
const LEAVES_ONE_IN = 6;
/** How long it stays, in milliseconds. */
const STAY_MS = { least: 5, spread: 300 } as const;

const HttpStatus = { ServerError: 500, Unavailable: 503 } as const;

const routes: readonly RouteName[] = [RouteName.Browse, RouteName.Lodge, RouteName.Probe];

type Outcome = Pick<SentRequest, 'told' | 'detail' | 'isOwnAnswer'>;

function judge(response: IncomingMessage, body: string, id: string): Outcome {
  const status = response.statusCode ?? 0;
  const isOwnAnswer =
    body === `ran ${id}` &&
    response.headers[Header.requestId] === id &&
    response.headers[Header.seal] !== undefined;
  const detail = `${status} ${response.headers[Header.seal] === undefined ? 'of the node' : ''}`;
  if (status < HttpStatus.ServerError) {
    return { told: Told.Answered, detail, isOwnAnswer };
  }
  const told = status === HttpStatus.Unavailable ? Told.NotRun : Told.Failed;
  return { told, detail, isOwnAnswer };
}

/** Sends requests at a steady pace, and keeps what it was told. */
export class Caller {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS });

  private readonly underWay = new Set<Promise<void>>();

  private stopped = false;

  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly randomness: Randomness;
      readonly record: SoakRecord;
    },
    private readonly node: () => CalledNode,
  ) {}

  /** Sends until `stop` is called, then waits for the last answers. */
  async run(): Promise<void> {
    const { clock, randomness } = this.services;
    for (let count = 0; !this.stopped; count += 1) {
      const route = routes[randomness.integer(routes.length)] ?? RouteName.Browse;
      const one = this.send(`${this.node().index}-${count}`, route).finally(() =>
        this.underWay.delete(one),
      );
      this.underWay.add(one);
      await clock.sleep(PACE_MS);
    }
    await Promise.all(this.underWay);
    this.agent.destroy();
  }

  /** Sends nothing new. */
  stop(): void {
    this.stopped = true;
  }

  private async send(id: string, route: RouteName): Promise<void> {
    const { clock, record } = this.services;
    const { address, index, life } = this.node();
    const sentAtMs = clock.monotonicMs();
    const outcome = await this.exchange(id, route, address);
    const endedAtMs = clock.monotonicMs();
    record.requests.push({ id, route, host: index, life, sentAtMs, endedAtMs, ...outcome });
  }

  private exchange(id: string, route: RouteName, address: string): Promise<Outcome> {
    return new Promise((resolve) => {
      const outgoing = openRequest({
        agent: this.agent,
        ...parseAddress(address),
        method: 'POST',
        path: `/${id}`,
        headers: {
          host: `${route}.example`,
          [Header.requestId]: id,
          [Header.deadlineMs]: String(DEADLINE_MS),
          'content-length': Buffer.byteLength(id),
        },
      });
      const stopStaying = this.leaveEarly(outgoing, resolve);
      const stopWaiting = this.services.clock.after(DEADLINE_MS + PATIENCE_MS, () => {
        stopStaying();
        resolve({ told: Told.Silent, detail: 'no answer in time', isOwnAnswer: false });
        outgoing.destroy();
      });
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        stopWaiting();
        stopStaying();
        const told = error.code === 'ECONNREFUSED' ? Told.Unreached : Told.Broken;
        resolve({ told, detail: error.code ?? error.message, isOwnAnswer: false });
      });
      outgoing.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          stopWaiting();
          stopStaying();
          const body = Buffer.concat(chunks).toString('utf8');
          resolve(
            response.complete
              ? judge(response, body, id)
              : { told: Told.Broken, detail: 'answer cut short', isOwnAnswer: false },
          );
        });
      });
      outgoing.end(id);
    });
  }

  /** Lets some callers leave before they are answered; the result takes that back. */
  private leaveEarly(outgoing: ClientRequest, settle: (outcome: Outcome) => void): () => void {
    const { clock, randomness } = this.services;
    if (randomness.integer(LEAVES_ONE_IN) > 0) {
      return () => undefined;
    }
    const stayMs = STAY_MS.least + randomness.integer(STAY_MS.spread);
    return clock.after(stayMs, () => {
      settle({ told: Told.Left, detail: `after ${stayMs} ms`, isOwnAnswer: false });
      outgoing.destroy();
    });
  }
}
