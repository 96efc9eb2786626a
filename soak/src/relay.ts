/** Passes TCP connections on, and disturbs them on request. */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { listenAt, parseAddress } from 'lentillb/sidecar';
import type { Clock } from 'lentillb/sidecar';

/** What a relay does to its connections. */
export const RelayFault = {
  /** Every chunk arrives later. */
  Delay: 'delay',
  /** Connections are reset, new ones too. */
  Reset: 'reset',
  /** Nothing arrives on either side; it does once the fault is over. */
  Silence: 'silence',
  /** Nothing arrives at the side that opened the connection. */
  CutBack: 'cut-back',
  /** Nothing arrives at the side that was connected to. */
  CutForth: 'cut-forth',
} as const;
export type RelayFault = (typeof RelayFault)[keyof typeof RelayFault];

interface Pair {
  readonly opened: Socket;
  readonly onward: Socket;
}

/** The directions in which a fault holds bytes back. */
const held: Readonly<Record<RelayFault, { readonly forth: boolean; readonly back: boolean }>> = {
  [RelayFault.Delay]: { forth: false, back: false },
  [RelayFault.Reset]: { forth: false, back: false },
  [RelayFault.Silence]: { forth: true, back: true },
  [RelayFault.CutBack]: { forth: false, back: true },
  [RelayFault.CutForth]: { forth: true, back: false },
};

const NOTHING_HELD = { forth: false, back: false };

function pauseOrResume(socket: Socket, paused: boolean): void {
  if (paused) {
    socket.pause();
  } else {
    socket.resume();
  }
}

/** One address that stands in front of another. */
export class Relay {
  private readonly server: Server;

  private readonly pairs = new Set<Pair>();

  private fault: RelayFault | undefined;

  /**
   * @param clock - the clock of delays
   * @param target - the address that a new connection is passed on to
   * @param delayMs - how much later chunks arrive under `delay`, in milliseconds
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

  /** @param address - where to listen */
  async listen(address: string): Promise<void> {
    await listenAt(this.server, parseAddress(address));
  }

  /** @param fault - what to do from now on; undefined passes everything on */
  disturb(fault: RelayFault | undefined): void {
    this.fault = fault;
    if (fault === RelayFault.Reset) {
      this.pairs.forEach(({ opened, onward }) => {
        opened.resetAndDestroy();
        onward.resetAndDestroy();
      });
    }
    this.pairs.forEach((pair) => this.hold(pair));
  }

  /** Ends the relay and its connections. */
  close(): void {
    this.server.close();
    this.pairs.forEach(({ opened, onward }) => {
      opened.destroy();
      onward.destroy();
    });
  }

  private accept(opened: Socket): void {
    if (this.fault === RelayFault.Reset) {
      opened.resetAndDestroy();
      return;
    }
    const { host, port } = parseAddress(this.target());
    const onward = connect({ host, port, allowHalfOpen: true, noDelay: true });
    const pair = { opened, onward };
    this.pairs.add(pair);
    this.pass(pair, opened, onward);
    this.pass(pair, onward, opened);
    this.hold(pair);
  }

  private pass(pair: Pair, from: Socket, to: Socket): void {
    // One after the other, so that nothing overtakes what was delayed before it.
    let last = Promise.resolve();
    const later = (action: () => void): void => {
      const delayMs = this.fault === RelayFault.Delay ? this.delayMs : 0;
      last = last.then(() => (delayMs > 0 ? this.clock.sleep(delayMs) : undefined)).then(action);
    };
    from.on('data', (chunk: Buffer) => later(() => to.write(chunk)));
    from.on('end', () => later(() => to.end()));
    // A lost connection is lost on both sides; who lost it does not matter here.
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => {
      this.pairs.delete(pair);
      to.destroySoon();
    });
  }

  private hold({ onward, opened }: Pair): void {
    const { back, forth } = this.fault === undefined ? NOTHING_HELD : held[this.fault];
    pauseOrResume(opened, forth);
    pauseOrResume(onward, back);
  }
}
