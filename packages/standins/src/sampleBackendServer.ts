/** A stand-in for a backend server: announces itself, answers, counts what it ran. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock } from 'lentillb';
import { request as httpRequest } from 'undici';
import { listenOnLoopback } from './loopback.js';

/** The properties of a backend server. */
export interface SampleBackendServerOptions {
  readonly clock: Clock;
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  /** The port on which the node of the host takes announcements. */
  readonly localPort: number;
  /** How long an answer takes, in milliseconds. */
  readonly delayMs?: number;
}

const RENEWALS_PER_LEASE = 3;
const DRAIN_POLL_MS = 20;
const MAX_DRAIN_POLLS = 1_000;

/** Answers every request with what it was asked. */
export class SampleBackendServer {
  /** How often each request id was run. */
  readonly runs = new Map<string, number>();

  /** The most requests that ran at once. */
  mostInFlight = 0;

  private inFlight = 0;

  private readonly server: Server;

  private readonly stopping = new AbortController();

  private state: 'ready' | 'draining' = 'ready';

  constructor(private readonly options: SampleBackendServerOptions) {
    this.server = createServer((request, response) => {
      this.answer(request, response);
    });
  }

  /** Starts answering, and announces itself until it stops. */
  async start(): Promise<void> {
    await listenOnLoopback(this.server);
    const leaseMs = await this.announce();
    this.keepAnnounced(leaseMs);
  }

  /** Leaves gracefully: takes no new work, finishes what the node sent it, then is gone. */
  async stop(): Promise<void> {
    this.state = 'draining';
    await this.announce();
    // The node counts calls that are still on their way here.
    for (let poll = 0; poll < MAX_DRAIN_POLLS && (await this.sentHere()) > 0; poll += 1) {
      await this.options.clock.sleep(DRAIN_POLL_MS);
    }
    this.stopping.abort();
    await httpRequest(this.url, { method: 'DELETE' }).then(
      ({ body }) => body.dump(),
      () => undefined,
    );
    this.kill();
  }

  /** Is gone at once, without a word. */
  kill(): void {
    this.stopping.abort();
    this.server.close();
    this.server.closeAllConnections();
  }

  private get url(): string {
    const { id, localPort } = this.options;
    return `http://127.0.0.1:${localPort}/v1/backend-servers/${id}`;
  }

  /** How many calls are on their way here or run, by the count of the node where it answers. */
  private async sentHere(): Promise<number> {
    const asked = await httpRequest(this.url).catch(() => undefined);
    if (asked === undefined || asked.statusCode !== 200) {
      await asked?.body.dump();
      return this.inFlight;
    }
    const { inFlight } = (await asked.body.json()) as { inFlight: number };
    return Math.max(inFlight, this.inFlight);
  }

  private async announce(): Promise<number> {
    const { service, slots } = this.options;
    const { port } = this.server.address() as AddressInfo;
    const announcement = { service, port, slots, state: this.state };
    const { body, statusCode } = await httpRequest(this.url, {
      method: 'PUT',
      body: JSON.stringify(announcement),
    });
    const answer = (await body.json()) as { leaseMs: number; error?: string };
    if (statusCode !== 200) {
      throw new Error(`announcement refused: ${answer.error}`);
    }
    return answer.leaseMs;
  }

  private async keepAnnounced(leaseMs: number): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      await this.options.clock.sleep(leaseMs / RENEWALS_PER_LEASE, signal);
      if (!signal.aborted) {
        await this.announce().catch(() => undefined);
      }
    }
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, delayMs = 0, id, service } = this.options;
    const requestId = String(request.headers['x-request-id'] ?? '');
    this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
    this.inFlight += 1;
    this.mostInFlight = Math.max(this.mostInFlight, this.inFlight);
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
    });
    await new Promise<void>((resolve) => {
      request.once('close', resolve);
      request.once('end', resolve);
    });
    if (delayMs > 0) {
      await clock.sleep(delayMs);
    }
    this.inFlight -= 1;
    const { method, url } = request;
    const body = JSON.stringify({ backendServer: id, service, method, url, requestId, bytes });
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    response.end(body);
  }
}
