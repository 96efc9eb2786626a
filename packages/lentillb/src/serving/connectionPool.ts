/** Keeps connections for reuse for a limited time. */
import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import type { Clock } from '../kernel/clock.js';
import { parseAddress } from '../utils/networkAddress.js';

const MS_PER_SECOND = 1_000;
const KEEP_ALIVE_TIMEOUT = /(?:^|[,\s])timeout=(\d+)/i;
/** The share of the peer's keep-alive timeout for which an idle connection is reused. */
const PEER_TIMEOUT_SHARE = 0.8;

/**
 * The maximum idle time after a loss; it covers the pause between requests on a busy connection.
 */
const REDUCED_IDLE_MS = 20;
/**
 * The time for which the reduced limit lasts, because a server that dropped one connection drops
 * others.
 */
const REDUCED_IDLE_PERIOD_MS = 10_000;

/** The limits on connections that are kept for reuse. */
export interface PoolOptions {
  /** The idle time after which a connection is closed, in milliseconds. */
  readonly idleMs: number;
  /** The maximum number of idle connections to one address. */
  readonly maxIdle: number;
}

/** An answer that is awaited; times are in milliseconds of the monotonic clock. */
export interface AwaitedAnswer {
  /** The address and port that its request was sent to. */
  readonly address: string;
  readonly sentAtMs: number;
  /** From when on its connection may have gone silent. */
  readonly overdueAtMs: number;
}

function destroyOnData(this: Socket): void {
  this.destroy();
}

function peerIdleMs(socket: Socket): number {
  const message =
    // eslint-disable-next-line no-underscore-dangle -- Node's Agent reads the header from here, too
    (socket as { _httpMessage?: { res?: { headers: Record<string, string> } } })._httpMessage;
  const stated = KEEP_ALIVE_TIMEOUT.exec(message?.res?.headers['keep-alive'] ?? '')?.[1];
  return stated === undefined ? Infinity : Number(stated) * MS_PER_SECOND * PEER_TIMEOUT_SHARE;
}

/**
 * Closes idle connections before the peer does. Some backend servers drop idle connections earlier
 * than they state, which may lose a request that may not be repeated. After one such loss the pool
 * closes all idle connections and for a while reuses only those that were idle very briefly.
 */
export class ConnectionPool extends Agent {
  private reducedIdleUntilMs = -Infinity;

  /** When each idle connection was last heard, in milliseconds of the monotonic clock. */
  private readonly heardAtMs = new WeakMap<Duplex, number>();

  private readonly awaitedAnswers = new Set<AwaitedAnswer>();

  /**
   * @param clock - the clock for the period of the reduced idle limit
   * @param pool - the limits on idle connections
   */
  constructor(
    private readonly clock: Clock,
    private readonly pool: PoolOptions,
  ) {
    super({ keepAlive: true, maxFreeSockets: pool.maxIdle, scheduling: 'lifo', noDelay: true });
  }

  /** Records that a reused connection was lost, and closes all idle connections. */
  recordConnectionLoss(): void {
    this.reducedIdleUntilMs = this.clock.monotonicMs() + REDUCED_IDLE_PERIOD_MS;
    Object.values(this.freeSockets)
      .flatMap((sockets) => sockets ?? [])
      .forEach((socket) => socket.destroy());
  }

  /**
   * Records that a request is about to be sent. While another one is overdue, idle connections that
   * may be as silent as its own are closed before.
   *
   * @param address - the address and port that the request is sent to
   * @param usualMs - how long its answer takes at most in usual cases, in milliseconds
   * @returns the answer, to be passed to `recordEnd`
   */
  recordRequest(address: string, usualMs: number): AwaitedAnswer {
    const nowMs = this.clock.monotonicMs();
    this.awaitedAnswers.forEach((awaited) => {
      if (awaited.overdueAtMs <= nowMs && awaited.address === address) {
        this.closeUnheard(address, awaited.sentAtMs);
      }
    });
    const answer = { address, sentAtMs: nowMs, overdueAtMs: nowMs + usualMs };
    this.awaitedAnswers.add(answer);
    return answer;
  }

  /**
   * Records that a request has been answered or given up.
   *
   * @param answer - the answer that was awaited
   */
  recordEnd(answer: AwaitedAnswer): void {
    this.awaitedAnswers.delete(answer);
    if (answer.overdueAtMs <= this.clock.monotonicMs()) {
      this.closeUnheard(answer.address, answer.sentAtMs);
    }
  }

  /**
   * Closes the idle connections to an address that have not been heard since a given time. Called when
   * a connection seems to have gone silent without a reset: what has lost track of it may have lost
   * track of the others, too, and each of them would cost a request of its own.
   *
   * @param address - the address and port that the connections lead to
   * @param sinceMs - the time since which they must have been heard, in milliseconds of the clock
   */
  closeUnheard(address: string, sinceMs: number): void {
    const idle = this.freeSockets[this.getName(parseAddress(address))] ?? [];
    idle
      .filter((socket) => (this.heardAtMs.get(socket) ?? -Infinity) < sinceMs)
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
    this.heardAtMs.set(socket, this.clock.monotonicMs());
    socket.setTimeout(idleMs);
    socket.unref();
    // Nothing was asked for, so what arrives now would be taken for the next answer, or spoil it.
    socket.on('data', destroyOnData);
    return true;
  }

  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    (stream as Socket).setTimeout(0);
    stream.off('data', destroyOnData);
    super.reuseSocket(stream, request);
  }
}
