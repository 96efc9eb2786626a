/** Connections that are kept for further requests, for a bounded time. */
import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';

const MS_PER_SECOND = 1_000;
const KEEP_ALIVE_TIMEOUT = /(?:^|[,\s])timeout=(\d+)/i;
/** The share of the time stated by the other side within which a connection is used again. */
const STATED_SHARE = 0.8;

/** How long connections are kept. */
export interface PoolOptions {
  /** How long an idle connection is used again, in milliseconds. */
  readonly idleMs: number;
  /** How many idle connections are kept to one address. */
  readonly maxIdle: number;
}

function statedIdleMs(socket: Socket): number {
  const message =
    // eslint-disable-next-line no-underscore-dangle -- where the agent's own method looks, too
    (socket as { _httpMessage?: { res?: { headers: Record<string, string> } } })._httpMessage;
  const stated = KEEP_ALIVE_TIMEOUT.exec(message?.res?.headers['keep-alive'] ?? '')?.[1];
  return stated === undefined ? Infinity : Number(stated) * MS_PER_SECOND * STATED_SHARE;
}

/** An agent that gives up idle connections before the other side does. */
export class ConnectionPool extends Agent {
  /** @param pool - how long connections are kept */
  constructor(private readonly pool: PoolOptions) {
    super({ keepAlive: true, maxFreeSockets: pool.maxIdle, scheduling: 'lifo', noDelay: true });
  }

  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket;
    const idleMs = Math.min(this.pool.idleMs, statedIdleMs(socket));
    if (idleMs <= 0) {
      return false;
    }
    socket.setTimeout(idleMs);
    socket.unref();
    return true;
  }

  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    (stream as Socket).setTimeout(0);
    super.reuseSocket(stream, request);
  }
}
