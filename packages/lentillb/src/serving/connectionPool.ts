/** Connections that are kept for further requests, for a bounded time. */
import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import type { Clock } from '../kernel/clock.js';

const MS_PER_SECOND = 1_000;
const KEEP_ALIVE_TIMEOUT = /(?:^|[,\s])timeout=(\d+)/i;
/** The share of the time stated by the other side within which a connection is used again. */
const PEER_TIMEOUT_SHARE = 0.8;

/** How long an idle connection is used again after one was lost, in milliseconds: a busy one's pause. */
const REDUCED_IDLE_MS = 20;
/** How long that lasts, in milliseconds: a backend server that forgets one forgets others. */
const REDUCED_IDLE_PERIOD_MS = 10_000;

/** How long connections are kept. */
export interface PoolOptions {
  /** How long an idle connection is used again, in milliseconds. */
  readonly idleMs: number;
  /** How many idle connections are kept to one address. */
  readonly maxIdle: number;
}

function peerIdleMs(socket: Socket): number {
  const message =
    // eslint-disable-next-line no-underscore-dangle -- where the agent's own method looks, too
    (socket as { _httpMessage?: { res?: { headers: Record<string, string> } } })._httpMessage;
  const stated = KEEP_ALIVE_TIMEOUT.exec(message?.res?.headers['keep-alive'] ?? '')?.[1];
  return stated === undefined ? Infinity : Number(stated) * MS_PER_SECOND * PEER_TIMEOUT_SHARE;
}

/**
 * An agent that gives up idle connections before the other side does. Answers backend servers that
 * forget idle connections earlier than they say: after one was lost the others are closed, and for
 * a while none that has been idle is used for a request that may not be repeated.
 */
export class ConnectionPool extends Agent {
  private reducedIdleUntilMs = -Infinity;

  /**
   * @param clock - the clock of the pool
   * @param pool - how long connections are kept
   */
  constructor(
    private readonly clock: Clock,
    private readonly pool: PoolOptions,
  ) {
    super({ keepAlive: true, maxFreeSockets: pool.maxIdle, scheduling: 'lifo', noDelay: true });
  }

  /** Notes that a kept connection turned out to be lost. */
  recordConnectionLoss(): void {
    this.reducedIdleUntilMs = this.clock.monotonicMs() + REDUCED_IDLE_PERIOD_MS;
    Object.values(this.freeSockets)
      .flatMap((sockets) => sockets ?? [])
      .forEach((socket) => socket.destroy());
  }

  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket;
    const isReduced = this.clock.monotonicMs() < this.reducedIdleUntilMs;
    const ownIdleMs = isReduced ? REDUCED_IDLE_MS : this.pool.idleMs;
    const idleMs = Math.min(ownIdleMs, peerIdleMs(socket));
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
