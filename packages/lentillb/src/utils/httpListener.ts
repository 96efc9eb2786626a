/** An HTTP server that starts on a given address and stops gracefully. */
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { Deadline } from '../kernel/deadline.js';
import { listenAt, stopAccepting } from './listening.js';

/** The longest request head accepted, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;
/** How long a sender may take over the head of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** How long a sender may take over a whole request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 60_000;
/** How long an idle connection is kept, in milliseconds; clients are told, and close theirs before. */
const KEEP_ALIVE_MS = 5_000;
/** How long a stopping server leaves idle connections to their clients, in milliseconds. */
const LINGER_MS = KEEP_ALIVE_MS + 500;
const POLL_MS = 20;

/** One HTTP server. */
export class HttpListener {
  private readonly server: Server;

  private closing = false;

  /** @param handle - called for every request */
  constructor(handle: RequestListener) {
    this.server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: HEADERS_TIMEOUT_MS,
        requestTimeout: REQUEST_TIMEOUT_MS,
        keepAliveTimeout: KEEP_ALIVE_MS,
        noDelay: true,
      },
      (request, response) => {
        if (this.closing) {
          response.setHeader('connection', 'close');
        }
        handle(request, response);
      },
    );
  }

  /**
   * @param port - the port to listen on; 0 takes a free one
   * @param address - the IP number to listen on
   * @returns the port
   */
  async listen(port: number, address: string): Promise<number> {
    return listenAt(this.server, { port, host: address });
  }

  /** Takes no new connections; requests on those open are answered, then they are closed. */
  leave(): void {
    if (!this.closing) {
      this.closing = true;
      stopAccepting(this.server);
    }
  }

  /**
   * Waits for all requests to be answered, and for clients to close their idle connections.
   *
   * @param deadline - when connections still open are cut
   */
  async close(deadline: Deadline): Promise<void> {
    this.leave();
    const lingering = deadline.atMost(LINGER_MS);
    while ((await this.connectionCount()) > 0 && !deadline.expired()) {
      if (lingering.expired()) {
        this.server.closeIdleConnections();
      }
      await delay(POLL_MS);
    }
    this.server.closeAllConnections();
  }

  private connectionCount(): Promise<number> {
    return new Promise((resolve) => {
      this.server.getConnections((_, count) => resolve(count));
    });
  }
}
