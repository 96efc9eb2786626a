/** A test backend server for the platform's protocol whose responses a test scripts. */
import { runInBackground } from 'lentillb/sidecar';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { closeServer, listenOnLoopback, loopbackAddress } from './loopback.js';
import { readRequestBody } from './readRequestBody.js';

/** A request that the server received, and whether its connection was closed early. */
export interface Run {
  readonly requestId: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether the connection was closed before the response was complete. */
  abandoned: boolean;
}

/** Responds to a request, or leaves it without a response. */
export type RequestHandler = (response: ServerResponse, run: Run) => void;

/** Responds with status 200 and the body of the request. */
export const respondSuccessfully: RequestHandler = (response, { body, requestId }) => {
  response.writeHead(200, { 'x-attempt-id': requestId, 'x-server-seal': 'seal' });
  response.end(`ran ${body}`);
};

/** An HTTP server on loopback that records every request and passes it to a handler. */
export class ScriptedBackendServer {
  /** The requests received, in the order of arrival. */
  readonly runs: Run[] = [];

  /** The number of requests that got no answer because all slots were in use. */
  hungRequests = 0;

  private handler: RequestHandler = respondSuccessfully;

  private slots = Infinity;

  private running = 0;

  /** The connections on which a request hangs, and on which no later one is answered. */
  private readonly hungConnections = new WeakSet<Socket>();

  private readonly server: Server;

  /** @param id - the instance id; requests that expect another instance get status 421 */
  constructor(readonly id: string) {
    this.server = createServer((request, response) => {
      runInBackground(this.handleRequest(request, response));
    });
  }

  /** The address and port that the server listens on. */
  get address(): string {
    return loopbackAddress(this.server);
  }

  /** @param handler - the handler of all requests from now on */
  setHandler(handler: RequestHandler): void {
    this.handler = handler;
  }

  /**
   * Lets the server hang when it is full: a request beyond its slots never gets an answer, nor does any
   * later one on the same connection.
   *
   * @param slots - the number of requests that run at a time
   */
  hangWhenFull(slots: number): void {
    this.slots = slots;
  }

  /** Starts listening on a free port. */
  async listen(): Promise<void> {
    await listenOnLoopback(this.server);
  }

  /** Closes the server and its connections. */
  async close(): Promise<void> {
    await closeServer(this.server);
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readRequestBody(request);
    if (body === undefined) {
      return;
    }
    if (request.headers['x-expected-instance'] !== this.id) {
      response.writeHead(421, { 'x-instance-id': this.id });
      response.end();
      return;
    }
    const { socket } = request;
    if (this.running >= this.slots || this.hungConnections.has(socket)) {
      this.hungConnections.add(socket);
      this.hungRequests += 1;
      return;
    }
    this.running += 1;
    const requestId = String(request.headers['x-attempt-id']);
    const { headers } = request;
    const run: Run = { requestId, headers, body: body.toString('utf8'), abandoned: false };
    this.runs.push(run);
    response.once('close', () => {
      this.running -= 1;
      run.abandoned = !response.writableFinished;
    });
    this.handler(response, run);
  }
}
