/** Links over loopback that take as long as links between availability zones. */
import type { PeerMessage } from '@lentillb/protocol';
import type { Clock, PeerAddress, PeerDialer } from 'lentillb';
import { ConnectDialer, MessageQueue } from 'lentillb';
import type { Result } from 'ts-results-es';

const QUEUE_CAPACITY = 100_000;

interface Delivery {
  readonly message: PeerMessage;
  readonly atMs: number;
}

/** Delays the messages of real links. */
export class DelayingDialer implements PeerDialer {
  private readonly dialer = new ConnectDialer();

  /**
   * @param clock - the clock that delays go by
   * @param delayMs - how long a message takes to a port, in milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly delayMs: (port: number) => number,
  ) {}

  open(
    peer: PeerAddress,
    outbound: AsyncIterable<PeerMessage>,
    signal: AbortSignal,
  ): AsyncIterable<PeerMessage> {
    const delayMs = this.delayMs(peer.port);
    if (delayMs === 0) {
      return this.dialer.open(peer, outbound, signal);
    }
    return this.delay(this.dialer.open(peer, this.delay(outbound, delayMs), signal), delayMs);
  }

  probe(peer: PeerAddress, host: string, timeoutMs: number): Promise<Result<bigint, string>> {
    return this.dialer.probe(peer, host, timeoutMs);
  }

  private async *delay(
    messages: AsyncIterable<PeerMessage>,
    delayMs: number,
  ): AsyncGenerator<PeerMessage> {
    const underWay = new MessageQueue<Delivery>(QUEUE_CAPACITY);
    let failure: unknown;
    const collect = async (): Promise<void> => {
      for await (const message of messages) {
        underWay.push({ message, atMs: this.clock.monotonicMs() + delayMs });
      }
    };
    collect()
      .catch((error: unknown) => {
        failure = error;
      })
      .finally(() => underWay.close());
    for await (const { message, atMs } of underWay) {
      await this.clock.sleep(Math.max(0, atMs - this.clock.monotonicMs()));
      yield message;
    }
    if (failure !== undefined) {
      throw failure as Error;
    }
  }
}
