/** An HTTP server that listens on a given address and stops gracefully. */
import { createServer } from 'node:http';
import type { RequestListener, Server, ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';
import type { Deadline } from '../kernel/deadline.js';
import { closeIdleAfterPendingInput } from './idleTimeout.js';
import { acceptEstablished, listenAt, stopAccepting } from './listening.js';
import { isForwardable } from './messageHead.js';
import { refuseUnreadable } from './refuseUnreadable.js';

/** The longest request head accepted, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;
/** The maximum time to receive the head of a request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
/** The maximum time to receive a whole request, in milliseconds. */
const REQUEST_TIMEOUT_MS = 60_000;
/**
 * The time an idle connection is kept open, in milliseconds. Clients are told this time and close
 * their connections earlier.
 */
const KEEP_ALIVE_MS = 5_000;
/** The time a stopping server waits for clients to close idle connections, in milliseconds. */
const IDLE_GRACE_MS = KEEP_ALIVE_MS + 500;
const POLL_INTERVAL_MS = 20;

const BAD_REQUEST = 400;
const BAD_HEAD_MESSAGE =
  'the target or a header of the request has invalid characters; send it percent-encoded\n';

function rejectHead(response: ServerResponse): void {
  response.writeHead(BAD_REQUEST, { connection: 'close', 'content-type': 'text/plain' });
  response.end(BAD_HEAD_MESSAGE);
}

/** An HTTP server with a graceful stop. */
export class HttpListener {
  private readonly server: Server;

  private closing = false;

  private stoppedAccepting = false;

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
        if (!isForwardable(request)) {
          rejectHead(response);
          return;
        }
        handle(request, response);
      },
    );
    closeIdleAfterPendingInput(this.server);
    refuseUnreadable(this.server);
  }

  /**
   * Starts to listen.
   *
   * @param port - the port to listen on; 0 selects a free port
   * @param address - the IP address to listen on
   * @returns the port that the server listens on
   */
  async listen(port: number, address: string): Promise<number> {
    return listenAt(this.server, { port, host: address });
  }

  /** Asks clients to close their connection with every answer; still accepts new connections. */
  startClosing(): void {
    this.closing = true;
  }

  /**
   * Stops accepting connections. Open connections are closed after the response to their next
   * request.
   */
  private async stopAcceptingConnections(): Promise<void> {
    this.closing = true;
    if (!this.stoppedAccepting) {
      this.stoppedAccepting = true;
      await acceptEstablished(this.server);
      stopAccepting(this.server);
    }
  }

  /**
   * Waits until all requests are answered and clients have closed their idle connections. Closes
   * idle connections itself after `IDLE_GRACE_MS`.
   *
   * @param deadline - the time at which connections that are still open are closed
   */
  async close(deadline: Deadline): Promise<void> {
    await this.stopAcceptingConnections();
    const idleGrace = deadline.atMost(IDLE_GRACE_MS);
    while ((await this.connectionCount()) > 0 && !deadline.expired()) {
      if (idleGrace.expired()) {
        this.server.closeIdleConnections();
      }
      await delay(POLL_INTERVAL_MS);
    }
    this.server.closeAllConnections();
  }

  private connectionCount(): Promise<number> {
    return new Promise((resolve) => {
      this.server.getConnections((_, count) => resolve(count));
    });
  }
}
