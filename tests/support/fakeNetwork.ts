/** Simulates delayed links between nodes in one process; zones can be cut off and hosts can fail. */
import { toBinary } from '@bufbuild/protobuf';
import type { PeerMessage } from '@lentillb/protocol';
import { PeerMessageSchema } from '@lentillb/protocol';
import type { Clock, Log, LogFailure } from 'lentillb';
import { LogFailureKind } from 'lentillb';
import type { PeerAddress, PeerDialer } from 'lentillb/mesh/peerDialer.js';
import { MessageQueue } from 'lentillb/utils/messageQueue.js';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';

const QUEUE_CAPACITY = 100_000;
/** The maximum time for which a node waits for a connection that nobody accepts. */
const CONNECT_TIMEOUT_MS = 1_000;
/** The size of the envelope and the frame of each message, added to its encoded size. */
const FRAMING_BYTES = 14;

/** Accepts inbound links of a node. */
export interface Acceptor {
  accept(inbound: AsyncIterable<PeerMessage>): AsyncIterable<PeerMessage>;
}

/** The host and the zone of a node. */
export interface NodeLocation {
  readonly host: string;
  readonly zone: string;
}

/** A node that is registered with the network. */
interface Member extends NodeLocation {
  readonly acceptor: Acceptor;
  readonly incarnation: () => bigint;
}

/** A message in transit and the time at which it arrives. */
interface Delivery {
  readonly message: PeerMessage;
  readonly dueAtMs: number;
}

/** The numbers of messages and bytes sent over links. */
export interface Traffic {
  messages: number;
  bytes: number;
}

/** Simulates the network between nodes. */
export class FakeNetwork {
  /** The traffic by kind of message. */
  readonly traffic = new Map<string, Traffic>();

  private readonly members = new Map<number, Member>();

  private readonly isolatedZones = new Set<string>();

  private readonly blockedHosts = new Set<string>();

  private readonly connectionAborts = new Map<string, AbortController>();

  private nextPort = 1;

  /**
   * @param clock - measures the delays
   * @param delayMs - returns the delay of a message between two zones, in milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly delayMs: (from: string, to: string) => number,
  ) {}

  /**
   * Adds a node to the network.
   *
   * @param member - the node
   * @returns the port that reaches the node
   */
  register(member: Member): number {
    const port = this.nextPort;
    this.nextPort += 1;
    this.members.set(port, member);
    this.connectionAborts.set(member.host, new AbortController());
    return port;
  }

  /** Isolates a zone from all other zones and from the log. */
  isolateZone(zone: string): void {
    this.isolatedZones.add(zone);
  }

  /** Ends the isolation of a zone. */
  reconnectZone(zone: string): void {
    this.isolatedZones.delete(zone);
  }

  /** Drops all messages from and to a host without closing its connections. */
  blockHost(host: string): void {
    this.blockedHosts.add(host);
  }

  /** Delivers messages from and to a blocked host again. */
  unblockHost(host: string): void {
    this.blockedHosts.delete(host);
  }

  /** Closes all connections of a host and removes its nodes from the network. */
  killHost(host: string): void {
    this.members.forEach((member, port) => {
      if (member.host === host) {
        this.members.delete(port);
      }
    });
    this.connectionAborts.get(host)?.abort();
  }

  /** @returns the traffic of all kinds of message together */
  totalTraffic(): Traffic {
    const all = [...this.traffic.values()];
    return {
      messages: all.reduce((sum, { messages }) => sum + messages, 0),
      bytes: all.reduce((sum, { bytes }) => sum + bytes, 0),
    };
  }

  /**
   * @param from - the host and zone of the dialing node
   * @returns a dialer that opens simulated links
   */
  dialerFor(from: NodeLocation): PeerDialer {
    return {
      open: (peer, outbound, signal) => this.open(from, peer, outbound, signal),
      probe: (peer, host) => this.probe(from, peer, host),
    };
  }

  /**
   * @param log - the log
   * @param zone - the zone of the nodes that use the log
   * @returns a log that is unavailable while the zone is isolated
   */
  logFor(log: Log, zone: string): Log {
    const failure: LogFailure = { kind: LogFailureKind.Unavailable, message: 'zone is isolated' };
    const unlessIsolated = async <Value>(
      operation: () => Promise<Result<Value, LogFailure>>,
    ): Promise<Result<Value, LogFailure>> => {
      const wasIsolated = this.isolatedZones.has(zone);
      const result = wasIsolated ? Err(failure) : await operation();
      return this.isolatedZones.has(zone) ? Err(failure) : result;
    };
    return {
      append: (...args) => unlessIsolated(() => log.append(...args)),
      read: (...args) => unlessIsolated(() => log.read(...args)),
      range: (...args) => unlessIsolated(() => log.range(...args)),
      close: async () => undefined,
    };
  }

  private canReach(from: NodeLocation, to: NodeLocation): boolean {
    const areInDifferentZones = from.zone !== to.zone;
    const isIsolated =
      areInDifferentZones && (this.isolatedZones.has(from.zone) || this.isolatedZones.has(to.zone));
    return !isIsolated && !this.blockedHosts.has(from.host) && !this.blockedHosts.has(to.host);
  }

  private async probe(
    from: NodeLocation,
    { port }: PeerAddress,
    host: string,
  ): Promise<Result<bigint, string>> {
    const member = this.members.get(port);
    if (member === undefined || member.host !== host || !this.canReach(from, member)) {
      await this.clock.sleep(CONNECT_TIMEOUT_MS);
      return Err('no response');
    }
    await this.clock.sleep(2 * this.delayMs(from.zone, member.zone));
    return Ok(member.incarnation());
  }

  private async *open(
    from: NodeLocation,
    { port }: PeerAddress,
    outbound: AsyncIterable<PeerMessage>,
    signal: AbortSignal,
  ): AsyncGenerator<PeerMessage> {
    const to = this.members.get(port);
    if (to === undefined || !this.canReach(from, to)) {
      await this.clock.sleep(to === undefined ? 1 : CONNECT_TIMEOUT_MS, signal);
      throw new Error('connection refused');
    }
    const hostAborts = [from.host, to.host].flatMap(
      (host) => this.connectionAborts.get(host)?.signal ?? [],
    );
    const abortSignal = AbortSignal.any([signal, ...hostAborts]);
    const delivered = this.transmit(outbound, from, to, abortSignal);
    const received = this.transmit(to.acceptor.accept(delivered), to, from, abortSignal);
    yield* received;
    if (hostAborts.some(({ aborted }) => aborted)) {
      throw new Error('connection reset');
    }
  }

  /** Transmits messages in one direction, in order, each after the delay. */
  private transmit(
    messages: AsyncIterable<PeerMessage>,
    from: NodeLocation,
    to: NodeLocation,
    abortSignal: AbortSignal,
  ): AsyncIterable<PeerMessage> {
    const deliveries = new MessageQueue<Delivery>(QUEUE_CAPACITY);
    abortSignal.addEventListener('abort', () => deliveries.close(), { once: true });
    const collect = async (): Promise<void> => {
      for await (const message of messages) {
        this.count(message);
        const dueAtMs = this.clock.monotonicMs() + this.delayMs(from.zone, to.zone);
        deliveries.push({ message, dueAtMs });
      }
      deliveries.close();
    };
    collect().catch(() => deliveries.close());
    return this.deliver(deliveries, from, to, abortSignal);
  }

  private async *deliver(
    deliveries: MessageQueue<Delivery>,
    from: NodeLocation,
    to: NodeLocation,
    abortSignal: AbortSignal,
  ): AsyncGenerator<PeerMessage> {
    for await (const { message, dueAtMs } of deliveries) {
      const waitMs = dueAtMs - this.clock.monotonicMs();
      if (waitMs > 0) {
        await this.clock.sleep(waitMs, abortSignal);
      }
      if (abortSignal.aborted) {
        return;
      }
      if (this.canReach(from, to)) {
        yield message;
      }
    }
  }

  private count(message: PeerMessage): void {
    const kind = message.kind.case ?? 'none';
    const traffic = this.traffic.get(kind) ?? { messages: 0, bytes: 0 };
    traffic.messages += 1;
    traffic.bytes += toBinary(PeerMessageSchema, message).length + FRAMING_BYTES;
    this.traffic.set(kind, traffic);
  }
}
