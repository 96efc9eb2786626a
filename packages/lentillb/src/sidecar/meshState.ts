/** What a node knows of the configuration and of other hosts, from the store and from other nodes. */
import type { Result } from 'ts-results-es';
import { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { MeshConfiguration } from '../configuration/meshConfiguration.js';
import type { Announcement } from '../directory/announcement.js';
import { decodeAnnouncement } from '../directory/announcement.js';
import { Directory } from '../directory/directory.js';
import type { Clock } from '../kernel/clock.js';
import type { Randomness } from '../kernel/randomness.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Weight } from '../observability/decisionLog.js';
import type { NodeState } from '../peers/nodeState.js';
import { ReaderRole } from '../peers/readerRole.js';
import type { KeyedRecord, KeyedStore } from '../store/keyedStore.js';
import { Topic } from '../store/keyedStore.js';
import type { FollowerOptions } from '../store/topicFollower.js';
import { TopicFollower } from '../store/topicFollower.js';
import { runInBackground } from '../utils/background.js';

/** How long records collect between two reads, in milliseconds: a part of the time to enforce a change. */
const CONFIGURATION_BATCH_DELAY_MS = 500;
const HOSTS_BATCH_DELAY_MS = 400;
/** How long a starting node reads the hosts before it reads the configuration, in milliseconds. */
const HOSTS_HEAD_START_MS = 600;

/** What is needed to follow the store. */
export interface MeshStateServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly store: KeyedStore;
  readonly log: DecisionLog;
}

/** Where this node is, and how the operator's configuration is read. */
export interface MeshStateOptions {
  readonly host: string;
  readonly zone: string;
  /** The key of the configuration among the operator's records. */
  readonly configurationKey: string;
  /** Reads the operator's configuration. */
  readonly decodeConfiguration: (bytes: Uint8Array) => Result<MeshConfiguration, string>;
}

/** Who is told of what was learnt. */
export interface MeshStateListener {
  /** Called when the records of all hosts were read for the first time. */
  readonly onHostsLoaded: () => void;
  /** Called after something was read from the store. */
  readonly onStoreRead: () => void;
  /** @param announcement - a record of this host that this run of the node did not write */
  readonly onOwnRecord: (announcement: Announcement) => void;
}

/** Keeps the configuration and the directory up to date. */
export class MeshState {
  readonly configuration = new ConfigurationHolder();

  readonly directory = new Directory();

  /** Whether this node reads the store itself. */
  readonly role: ReaderRole;

  private readonly operatorFollower: TopicFollower;

  private readonly hostsFollower: TopicFollower;

  private hostsLoaded = false;

  /** Wakes who waits for the hosts. */
  private resolveHostsRead: (() => void) | undefined;

  constructor(
    private readonly services: MeshStateServices,
    private readonly options: MeshStateOptions,
    private readonly listener: MeshStateListener,
  ) {
    this.role = new ReaderRole({ clock: services.clock, directory: this.directory }, options);
    const { role } = this;
    this.operatorFollower = this.follow(
      {
        topic: Topic.Operator,
        batchDelayMs: CONFIGURATION_BATCH_DELAY_MS,
        shouldRead: () => role.shouldRead,
      },
      (records) => this.acceptConfigurations(records),
    );
    this.hostsFollower = this.follow(
      {
        topic: Topic.Hosts,
        batchDelayMs: HOSTS_BATCH_DELAY_MS,
        shouldRead: () => !this.hostsLoaded || role.shouldRead,
      },
      (records) => this.acceptAnnouncements(records),
    );
  }

  /** Whether it suffices to serve callers. */
  get complete(): boolean {
    return this.configuration.current !== undefined && this.hostsLoaded;
  }

  /** Starts to follow the store. */
  start(): void {
    runInBackground(this.hostsFollower.run());
    runInBackground(this.followOperator());
  }

  /** Ends following the store. */
  stop(): void {
    this.hostsFollower.stop();
    this.operatorFollower.stop();
  }

  /**
   * Takes in what another node knows.
   *
   * @param state - its knowledge
   */
  acceptState({ announcements, change }: NodeState): void {
    announcements.forEach((announcement) => this.acceptAnnouncement(announcement));
    this.hostsLoaded = true;
    if (change !== undefined) {
      const { baseVersion, version } = change;
      const inForce = this.configuration.advance(change);
      this.services.log.record(Weight.Notable, 'configuration', {
        version,
        baseVersion,
        inForce,
        source: 'node',
      });
    }
  }

  /**
   * Notes something that somebody sent and that could not be read; what is known stays.
   *
   * @param source - where it came from
   * @param reason - what is wrong with it
   */
  reject(source: string, reason: string): void {
    this.services.log.record(Weight.Notable, 'input-rejected', { source, reason });
  }

  /** Hosts come first: they tell whether other nodes of the zone can give the configuration. */
  private async followOperator(): Promise<void> {
    const hostsRead = new Promise<void>((resolve) => {
      this.resolveHostsRead = resolve;
    });
    await Promise.race([hostsRead, this.services.clock.sleep(HOSTS_HEAD_START_MS)]);
    await this.operatorFollower.run();
  }

  private follow(
    options: FollowerOptions,
    accept: (records: readonly KeyedRecord[]) => void,
  ): TopicFollower {
    const { log } = this.services;
    const { topic } = options;
    return new TopicFollower(this.services, options, {
      onRecords: (records) => {
        accept(records);
        this.listener.onStoreRead();
      },
      onCaughtUp: () => {
        if (topic === Topic.Hosts) {
          this.hostsLoaded = true;
          this.resolveHostsRead?.();
          this.listener.onHostsLoaded();
        }
      },
      onUnavailable: ({ kind, message }) => {
        this.role.noteStoreResult(topic, false);
        log.record(Weight.Notable, 'store-lost', { topic, kind, message });
      },
      onAnswered: () => this.role.noteStoreResult(topic, true),
      onRecovered: () => {
        log.record(Weight.Notable, 'store-regained', { topic });
      },
    });
  }

  private acceptConfigurations(records: readonly KeyedRecord[]): void {
    const { configurationKey, decodeConfiguration } = this.options;
    const newest = records.findLast(({ key }) => key === configurationKey);
    if (newest?.value === undefined) {
      return;
    }
    const decoded = decodeConfiguration(newest.value);
    if (decoded.isErr()) {
      this.reject(`configuration at offset ${newest.offset}`, decoded.error);
      return;
    }
    const { version } = decoded.value;
    const inForce = this.configuration.offer(decoded.value);
    const { offset } = newest;
    this.services.log.record(Weight.Notable, 'configuration', { version, inForce, offset });
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
      this.acceptAnnouncement(decoded.value);
    });
  }

  private acceptAnnouncement(announcement: Announcement): void {
    const accepted = this.directory.merge(announcement);
    if (accepted && announcement.host === this.options.host) {
      this.listener.onOwnRecord(announcement);
    }
  }
}
