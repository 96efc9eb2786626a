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
const CONFIGURATION_COLLECT_MS = 500;
const HOSTS_COLLECT_MS = 400;
/** How long a starting node reads the hosts before it reads the configuration, in milliseconds. */
const HOSTS_FIRST_MS = 600;

/** What is needed to follow the store. */
export interface KnowledgeServices {
  readonly clock: Clock;
  readonly randomness: Randomness;
  readonly store: KeyedStore;
  readonly log: DecisionLog;
}

/** Where this node is, and how the operator's configuration is read. */
export interface KnowledgeOptions {
  readonly host: string;
  readonly zone: string;
  /** The key of the configuration among the operator's records. */
  readonly configurationKey: string;
  /** Reads the operator's configuration. */
  readonly decodeConfiguration: (bytes: Uint8Array) => Result<MeshConfiguration, string>;
}

/** Who is told of what was learnt. */
export interface KnowledgeListener {
  /** Called when the records of all hosts were read for the first time. */
  readonly onHostsKnown: () => void;
  /** Called after something was read from the store. */
  readonly onRead: () => void;
  /** @param announcement - a record of this host that this run of the node did not write */
  readonly onOwnRecord: (announcement: Announcement) => void;
}

/** Keeps the configuration and the directory up to date. */
export class Knowledge {
  readonly configuration = new ConfigurationHolder();

  readonly directory = new Directory();

  /** Whether this node reads the store itself. */
  readonly role: ReaderRole;

  private readonly operatorFollower: TopicFollower;

  private readonly hostsFollower: TopicFollower;

  private hostsKnown = false;

  /** Wakes who waits for the hosts. */
  private hostsRead: (() => void) | undefined;

  constructor(
    private readonly services: KnowledgeServices,
    private readonly options: KnowledgeOptions,
    private readonly listener: KnowledgeListener,
  ) {
    this.role = new ReaderRole({ clock: services.clock, directory: this.directory }, options);
    const { role } = this;
    this.operatorFollower = this.follow(
      {
        topic: Topic.Operator,
        collectMs: CONFIGURATION_COLLECT_MS,
        shouldRead: () => role.shouldRead,
      },
      (records) => this.acceptConfigurations(records),
    );
    this.hostsFollower = this.follow(
      {
        topic: Topic.Hosts,
        collectMs: HOSTS_COLLECT_MS,
        shouldRead: () => !this.hostsKnown || role.shouldRead,
      },
      (records) => this.acceptAnnouncements(records),
    );
  }

  /** Whether it suffices to serve callers. */
  get complete(): boolean {
    return this.configuration.current !== undefined && this.hostsKnown;
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
    this.hostsKnown = true;
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
    const read = new Promise<void>((resolve) => {
      this.hostsRead = resolve;
    });
    await Promise.race([read, this.services.clock.sleep(HOSTS_FIRST_MS)]);
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
        this.listener.onRead();
      },
      onCaughtUp: () => {
        if (topic === Topic.Hosts) {
          this.hostsKnown = true;
          this.hostsRead?.();
          this.listener.onHostsKnown();
        }
      },
      onLost: ({ kind, message }) => {
        this.role.noteStore(topic, false);
        log.record(Weight.Notable, 'store-lost', { topic, kind, message });
      },
      onAnswered: () => this.role.noteStore(topic, true),
      onRegained: () => {
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
