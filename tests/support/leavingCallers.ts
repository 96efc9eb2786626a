/** Connects callers that a test lets leave, so that the ends of their connections lie unread. */
import { createServer } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';
import { Cancellation, CancelReason } from 'lentillb/calls/cancellation.js';
import { blockEventLoop } from './blockEventLoop.js';
import { RawConnection } from './rawConnection.js';

/** Longer than the state on which a request is sent may be old. */
const BLOCKED_MS = 50;

/** Callers whose requests are cancelled when the ends of their connections are read. */
export class LeavingCallers {
  private readonly server = createServer({ allowHalfOpen: true });

  private readonly connections: RawConnection[] = [];

  private address = '';

  /** Starts to accept callers. */
  async start(): Promise<void> {
    this.address = await listenOnLoopback(this.server);
  }

  /**
   * Connects a caller.
   *
   * @returns the cancellation of its request
   */
  async connect(): Promise<Cancellation> {
    const cancellation = new Cancellation();
    const accepted = new Promise<void>((resolve) => {
      this.server.once('connection', (socket) => {
        socket.resume();
        socket.once('end', () => cancellation.cancel(CancelReason.CallerGone));
        resolve();
      });
    });
    this.connections.push(await RawConnection.open(this.address));
    await accepted;
    return cancellation;
  }

  /** Closes all connections, and keeps the event loop from reading it for a while. */
  leave(): void {
    this.connections.forEach((connection) => connection.close());
    blockEventLoop(BLOCKED_MS);
  }

  /** Closes the connections that are still open, and the server. */
  close(): void {
    this.connections.forEach((connection) => connection.close());
    this.server.close();
  }
}
