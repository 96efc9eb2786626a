/** Links between nodes in one process, with delays, cuts, silence and deaths, on a manual clock. */
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
/** How long a node waits for a connection that nobody answers, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** What a message costs beyond its bytes: envelope and frame, in bytes. */
const FRAMING_BYTES = 14;

/** The accepting side of a node. */
export interface Acceptor {
  accept(inbound: AsyncIterable<PeerMessage>): AsyncIterable<PeerMessage>;
}

/** Where a node stands. */
export interface Station {
  readonly host: string;
  readonly zone: string;
}

interface Member extends Station {
  readonly acceptor: Acceptor;
  readonly incarnation: () => bigint;
}

interface Delivery {
  readonly message: PeerMessage;
  readonly atMs: number;
}

/** How many messages and bytes went over links. */
export interface Traffic {
  messages: number;
  bytes: number;
}

/** A network of nodes. */
export class FakeNetwork {
  /** Messages by kind. */
  readonly traffic = new Map<string, Traffic>();

  private readonly members = new Map<number, Member>();

  private readonly cutZones = new Set<string>();

  private readonly silentHosts = new Set<string>();

  private readonly dead = new Map<string, AbortController>();

  private nextPort = 1;

  /**
   * @param clock - the clock that delays go by
   * @param delayMs - how long a message takes between two zones, in milliseconds
   */
  constructor(
    private readonly clock: Clock,
    private readonly delayMs: (from: string, to: string) => number,
  ) {}

  /**
   * Makes a node reachable.
   *
   * @param member - the node
   * @returns the port it is reached by
   */
  register(member: Member): number {
    const port = this.nextPort;
    this.nextPort += 1;
    this.members.set(port, member);
    this.dead.set(member.host, new AbortController());
    return port;
  }

  /** Cuts a zone off from all other zones and from the log. */
  cut(zone: string): void {
    this.cutZones.add(zone);
  }

  /** Ends a cut. */
  heal(zone: string): void {
    this.cutZones.delete(zone);
  }

  /** Lets nothing through from or to a host, without ending its connections. */
  silence(host: string): void {
    this.silentHosts.add(host);
  }

  /** Ends the silence. */
  unsilence(host: string): void {
    this.silentHosts.delete(host);
  }

  /** Ends all connections of a host and takes it off the network. */
  kill(host: string): void {
    this.members.forEach((member, port) => {
      if (member.host === host) {
        this.members.delete(port);
      }
    });
    this.dead.get(host)?.abort();
  }

  /** @returns all messages and bytes that went over links */
  total(): Traffic {
    const all = [...this.traffic.values()];
    return {
      messages: all.reduce((sum, { messages }) => sum + messages, 0),
      bytes: all.reduce((sum, { bytes }) => sum + bytes, 0),
    };
  }

  /**
   * @param from - the node that dials
   * @returns its way to others
   */
  dialerFor(from: Station): PeerDialer {
    return {
      open: (peer, outbound, signal) => this.open(from, peer, outbound, signal),
      probe: (peer, host) => this.probe(from, peer, host),
    };
  }

  /**
   * @param log - the log
   * @param zone - a zone
   * @returns the log as nodes of that zone reach it
   */
  logFor(log: Log, zone: string): Log {
    const failure: LogFailure = { kind: LogFailureKind.Unavailable, message: 'cut off' };
    const unless = async <Value>(
      ask: () => Promise<Result<Value, LogFailure>>,
    ): Promise<Result<Value, LogFailure>> => {
      const before = this.cutZones.has(zone);
      const answer = before ? Err(failure) : await ask();
      return this.cutZones.has(zone) ? Err(failure) : answer;
    };
    return {
      append: (...args) => unless(() => log.append(...args)),
      read: (...args) => unless(() => log.read(...args)),
      range: (...args) => unless(() => log.range(...args)),
      close: async () => undefined,
    };
  }

  private passes(from: Station, to: Station): boolean {
    const apart = from.zone !== to.zone;
    const cut = apart && (this.cutZones.has(from.zone) || this.cutZones.has(to.zone));
    return !cut && !this.silentHosts.has(from.host) && !this.silentHosts.has(to.host);
  }

  private async probe(
    from: Station,
    { port }: PeerAddress,
    host: string,
  ): Promise<Result<bigint, string>> {
    const member = this.members.get(port);
    if (member === undefined || member.host !== host || !this.passes(from, member)) {
      await this.clock.sleep(CONNECT_TIMEOUT_MS);
      return Err('no answer');
    }
    await this.clock.sleep(2 * this.delayMs(from.zone, member.zone));
    return Ok(member.incarnation());
  }

  private async *open(
    from: Station,
    { port }: PeerAddress,
    outbound: AsyncIterable<PeerMessage>,
    signal: AbortSignal,
  ): AsyncGenerator<PeerMessage> {
    const to = this.members.get(port);
    if (to === undefined || !this.passes(from, to)) {
      await this.clock.sleep(to === undefined ? 1 : CONNECT_TIMEOUT_MS, signal);
      throw new Error('connection refused');
    }
    const deaths = [from.host, to.host].flatMap((host) => this.dead.get(host)?.signal ?? []);
    const broken = AbortSignal.any([signal, ...deaths]);
    const there = this.carry(outbound, from, to, broken);
    const back = this.carry(to.acceptor.accept(there), to, from, broken);
    yield* back;
    if (deaths.some(({ aborted }) => aborted)) {
      throw new Error('connection reset');
    }
  }

  /** Carries messages one way, each after the delay, in order. */
  private carry(
    messages: AsyncIterable<PeerMessage>,
    from: Station,
    to: Station,
    broken: AbortSignal,
  ): AsyncIterable<PeerMessage> {
    const underWay = new MessageQueue<Delivery>(QUEUE_CAPACITY);
    broken.addEventListener('abort', () => underWay.close(), { once: true });
    const collect = async (): Promise<void> => {
      for await (const message of messages) {
        this.count(message);
        const atMs = this.clock.monotonicMs() + this.delayMs(from.zone, to.zone);
        underWay.push({ message, atMs });
      }
      underWay.close();
    };
    collect().catch(() => underWay.close());
    return this.deliver(underWay, from, to, broken);
  }

  private async *deliver(
    underWay: MessageQueue<Delivery>,
    from: Station,
    to: Station,
    broken: AbortSignal,
  ): AsyncGenerator<PeerMessage> {
    for await (const { message, atMs } of underWay) {
      const waitMs = atMs - this.clock.monotonicMs();
      if (waitMs > 0) {
        await this.clock.sleep(waitMs, broken);
      }
      if (broken.aborted) {
        return;
      }
      if (this.passes(from, to)) {
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
