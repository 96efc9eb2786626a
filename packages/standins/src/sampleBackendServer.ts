/** A sample backend server that announces itself to its node and counts the requests it ran. */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock } from 'lentillb';
import { request as httpRequest } from 'undici';
import { listenOnLoopback } from './loopback.js';

/** The options of a sample backend server. */
export interface SampleBackendServerOptions {
  readonly clock: Clock;
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  /** The port on which the node of this host accepts announcements. */
  readonly localPort: number;
  /** The delay of every response, in milliseconds. */
  readonly delayMs?: number;
}

const RENEWALS_PER_LEASE = 3;
const DRAIN_POLL_MS = 20;
const MAX_DRAIN_POLLS = 1_000;

/** A backend server that responds to every request with a JSON description of it. */
export class SampleBackendServer {
  /** The number of runs by request id. */
  readonly runs = new Map<string, number>();

  /** The maximum number of requests that ran at the same time. */
  maxInFlight = 0;

  private inFlight = 0;

  private readonly server: Server;

  private readonly stopping = new AbortController();

  private state: 'ready' | 'draining' = 'ready';

  constructor(private readonly options: SampleBackendServerOptions) {
    this.server = createServer((request, response) => {
      this.handleRequest(request, response);
    });
  }

  /** Starts listening, and renews the announcement until the server stops. */
  async start(): Promise<void> {
    await listenOnLoopback(this.server);
    const leaseMs = await this.announce();
    this.renewAnnouncement(leaseMs);
  }

  /** Drains, waits for the calls that the node has sent, withdraws the announcement and closes. */
  async stop(): Promise<void> {
    this.state = 'draining';
    await this.announce();
    // The count of the node includes calls that have been sent but have not arrived here.
    for (let poll = 0; poll < MAX_DRAIN_POLLS && (await this.countInFlight()) > 0; poll += 1) {
      await this.options.clock.sleep(DRAIN_POLL_MS);
    }
    this.stopping.abort();
    await httpRequest(this.url, { method: 'DELETE' }).then(
      ({ body }) => body.dump(),
      () => undefined,
    );
    this.kill();
  }

  /** Closes the server and its connections at once, and leaves the announcement to expire. */
  kill(): void {
    this.stopping.abort();
    this.server.close();
    this.server.closeAllConnections();
  }

  private get url(): string {
    const { id, localPort } = this.options;
    return `http://127.0.0.1:${localPort}/v1/backend-servers/${id}`;
  }

  /** Returns the number of calls sent here or running: the greater of the counts of node and server. */
  private async countInFlight(): Promise<number> {
    const nodeResponse = await httpRequest(this.url).catch(() => undefined);
    if (nodeResponse === undefined || nodeResponse.statusCode !== 200) {
      await nodeResponse?.body.dump();
      return this.inFlight;
    }
    const { inFlight } = (await nodeResponse.body.json()) as { inFlight: number };
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
    const reply = (await body.json()) as { leaseMs: number; error?: string };
    if (statusCode !== 200) {
      throw new Error(`announcement refused: ${reply.error}`);
    }
    return reply.leaseMs;
  }

  private async renewAnnouncement(leaseMs: number): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      await this.options.clock.sleep(leaseMs / RENEWALS_PER_LEASE, signal);
      if (!signal.aborted) {
        await this.announce().catch(() => undefined);
      }
    }
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, delayMs = 0, id, service } = this.options;
    const requestId = String(request.headers['x-request-id'] ?? '');
    this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
    this.inFlight += 1;
    this.maxInFlight = Math.max(this.maxInFlight, this.inFlight);
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
