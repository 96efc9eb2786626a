/** Loopback links with the delay of links between availability zones, and with simulated partitions. */
import type { PeerMessage } from '@lentillb/protocol';
import type { Clock, PeerAddress, PeerDialer } from 'lentillb';
import { ConnectDialer, MessageQueue } from 'lentillb';
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';

const QUEUE_CAPACITY = 100_000;

interface DelayedMessage {
  readonly message: PeerMessage;
  readonly deliverAtMs: number;
}

/** The simulated network between one node and the others. */
export interface NetworkPath {
  /** Returns the one-way delay of messages from and to a peer port, in milliseconds. */
  readonly delayMs: (port: number) => number;
  /** Returns whether messages pass between this node and a peer port. */
  readonly isReachable: (port: number) => boolean;
}

/** Opens real links and delays their messages. A partition drops messages without closing connections. */
export class DelayingDialer implements PeerDialer {
  private readonly dialer = new ConnectDialer();

  /**
   * @param clock - the clock that measures delays
   * @param path - the simulated network to the other nodes
   */
  constructor(
    private readonly clock: Clock,
    private readonly path: NetworkPath,
  ) {}

  open(
    peer: PeerAddress,
    outbound: AsyncIterable<PeerMessage>,
    signal: AbortSignal,
  ): AsyncIterable<PeerMessage> {
    const { port } = peer;
    return this.delayMessages(
      this.dialer.open(peer, this.delayMessages(outbound, port), signal),
      port,
    );
  }

  async probe(peer: PeerAddress, host: string, timeoutMs: number): Promise<Result<bigint, string>> {
    if (!this.path.isReachable(peer.port)) {
      await this.clock.sleep(timeoutMs);
      return Err('no response to the probe');
    }
    return this.dialer.probe(peer, host, timeoutMs);
  }

  private async *delayMessages(
    messages: AsyncIterable<PeerMessage>,
    port: number,
  ): AsyncGenerator<PeerMessage> {
    const inTransit = new MessageQueue<DelayedMessage>(QUEUE_CAPACITY);
    let failure: unknown;
    const collect = async (): Promise<void> => {
      for await (const message of messages) {
        inTransit.push({
          message,
          deliverAtMs: this.clock.monotonicMs() + this.path.delayMs(port),
        });
      }
    };
    collect()
      .catch((error: unknown) => {
        failure = error;
      })
      .finally(() => inTransit.close());
    for await (const { message, deliverAtMs } of inTransit) {
      const waitMs = deliverAtMs - this.clock.monotonicMs();
      if (waitMs > 0) {
        await this.clock.sleep(waitMs);
      }
      if (this.path.isReachable(port)) {
        yield message;
      }
    }
    if (failure !== undefined) {
      throw failure as Error;
    }
  }
}
