/** Forwards TCP connections and injects faults into them. */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { listenAt, parseAddress } from 'lentillb/sidecar';
import type { Clock } from 'lentillb/sidecar';

/** The faults that a relay can inject. */
export const RelayFault = {
  /** Delivers each chunk late, in order. */
  Delay: 'delay',
  /** Resets existing and new connections. */
  Reset: 'reset',
  /** Delivers nothing in either direction until the fault ends. */
  StallBoth: 'silence',
  /** Delivers nothing to the side that opened the connection until the fault ends. */
  StallToDownstream: 'cut-back',
  /** Delivers nothing to the target until the fault ends. */
  StallToUpstream: 'cut-forth',
} as const;
export type RelayFault = (typeof RelayFault)[keyof typeof RelayFault];

/** The socket that a client opened, joined to the socket that leads to the target. */
interface Connection {
  readonly downstream: Socket;
  readonly upstream: Socket;
}

/** The directions in which each fault holds data back. */
const stalledDirections: Readonly<
  Record<RelayFault, { readonly toUpstream: boolean; readonly toDownstream: boolean }>
> = {
  [RelayFault.Delay]: { toUpstream: false, toDownstream: false },
  [RelayFault.Reset]: { toUpstream: false, toDownstream: false },
  [RelayFault.StallBoth]: { toUpstream: true, toDownstream: true },
  [RelayFault.StallToDownstream]: { toUpstream: false, toDownstream: true },
  [RelayFault.StallToUpstream]: { toUpstream: true, toDownstream: false },
};

const NO_STALL = { toUpstream: false, toDownstream: false };

function pauseOrResume(socket: Socket, paused: boolean): void {
  if (paused) {
    socket.pause();
  } else {
    socket.resume();
  }
}

/** Listens on one address and forwards each connection to a target. */
export class Relay {
  private readonly server: Server;

  private readonly connections = new Set<Connection>();

  /** The connections that went silent for good. */
  private readonly silenced = new Set<Connection>();

  private fault: RelayFault | undefined;

  /**
   * @param clock - measures the delays
   * @param target - returns the address that a new connection is forwarded to
   * @param delayMs - the delay of each chunk under the fault `delay`, in milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly target: () => string,
    private readonly delayMs: number,
  ) {
    this.server = createServer({ allowHalfOpen: true, noDelay: true }, (socket) =>
      this.accept(socket),
    );
  }

  /** @param address - the address and port to listen on */
  async listen(address: string): Promise<void> {
    await listenAt(this.server, parseAddress(address));
  }

  /** @param fault - the fault to inject from now on, or undefined to forward everything */
  setFault(fault: RelayFault | undefined): void {
    this.fault = fault;
    if (fault === RelayFault.Reset) {
      this.connections.forEach(({ downstream, upstream }) => {
        downstream.resetAndDestroy();
        upstream.resetAndDestroy();
      });
    }
    this.connections.forEach((connection) => this.applyFault(connection));
  }

  /**
   * Lets all open connections go silent for good, in both directions and without a reset, as when
   * something between the two ends has lost track of them. New connections work.
   */
  silenceOpenConnections(): void {
    this.connections.forEach((connection) => {
      this.connections.delete(connection);
      this.silenced.add(connection);
      [connection.downstream, connection.upstream].forEach((socket) => {
        socket.removeAllListeners('data');
        socket.removeAllListeners('end');
        socket.pause();
      });
    });
  }

  /** Refuses new connections; open ones go on. */
  stopListening(): void {
    this.server.close();
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    [...this.connections, ...this.silenced].forEach(({ downstream, upstream }) => {
      downstream.destroy();
      upstream.destroy();
    });
  }

  private accept(downstream: Socket): void {
    if (this.fault === RelayFault.Reset) {
      downstream.resetAndDestroy();
      return;
    }
    const { host, port } = parseAddress(this.target());
    const upstream = connect({ host, port, allowHalfOpen: true, noDelay: true });
    const connection = { downstream, upstream };
    this.connections.add(connection);
    this.forward(connection, downstream, upstream);
    this.forward(connection, upstream, downstream);
    this.applyFault(connection);
  }

  private forward(connection: Connection, from: Socket, to: Socket): void {
    // Runs the actions one after the other, so that no chunk overtakes a delayed one.
    let pendingWork = Promise.resolve();
    const enqueue = (action: () => void): void => {
      const delayMs = this.fault === RelayFault.Delay ? this.delayMs : 0;
      pendingWork = pendingWork
        .then(() => (delayMs > 0 ? this.clock.sleep(delayMs) : undefined))
        .then(action);
    };
    from.on('data', (chunk: Buffer) => enqueue(() => to.write(chunk)));
    from.on('end', () => enqueue(() => to.end()));
    // Resets the other side too, whichever side failed.
    from.on('error', () => {
      if (!this.silenced.has(connection)) {
        to.resetAndDestroy();
      }
    });
    from.on('close', () => {
      this.connections.delete(connection);
      if (!this.silenced.has(connection)) {
        to.destroySoon();
      }
    });
  }

  private applyFault({ upstream, downstream }: Connection): void {
    const { toDownstream, toUpstream } =
      this.fault === undefined ? NO_STALL : stalledDirections[this.fault];
    pauseOrResume(downstream, toUpstream);
    pauseOrResume(upstream, toDownstream);
  }
}
