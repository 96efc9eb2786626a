/**
 * Spreads configurations and announcements between nodes where the store does not reach them all:
 * nodes tell each other how new their knowledge is, and one that stays behind asks for what it lacks.
 */
import type { Result } from 'ts-results-es';
import { runInBackground } from '../utils/background.js';
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
import type { ReaderRole } from './readerRole.js';

/** How often a node greets others, in milliseconds: a lost datagram still leaves a second one a second. */
const ROUND_MS = 500;
/** In one of so many rounds a node of another zone is greeted, too. */
const ROUNDS_PER_OTHER_ZONE = 2;
/** How long a node that is behind waits for the store first, in milliseconds. */
const BEHIND_MS = 800;
/** A pause between two requests for another node's knowledge, in milliseconds. */
const FETCH_PAUSE_MS = 400;

/** Asks another node for its knowledge, or says why it did not give it. */
export type StateFetcher = (
  peerAddress: string,
  heldVersion: number,
) => Promise<Result<NodeState, string>>;

/** What gossip works with. */
export interface GossipServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly configuration: ConfigurationHolder;
  readonly directory: Directory;
  readonly carrier: GreetingCarrier;
  readonly fetchState: StateFetcher;
  readonly role: ReaderRole;
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

  /** A version that another node has and this one has not, and since when that is known. */
  private newerVersion: { readonly version: number; readonly sinceMs: number } | undefined;

  /** Since when the announcements of another node differ, by where it answers. */
  private readonly differsSinceMs = new Map<string, number>();

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
    const { directory, role } = this.services;
    const near = directory.announcements.find(
      ({ peerAddress, zone }) => peerAddress === from && zone === this.place.zone,
    );
    if (greeting.readsStore && near !== undefined) {
      role.hearReader(near.host);
    }
    this.compare(from, greeting, near !== undefined);
  }

  private greeting(kind: GreetingKind): Greeting {
    const { configuration, directory, role } = this.services;
    return {
      kind,
      readsStore: role.readsStore,
      configurationVersion: configuration.version,
      directoryDigest: directory.digest,
    };
  }

  /** Tells the other nodes of the zone at once what was read from the store. */
  spread(): void {
    const { carrier, role } = this.services;
    if (role.readsStore) {
      const greeting = this.greeting(GreetingKind.Answer);
      this.others(true).forEach(({ peerAddress }) => carrier.send(peerAddress, greeting));
    }
  }

  private others(near: boolean): readonly Announcement[] {
    return this.services.directory.announcements.filter(
      ({ host, zone }) => host !== this.place.host && (zone === this.place.zone) === near,
    );
  }

  private greetSome(): void {
    this.rounds += 1;
    const near = this.others(true);
    const far = this.others(false);
    this.spread();
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

  private compare(from: string, greeting: Greeting, isNear: boolean): void {
    const { clock, configuration, role } = this.services;
    const nowMs = clock.monotonicMs();
    const { configurationVersion, directoryDigest } = greeting;
    if (this.newerVersion === undefined || this.newerVersion.version <= configuration.version) {
      this.newerVersion =
        configurationVersion > configuration.version
          ? { version: configurationVersion, sinceMs: nowMs }
          : undefined;
    }
    const hasDiffered = this.noteDigest(from, directoryDigest, nowMs);
    const knowsNothing = configuration.version === 0 && configurationVersion > 0;
    const relies = isNear && greeting.readsStore && !role.shouldRead;
    const olderThanOther =
      configurationVersion > configuration.version && (relies || this.isBehind(nowMs));
    if (knowsNothing || olderThanOther || hasDiffered) {
      this.fetch(from);
    }
  }

  private isBehind(nowMs: number): boolean {
    return this.newerVersion !== undefined && nowMs - this.newerVersion.sinceMs >= BEHIND_MS;
  }

  /** Whether another node's announcements have differed for a while. */
  private noteDigest(from: string, digest: number, nowMs: number): boolean {
    if (digest === this.services.directory.digest) {
      this.differsSinceMs.delete(from);
      return false;
    }
    const sinceMs = this.differsSinceMs.get(from) ?? nowMs;
    this.differsSinceMs.set(from, sinceMs);
    return nowMs - sinceMs >= BEHIND_MS;
  }

  private fetch(from: string): void {
    const { clock } = this.services;
    if (this.fetching || clock.monotonicMs() - this.fetchedAtMs < FETCH_PAUSE_MS) {
      return;
    }
    this.fetching = true;
    runInBackground(this.fetchFrom(from));
  }

  private async fetchFrom(from: string): Promise<void> {
    const { clock, configuration, fetchState, log } = this.services;
    const fetched = await fetchState(from, configuration.version);
    this.fetching = false;
    this.fetchedAtMs = clock.monotonicMs();
    if (fetched.isErr()) {
      log.record(Weight.Notable, 'state-not-fetched', { from, reason: fetched.error });
      return;
    }
    const state = fetched.value;
    const { length: hosts } = state.announcements;
    const { baseVersion, version } = state.change ?? {};
    log.record(Weight.Notable, 'state-fetched', { from, baseVersion, version, hosts });
    this.onState(state);
    this.differsSinceMs.delete(from);
  }
}
