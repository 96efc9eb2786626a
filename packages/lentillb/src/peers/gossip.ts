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
import type { GossipMessage } from './gossipMessage.js';
import { GossipMessageKind } from './gossipMessage.js';
import type { NodeState } from './nodeState.js';
import type { GossipTransport } from './gossipSocket.js';
import type { ReaderRole } from './readerRole.js';

/** How often a node greets others, in milliseconds: a lost datagram still leaves a second one a second. */
const ROUND_INTERVAL_MS = 500;
/** In one of so many rounds a node of another zone is greeted, too. */
const ROUNDS_PER_OTHER_ZONE_PING = 2;
/** How long a node that is behind waits for the store first, in milliseconds. */
const STORE_GRACE_MS = 800;
/** A pause between two requests for another node's knowledge, in milliseconds. */
const FETCH_INTERVAL_MS = 400;

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
  readonly transport: GossipTransport;
  readonly fetchState: StateFetcher;
  readonly role: ReaderRole;
  readonly log: DecisionLog;
}

/** Where this node is. */
export interface NodeLocation {
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
  private readonly digestDiffersSinceMs = new Map<string, number>();

  private fetching = false;

  private fetchedAtMs = -Infinity;

  /**
   * @param services - what it works with
   * @param location - where this node is
   * @param onState - called with knowledge that another node gave
   */
  constructor(
    private readonly services: GossipServices,
    private readonly location: NodeLocation,
    private readonly onState: (state: NodeState) => void,
  ) {}

  /** Greets other nodes until `stop`. */
  async run(): Promise<void> {
    const { clock, randomness } = this.services;
    while (!this.stopped) {
      await clock.sleep(ROUND_INTERVAL_MS * (1 + (randomness.fraction() - 1 / 2) / 2));
      if (!this.stopped) {
        this.pingPeers();
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
  ping(peerAddress: string): void {
    this.services.transport.send(peerAddress, this.createMessage(GossipMessageKind.Ping));
  }

  /**
   * Takes a greeting in.
   *
   * @param from - where it came from
   * @param message - what it says
   */
  receive(from: string, message: GossipMessage): void {
    if (message.kind === GossipMessageKind.Ping) {
      this.services.transport.send(from, this.createMessage(GossipMessageKind.Status));
    }
    const { directory, role } = this.services;
    const sender = directory.announcements.find(
      ({ peerAddress, zone }) => peerAddress === from && zone === this.location.zone,
    );
    if (message.readsStore && sender !== undefined) {
      role.noteReader(sender.host);
    }
    this.fetchIfBehind(from, message, sender !== undefined);
  }

  private createMessage(kind: GossipMessageKind): GossipMessage {
    const { configuration, directory, role } = this.services;
    return {
      kind,
      readsStore: role.readsStore,
      configurationVersion: configuration.version,
      directoryDigest: directory.digest,
    };
  }

  /** Tells the other nodes of the zone at once what was read from the store. */
  broadcast(): void {
    const { transport, role } = this.services;
    if (role.readsStore) {
      const message = this.createMessage(GossipMessageKind.Status);
      this.otherNodes(true).forEach(({ peerAddress }) => transport.send(peerAddress, message));
    }
  }

  private otherNodes(inOwnZone: boolean): readonly Announcement[] {
    return this.services.directory.announcements.filter(
      ({ host, zone }) =>
        host !== this.location.host && (zone === this.location.zone) === inOwnZone,
    );
  }

  private pingPeers(): void {
    this.rounds += 1;
    const sameZone = this.otherNodes(true);
    const otherZones = this.otherNodes(false);
    this.broadcast();
    this.pingRandom(sameZone);
    if (sameZone.length === 0 || this.rounds % ROUNDS_PER_OTHER_ZONE_PING === 0) {
      this.pingRandom(otherZones);
    }
  }

  private pingRandom(announcements: readonly Announcement[]): void {
    if (announcements.length > 0) {
      const chosen = announcements[this.services.randomness.integer(announcements.length)];
      this.ping((chosen as Announcement).peerAddress);
    }
  }

  private fetchIfBehind(from: string, message: GossipMessage, inOwnZone: boolean): void {
    const { clock, configuration, role } = this.services;
    const nowMs = clock.monotonicMs();
    const { configurationVersion, directoryDigest } = message;
    if (this.newerVersion === undefined || this.newerVersion.version <= configuration.version) {
      this.newerVersion =
        configurationVersion > configuration.version
          ? { version: configurationVersion, sinceMs: nowMs }
          : undefined;
    }
    const digestDiffers = this.hasDigestDiffered(from, directoryDigest, nowMs);
    const lacksConfiguration = configuration.version === 0 && configurationVersion > 0;
    const reliesOnSender = inOwnZone && message.readsStore && !role.shouldRead;
    const isOutdated =
      configurationVersion > configuration.version && (reliesOnSender || this.isBehind(nowMs));
    if (lacksConfiguration || isOutdated || digestDiffers) {
      this.fetch(from);
    }
  }

  private isBehind(nowMs: number): boolean {
    return this.newerVersion !== undefined && nowMs - this.newerVersion.sinceMs >= STORE_GRACE_MS;
  }

  /** Whether another node's announcements have differed for a while. */
  private hasDigestDiffered(from: string, digest: number, nowMs: number): boolean {
    if (digest === this.services.directory.digest) {
      this.digestDiffersSinceMs.delete(from);
      return false;
    }
    const sinceMs = this.digestDiffersSinceMs.get(from) ?? nowMs;
    this.digestDiffersSinceMs.set(from, sinceMs);
    return nowMs - sinceMs >= STORE_GRACE_MS;
  }

  private fetch(from: string): void {
    const { clock } = this.services;
    if (this.fetching || clock.monotonicMs() - this.fetchedAtMs < FETCH_INTERVAL_MS) {
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
    this.digestDiffersSinceMs.delete(from);
  }
}
