/** Maintains the configuration and the host directory of a node, from the store and from other nodes. */
import type { Result } from 'ts-results-es';
import { ConfigurationHolder } from '../configuration/configurationHolder.js';
import { ConfigurationStatus } from '../configuration/configurationStatus.js';
import type { MeshConfiguration } from '../configuration/meshConfiguration.js';
import type { Announcement } from '../directory/announcement.js';
import { decodeAnnouncement } from '../directory/announcement.js';
import { Directory } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { NodeState, StorePosition } from '../peers/nodeState.js';
import { StoreReaderRole } from '../peers/storeReaderRole.js';
import type { KeyedRecord, KeyedStore } from '../store/keyedStore.js';
import { Topic } from '../store/keyedStore.js';
import type { StoreEraTracker } from '../store/storeEraTracker.js';
import type { FollowerOptions, ReadSchedule, TopicListener } from '../store/topicFollower.js';
import { TopicFollower } from '../store/topicFollower.js';
import { runInBackground } from '../utils/background.js';
import type { TransferProgress } from '../utils/transferProgress.js';

/** Delays after reads with records, in milliseconds; a part of the time until a change is in force. */
const CONFIGURATION_BATCH_DELAY_MS = 500;
const HOSTS_BATCH_DELAY_MS = 1_000;
/**
 * The age of the known configuration up to which a node reads all versions since, in milliseconds; each
 * record holds a whole one, and only the newest matters.
 */
const MAX_CONFIGURATION_RESUME_MS = 5_000;
/** How long a starting node waits at most for the hosts before it reads the configuration, in milliseconds. */
const HOSTS_HEAD_START_MS = 600;

/** The services needed to follow the store. */
export interface MeshStateServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly store: KeyedStore;
  readonly era: StoreEraTracker;
  readonly log: DecisionLog;
}

/** The location of this node, and the format of the operator's configuration. */
export interface MeshStateOptions {
  readonly host: string;
  readonly zone: string;
  /** The key of the configuration among the operator's records. */
  readonly configurationKey: string;
  /** Decodes the operator's configuration. */
  readonly decodeConfiguration: (bytes: Uint8Array) => Result<MeshConfiguration, string>;
}

/** The callbacks for changes of the mesh state. */
export interface MeshStateListener {
  /**
   * Called when the records of all hosts have been read from the store for the first time. It may
   * have gone back to an older copy, so other nodes are asked before its records count.
   */
  readonly askPeers: () => Promise<void>;
  /** Called once the announcements of all hosts are known for the first time. */
  readonly onHostsLoaded: () => void;
  /** Called after a read of the configuration, and after records of hosts have been read. */
  readonly onStoreRead: () => void;
  /**
   * Called when a newer record of this host arrives from the store or from another node, and with
   * the newest one once the hosts are known for the first time.
   *
   * @param announcement - a record of this host that this run of the node did not write
   */
  readonly onOwnRecord: (announcement: Announcement) => void;
  /** Called with all records of each read of the operator's topic. */
  readonly onOperatorRecords?: (records: readonly KeyedRecord[]) => void;
}

/** Keeps the configuration and the host directory up to date. */
export class MeshState {
  readonly configuration = new ConfigurationHolder();

  /** How current the configuration is. */
  readonly status: ConfigurationStatus;

  readonly directory = new Directory();

  /** Decides whether this node reads the store itself. */
  readonly role: StoreReaderRole;

  private readonly operatorFollower: TopicFollower;

  private readonly hostsFollower: TopicFollower;

  private hostsLoaded = false;

  /** The number of records and other inputs that were rejected as invalid. */
  rejectedInputs = 0;

  /** Whether the last records of the configuration that were read held no valid version. */
  private hasUnusableRecord = false;

  /** The record of this host that the store had when it was read last. */
  private ownStoredRecord: Announcement | undefined;

  /** Resolves the wait for the first read of the hosts. */
  private resolveHostsRead: (() => void) | undefined;

  /**
   * @param services - the services needed to follow the store
   * @param options - the location of this node, and the format of the configuration
   * @param listener - the callbacks for changes
   */
  constructor(
    private readonly services: MeshStateServices,
    private readonly options: MeshStateOptions,
    private readonly listener: MeshStateListener,
  ) {
    this.status = new ConfigurationStatus(services.clock, this.configuration);
    this.role = new StoreReaderRole({ clock: services.clock, directory: this.directory }, options);
    this.operatorFollower = this.follow(
      {
        topic: Topic.Operator,
        batchDelayMs: CONFIGURATION_BATCH_DELAY_MS,
        maxResumeMs: MAX_CONFIGURATION_RESUME_MS,
        newestOnly: true,
        schedule: this.scheduleOf(Topic.Operator),
        needsHistory: () => this.hasUnusableRecord,
      },
      (records, progress) => this.acceptConfigurations(records, progress),
    );
    this.hostsFollower = this.follow(
      {
        topic: Topic.Hosts,
        batchDelayMs: HOSTS_BATCH_DELAY_MS,
        schedule: this.scheduleOf(Topic.Hosts),
      },
      (records) => this.acceptAnnouncements(records),
    );
    services.era.subscribe((era) => this.handleOlderCopy(era));
  }

  /** Whether the state suffices to serve callers. */
  get isComplete(): boolean {
    return this.configuration.current !== undefined && this.hostsLoaded;
  }

  /**
   * @param announcement - an announcement of this host
   * @returns whether it was the record of this host when the store was read last
   */
  isStored({ incarnation, sequence }: Announcement): boolean {
    const stored = this.ownStoredRecord;
    return stored?.incarnation === incarnation && stored.sequence === sequence;
  }

  /** Starts following the store. */
  start(): void {
    runInBackground(this.hostsFollower.run());
    runInBackground(this.followOperator());
  }

  /** Stops following the store. */
  stop(): void {
    this.hostsFollower.stop();
    this.operatorFollower.stop();
  }

  /**
   * Merges the state of another node.
   *
   * @param state - the state of the other node
   */
  acceptState({ announcements, change, position, rejected = [] }: NodeState): void {
    rejected.forEach((reason) => this.reject('state of another node', reason));
    announcements.forEach((announcement) => this.acceptAnnouncement(announcement));
    this.completeHosts();
    if (change !== undefined) {
      const { baseVersion, version } = change;
      const { heardMs } = this.status.fields;
      const inForce = this.configuration.applyIfNewer(change);
      this.services.log.record(Importance.Notable, 'configuration', {
        version,
        baseVersion,
        inForce,
        source: 'node',
        heardMs,
      });
    }
    this.skipWhatIsHeld(position);
  }

  /**
   * Logs an input that was rejected as invalid. The current state remains in force.
   *
   * @param source - the source of the input
   * @param reason - why the input is invalid
   */
  reject(source: string, reason: string): void {
    this.rejectedInputs += 1;
    this.services.log.record(Importance.Notable, 'input-rejected', { source, reason });
  }

  /**
   * @param topic - a topic of the store
   * @returns the follower that reads it
   */
  followerOf(topic: Topic): Pick<TopicFollower, 'totalBytes' | 'underWay'> {
    return topic === Topic.Operator ? this.operatorFollower : this.hostsFollower;
  }

  /** The position up to which the configuration in force has been read, by this node or by others. */
  get position(): StorePosition | undefined {
    const nextOffset = this.operatorFollower.position;
    const { version } = this.configuration;
    return nextOffset === 0 ? undefined : { era: this.services.era.current, version, nextOffset };
  }

  /** Continues to read the store behind what another node has read, if this node holds all of it. */
  private skipWhatIsHeld(position: StorePosition | undefined): void {
    const isHeld = position !== undefined && this.configuration.version >= position.version;
    if (isHeld && position.era === this.services.era.current) {
      this.operatorFollower.skipTo(position.nextOffset);
    }
  }

  /** Reads the hosts first, because they show whether other nodes of the zone can provide the configuration. */
  private async followOperator(): Promise<void> {
    const hostsRead = new Promise<void>((resolve) => {
      this.resolveHostsRead = resolve;
    });
    await Promise.race([hostsRead, this.services.clock.sleep(HOSTS_HEAD_START_MS)]);
    await this.operatorFollower.run();
  }

  private scheduleOf(topic: Topic): ReadSchedule {
    const { role } = this;
    const isStarting = (): boolean => topic === Topic.Hosts && !this.hostsLoaded;
    return {
      untilReadMs: () => (isStarting() ? 0 : role.untilReadMs(topic)),
      isReadElsewhere: () => !isStarting() && role.isReadElsewhere(topic),
      untilOutdatedMs: () => role.untilOutdatedMs(topic),
      pollMs: () => role.pollMs(topic),
      ageMs: () => role.viewAgeMs(topic),
    };
  }

  private follow(options: FollowerOptions, accept: TopicListener['onRecords']): TopicFollower {
    const { log } = this.services;
    const { topic } = options;
    return new TopicFollower(this.services, options, {
      onRecords: accept,
      onCaughtUp: () => {
        if (topic === Topic.Hosts) {
          this.resolveHostsRead?.();
          runInBackground(this.listener.askPeers().then(() => this.completeHosts()));
        }
      },
      onFailed: ({ kind, message }, isFirst) => {
        this.role.noteReadFailure(topic);
        const event = isFirst ? 'store-lost' : 'store-read-failed';
        log.record(Importance.Notable, event, { topic, kind, message });
      },
      onOverdue: ({ bytes, durationMs, silentMs }, overdueReads) => {
        log.record(Importance.Notable, 'store-read-overdue', {
          topic,
          waitedMs: Math.round(durationMs),
          silentMs: Math.round(silentMs),
          bytes,
          overdueReads,
          underWay: this.followerOf(topic).underWay,
        });
      },
      onAnswered: (currentAtMs, recordCount) => {
        this.role.noteRead(topic, currentAtMs);
        if (topic === Topic.Operator) {
          this.status.noteStoreAnswer();
        }
        if (topic === Topic.Operator || recordCount > 0) {
          this.listener.onStoreRead();
        }
      },
      onSuperseded: ({ fields }) => {
        log.record(Importance.Notable, 'store-read-superseded', { topic, ...fields });
      },
      onRecovered: () => {
        log.record(Importance.Notable, 'store-regained', { topic });
      },
    });
  }

  /**
   * Activates the newest valid version among the records of one read. Their order does not matter: a
   * write that the store executed late stands behind a newer version.
   */
  private acceptConfigurations(records: readonly KeyedRecord[], progress: TransferProgress): void {
    const { configurationKey } = this.options;
    this.listener.onOperatorRecords?.(records);
    const written = records.filter(
      ({ key, value }) => key === configurationKey && value !== undefined,
    );
    const valid = written.flatMap((record) => this.decodeRecord(record) ?? []);
    this.hasUnusableRecord = written.length > 0 && valid.length === 0;
    const [newest] = valid.sort((left, right) => right.version - left.version);
    if (newest === undefined) {
      return;
    }
    this.services.log.record(Importance.Notable, 'configuration', {
      version: newest.version,
      inForce: this.configuration.activateIfNewer(newest),
      offset: records.at(-1)?.offset,
      records: written.length,
      ...progress.fields,
      underWay: this.operatorFollower.underWay,
    });
  }

  private decodeRecord({ offset, value }: KeyedRecord): MeshConfiguration | undefined {
    const decoded = this.options.decodeConfiguration(value ?? new Uint8Array());
    if (decoded.isErr()) {
      this.reject(`configuration at offset ${offset}`, decoded.error);
      return undefined;
    }
    return decoded.value;
  }

  private acceptAnnouncements(records: readonly KeyedRecord[]): void {
    records.forEach(({ key, value }) => {
      if (value === undefined) {
        return;
      }
      const decoded = decodeAnnouncement(value);
      if (decoded.isErr()) {
        this.reject(`announcement of host ${key}`, decoded.error);
        return;
      }
      if (decoded.value.host !== key) {
        this.reject(`announcement of host ${key}`, `it names host ${decoded.value.host}`);
        return;
      }
      if (decoded.value.host === this.options.host) {
        this.ownStoredRecord = decoded.value;
      }
      this.acceptAnnouncement(decoded.value);
    });
  }

  private acceptAnnouncement(announcement: Announcement): void {
    const accepted = this.directory.merge(announcement);
    if (accepted && this.hostsLoaded && announcement.host === this.options.host) {
      this.listener.onOwnRecord(announcement);
    }
  }

  private completeHosts(): void {
    if (this.hostsLoaded) {
      return;
    }
    this.hostsLoaded = true;
    const own = this.directory.announcementOf(this.options.host);
    if (own !== undefined) {
      this.listener.onOwnRecord(own);
    }
    this.listener.onHostsLoaded();
  }

  /**
   * Reads both topics again after the store went back to an older copy. What this node holds stays in
   * force: only newer configurations and announcements replace it.
   */
  private handleOlderCopy(era: number): void {
    this.services.log.record(Importance.Notable, 'store-went-back', { era });
    this.ownStoredRecord = undefined;
    this.hostsFollower.restart();
    this.operatorFollower.restart();
  }
}
