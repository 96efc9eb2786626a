/**
 * Distributes configurations and announcements between nodes, also to those that cannot reach the
 * store: nodes tell each other how recent their state is, and a node that is behind fetches what it
 * lacks.
 */
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { ConfigurationStatus } from '../configuration/configurationStatus.js';
import type { Directory } from '../directory/directory.js';
import type { Announcement } from '../directory/announcement.js';
import type { GateLoad, HostGateLoad } from '../directory/gateLoad.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import { Topic } from '../store/keyedStore.js';
import type { StoreEraTracker } from '../store/storeEraTracker.js';
import { DigestComparison } from './digestComparison.js';
import type { GossipMessage } from './gossipMessage.js';
import { GossipMessageKind, MAX_GATES_PER_MESSAGE } from './gossipMessage.js';
import { ZoneLoads } from './zoneLoads.js';
import { hash32 } from '../utils/hash.js';
import { sample } from '../utils/sample.js';
import type { NodeState } from './nodeState.js';
import type { GossipTransport } from './gossipSocket.js';
import type { StateFetcher } from './stateTransfers.js';
import { StateTransfers } from './stateTransfers.js';
import type { StoreReaderRole } from './storeReaderRole.js';

/** Interval between gossip rounds, in milliseconds; two a second, so that one datagram may be lost. */
const ROUND_INTERVAL_MS = 500;
/** A node of another zone is also pinged in one of this many rounds. */
const ROUNDS_PER_OTHER_ZONE_PING = 2;
/** How long a reader that is behind waits for the store before it asks another node, in milliseconds. */
const READER_GRACE_MS = 300;
/** How long a node waits for its own zone before it asks a node of another one, in milliseconds. */
const OTHER_ZONE_GRACE_MS = 800;

/** The time after which the status with a new version is sent to the zone again, in milliseconds. */
const REPEAT_DELAY_MS = 150;

/** The number of nodes that a starting node asks for their state. */
const MAX_ASKED_PEERS = 2;
/** How long a starting node waits for their state, in milliseconds. */
const PEERS_TIMEOUT_MS = 700;

/** The services that gossip depends on. */
export interface GossipServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly configuration: ConfigurationHolder;
  readonly status: ConfigurationStatus;
  readonly directory: Directory;
  readonly transport: GossipTransport;
  readonly fetchState: StateFetcher;
  readonly role: StoreReaderRole;
  readonly era: StoreEraTracker;
  readonly log: DecisionLog;
  /** Returns the load of the gate of this host; undefined if it accepts no requests. */
  readonly gateLoad: () => GateLoad | undefined;
}

/** The callbacks for what other nodes report. */
export interface GossipListener {
  /** Called with the state that was fetched from another node. */
  readonly onState: (state: NodeState) => void;
  /** Called with the load of the gate of another host. */
  readonly onGateLoad: (host: string, load: GateLoad) => void;
}

/** The host and the zone of this node. */
export interface NodeLocation {
  readonly host: string;
  readonly zone: string;
}

/** Keeps the state of this node in step with that of the other nodes. */
export class Gossip {
  private rounds = 0;

  private stopped = false;

  private readonly digestComparison: DigestComparison;

  private readonly zoneLoads: ZoneLoads;

  private readonly transfers: StateTransfers;

  /** The configuration version that was last sent to the zone. */
  private broadcastVersion = 0;

  /** The last read of the configuration of each node of the zone that does not count yet, by host. */
  private readonly configurationReads = new Map<
    string,
    { readonly version: number; readonly readAtMs: number }
  >();

  /**
   * @param services - the services that gossip depends on
   * @param location - the host and the zone of this node
   * @param listener - the callbacks for what other nodes report
   */
  constructor(
    private readonly services: GossipServices,
    private readonly location: NodeLocation,
    private readonly listener: GossipListener,
  ) {
    this.digestComparison = new DigestComparison(services.clock);
    this.zoneLoads = new ZoneLoads(services.clock);
    this.transfers = new StateTransfers(services, {
      onState: (state, from) => {
        listener.onState(state);
        this.applyConfigurationRead();
        this.digestComparison.reset(from);
      },
      onVersionProgress: () => services.role.noteFetchProgress(),
    });
    // Every node has to write its announcement again soon after the store went back.
    services.era.subscribe(() => this.sendStatusToZone());
  }

  /** Runs gossip rounds until `stop` is called. */
  async run(): Promise<void> {
    const { clock, randomness } = this.services;
    while (!this.stopped) {
      await clock.sleep(ROUND_INTERVAL_MS * (1 + (randomness.fraction() - 1 / 2) / 2));
      if (!this.stopped) {
        this.pingPeers();
      }
    }
  }

  /** The transfers of state from other nodes. */
  get transferCounts(): { readonly underWay: number; readonly totalBytes: number } {
    const { totalBytes, underWay } = this.transfers;
    return { underWay, totalBytes };
  }

  /** Stops the gossip rounds. */
  stop(): void {
    this.stopped = true;
    this.transfers.stop();
  }

  /**
   * Sends a ping, which the other node answers with its status.
   *
   * @param peerAddress - the address and port at which the node answers other nodes
   */
  ping(peerAddress: string): void {
    this.services.transport.send(peerAddress, this.createMessage(GossipMessageKind.Ping));
  }

  /**
   * Handles a gossip message.
   *
   * @param from - the address and port of the sender
   * @param message - the message
   */
  receive(from: string, message: GossipMessage): void {
    if (message.kind === GossipMessageKind.Ping) {
      this.services.transport.send(from, this.createMessage(GossipMessageKind.Status));
    }
    const { configuration, directory, era, role } = this.services;
    era.observe(message.storeEra === 0 ? undefined : message.storeEra);
    const sender = directory.announcementAt(from);
    const inOwnZone = sender?.zone === this.location.zone;
    if (sender !== undefined && inOwnZone) {
      role.noteNamedVersion(message.configurationVersion, configuration.version);
      this.noteReads(sender.host, message);
    }
    message.gateLoads.forEach((load) => this.receiveGateLoad(sender, load));
    this.noteVersion(from, message.configurationVersion);
    this.fetchIfBehind(from, message, inOwnZone);
  }

  private noteReads(host: string, { configurationVersion, readAgesMs }: GossipMessage): void {
    const { clock, role } = this.services;
    const nowMs = clock.monotonicMs();
    role.noteReport(Topic.Hosts, host, nowMs - readAgesMs[Topic.Hosts]);
    const readAtMs = nowMs - readAgesMs[Topic.Operator];
    this.configurationReads.set(host, { version: configurationVersion, readAtMs });
    this.applyConfigurationRead();
  }

  /** A read of the configuration by another node counts once this node has what was read. */
  private applyConfigurationRead(): void {
    const { configuration, role } = this.services;
    this.configurationReads.forEach(({ readAtMs, version }, host) => {
      if (configuration.version >= version) {
        role.noteReport(Topic.Operator, host, readAtMs);
        this.configurationReads.delete(host);
      }
    });
  }

  private noteVersion(from: string, version: number): void {
    const { log, status } = this.services;
    if (status.noteVersion(version, from)) {
      log.record(Importance.Notable, 'configuration-behind', { ...status.fields });
    }
  }

  private receiveGateLoad(sender: Announcement | undefined, load: HostGateLoad): void {
    const host = this.services.directory.hostOf(load.hostHash);
    if (host === undefined || host === this.location.host) {
      return;
    }
    if (host === sender?.host && sender.zone === this.location.zone) {
      this.zoneLoads.record(load);
    }
    this.listener.onGateLoad(host, load);
  }

  private ownLoads(): readonly HostGateLoad[] {
    const load = this.services.gateLoad();
    return load === undefined ? [] : [{ ...load, hostHash: hash32(this.location.host) }];
  }

  private createMessage(kind: GossipMessageKind, gateLoads = this.ownLoads()): GossipMessage {
    const { configuration, directory, era, role } = this.services;
    return {
      kind,
      readsStore: role.readsStore,
      configurationVersion: configuration.version,
      directoryDigest: directory.digest,
      storeEra: era.current ?? 0,
      readAgesMs: {
        [Topic.Operator]: role.ownAgeMs(Topic.Operator),
        [Topic.Hosts]: role.ownAgeMs(Topic.Hosts),
      },
      gateLoads,
    };
  }

  /**
   * Sends the status of a reader to all nodes of its zone, so that they fetch new records at once. The
   * loads of other gates follow with the next round.
   */
  broadcast(): void {
    const { clock, configuration, role } = this.services;
    if (!role.readsStore) {
      return;
    }
    const send = (): void => this.sendStatus(this.otherNodes(true), this.ownLoads());
    send();
    if (configuration.version !== this.broadcastVersion) {
      this.broadcastVersion = configuration.version;
      // A datagram may be lost, and the next round may come too late for the version.
      clock.after(REPEAT_DELAY_MS, send);
    }
  }

  /**
   * Fetches the state of other nodes and waits for the first one, so that a starting node does not
   * rely on the store alone: it may have gone back to an older copy.
   */
  async learnFromPeers(): Promise<void> {
    const inZone = this.otherNodes(true);
    const peers = sample(
      this.services.randomness,
      inZone.length > 0 ? inZone : this.otherNodes(false),
      MAX_ASKED_PEERS,
    );
    if (peers.length === 0) {
      return;
    }
    const answers = peers.map(({ peerAddress }) => this.transfers.fetchAll(peerAddress));
    const firstSuccess = Promise.any(
      answers.map(async (answer) => {
        if (!(await answer)) {
          throw new Error('the state of the node was not fetched');
        }
      }),
    ).catch(() => undefined);
    await Promise.race([firstSuccess, this.services.clock.sleep(PEERS_TIMEOUT_MS)]);
  }

  /**
   * Sends the status to the zone, with the loads of its gates if this node collects them. In a large
   * zone each message has a random part of them, so that it fits into one packet.
   */
  private sendStatusToZone(): void {
    const loads = sample(
      this.services.randomness,
      this.zoneLoads.recent(),
      MAX_GATES_PER_MESSAGE - 1,
    );
    this.sendStatus(this.otherNodes(true), [...this.ownLoads(), ...loads]);
  }

  private sendStatus(receivers: readonly Announcement[], gateLoads: readonly HostGateLoad[]): void {
    const message = this.createMessage(GossipMessageKind.Status, gateLoads);
    receivers.forEach(({ peerAddress }) => this.services.transport.send(peerAddress, message));
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
    const readers = this.readersAmong(sameZone);
    if (this.services.role.readsStore) {
      this.sendStatusToZone();
    }
    this.sendStatus(readers, this.ownLoads());
    this.pingRandom(this.isAnnounced ? sameZone : readers);
    if (sameZone.length === 0 || this.rounds % ROUNDS_PER_OTHER_ZONE_PING === 0) {
      this.pingRandom(otherZones);
    }
  }

  private get isAnnounced(): boolean {
    const { directory } = this.services;
    return directory.announcementOf(this.location.host) !== undefined;
  }

  /** A node that is not announced yet gets no broadcasts, so it has to ask the readers. */
  private readersAmong(announcements: readonly Announcement[]): readonly Announcement[] {
    const { role } = this.services;
    return announcements.filter(({ host }) => role.isReaderOf(Topic.Operator, host));
  }

  private pingRandom(announcements: readonly Announcement[]): void {
    sample(this.services.randomness, announcements, 1).forEach(({ peerAddress }) =>
      this.ping(peerAddress),
    );
  }

  private fetchIfBehind(from: string, message: GossipMessage, inOwnZone: boolean): void {
    const { configuration, directory, role } = this.services;
    const { configurationVersion, directoryDigest } = message;
    // Traffic between zones is charged, so only the reader of a zone compares it with other zones.
    const digestDiffers =
      this.digestComparison.differsLastingly(from, directoryDigest, directory.digest) &&
      (inOwnZone || role.shouldRead(Topic.Hosts));
    const lacksConfiguration = configuration.version === 0 && configurationVersion > 0;
    if (lacksConfiguration || digestDiffers) {
      this.transfers.request(from);
    }
    if (configurationVersion > configuration.version) {
      const readerGraceMs = role.shouldRead(Topic.Operator) ? READER_GRACE_MS : 0;
      const graceMs = inOwnZone ? readerGraceMs : OTHER_ZONE_GRACE_MS;
      this.transfers.catchUp({ address: from, inOwnZone, version: configurationVersion }, graceMs);
    }
  }
}
