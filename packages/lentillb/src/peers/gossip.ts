/**
 * Spreads configurations and announcements between nodes where the store does not reach them all:
 * nodes tell each other how new their knowledge is, and one that stays behind asks for what it lacks.
 */
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { Directory } from '../directory/directory.js';
import type { Announcement } from '../directory/announcement.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Weight } from '../observability/decisionLog.js';
import type { Greeting } from './greeting.js';
import { GreetingKind } from './greeting.js';
import type { NodeState } from './nodeState.js';
import type { GreetingCarrier } from './peerSocket.js';

/** How often a node greets others, in milliseconds: a lost datagram still leaves a second one a second. */
const ROUND_MS = 500;
/** In one of so many rounds a node of another zone is greeted, too. */
const ROUNDS_PER_OTHER_ZONE = 2;
/** How long a node that is behind waits for the store first, in milliseconds. */
const BEHIND_MS = 800;
/** A pause between two requests for another node's knowledge, in milliseconds. */
const FETCH_PAUSE_MS = 400;

/** Asks another node for its knowledge; undefined where it did not give it. */
export type StateFetcher = (
  peerAddress: string,
  heldVersion: number,
) => Promise<NodeState | undefined>;

/** What gossip works with. */
export interface GossipServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly configuration: ConfigurationHolder;
  readonly directory: Directory;
  readonly carrier: GreetingCarrier;
  readonly fetchState: StateFetcher;
  readonly log: DecisionLog;
}

/** Where this node is. */
export interface GossipPlace {
  readonly host: string;
  readonly zone: string;
}

/** Keeps a node's knowledge level with that of others. */
export class Gossip {
  private rounds = 0;

  private stopped = false;

  private configurationBehindSinceMs: number | undefined;

  private directoryBehindSinceMs: number | undefined;

  private fetching = false;

  private fetchedAtMs = -Infinity;

  /**
   * @param services - what it works with
   * @param place - where this node is
   * @param onState - called with knowledge that another node gave
   */
  constructor(
    private readonly services: GossipServices,
    private readonly place: GossipPlace,
    private readonly onState: (state: NodeState) => void,
  ) {}

  /** Greets other nodes until `stop`. */
  async run(): Promise<void> {
    const { clock, randomness } = this.services;
    while (!this.stopped) {
      await clock.sleep(ROUND_MS * (1 + (randomness.fraction() - 1 / 2) / 2));
      if (!this.stopped) {
        this.greetSome();
      }
    }
  }

  /** Ends greeting. */
  stop(): void {
    this.stopped = true;
  }

  /**
   * Sends a greeting that asks for an answer.
   *
   * @param peerAddress - where a node answers others
   */
  greet(peerAddress: string): void {
    this.services.carrier.send(peerAddress, this.greeting(GreetingKind.Ask));
  }

  /**
   * Takes a greeting in.
   *
   * @param from - where it came from
   * @param greeting - what it says
   */
  receive(from: string, greeting: Greeting): void {
    if (greeting.kind === GreetingKind.Ask) {
      this.services.carrier.send(from, this.greeting(GreetingKind.Answer));
    }
    this.compare(from, greeting);
  }

  private greeting(kind: GreetingKind): Greeting {
    const { configuration, directory } = this.services;
    return {
      kind,
      configurationVersion: configuration.version,
      directoryDigest: directory.digest,
    };
  }

  private greetSome(): void {
    this.rounds += 1;
    const { directory } = this.services;
    const others = directory.announcements.filter(({ host }) => host !== this.place.host);
    const near = others.filter(({ zone }) => zone === this.place.zone);
    const far = others.filter(({ zone }) => zone !== this.place.zone);
    this.greetOneOf(near);
    if (near.length === 0 || this.rounds % ROUNDS_PER_OTHER_ZONE === 0) {
      this.greetOneOf(far);
    }
  }

  private greetOneOf(announcements: readonly Announcement[]): void {
    if (announcements.length > 0) {
      const chosen = announcements[this.services.randomness.integer(announcements.length)];
      this.greet((chosen as Announcement).peerAddress);
    }
  }

  private compare(from: string, greeting: Greeting): void {
    const { clock, configuration, directory } = this.services;
    const nowMs = clock.monotonicMs();
    const { configurationVersion, directoryDigest } = greeting;
    if (configurationVersion > configuration.version) {
      this.configurationBehindSinceMs ??= nowMs;
    } else if (configurationVersion === configuration.version) {
      this.configurationBehindSinceMs = undefined;
    }
    if (directoryDigest === directory.digest) {
      this.directoryBehindSinceMs = undefined;
    } else {
      this.directoryBehindSinceMs ??= nowMs;
    }
    const isBehind = (sinceMs: number | undefined): boolean =>
      sinceMs !== undefined && nowMs - sinceMs >= BEHIND_MS;
    const knowsNothing = configuration.version === 0 && configurationVersion > 0;
    const olderThanOther =
      configurationVersion > configuration.version && isBehind(this.configurationBehindSinceMs);
    const differs = directoryDigest !== directory.digest && isBehind(this.directoryBehindSinceMs);
    if (knowsNothing || olderThanOther || differs) {
      this.fetch(from);
    }
  }

  private fetch(from: string): void {
    const { clock } = this.services;
    if (this.fetching || clock.monotonicMs() - this.fetchedAtMs < FETCH_PAUSE_MS) {
      return;
    }
    this.fetching = true;
    // A fetch never fails; what is not given is undefined.
    void this.fetchFrom(from);
  }

  private async fetchFrom(from: string): Promise<void> {
    const { clock, configuration, fetchState, log } = this.services;
    const state = await fetchState(from, configuration.version);
    this.fetching = false;
    this.fetchedAtMs = clock.monotonicMs();
    const version = state?.configuration?.version;
    log.record(Weight.Notable, 'state-fetched', {
      from,
      given: state !== undefined,
      version,
      hosts: state?.announcements.length,
    });
    if (state !== undefined) {
      this.onState(state);
      this.directoryBehindSinceMs = undefined;
    }
  }
}
