/**
 * Tracks how current the configuration of this node is: since when its version is in force, the newest
 * version that another node has named, and when the store was last known to have nothing newer.
 */
import type { Clock } from '../kernel/clock.js';
import type { ConfigurationHolder } from './configurationHolder.js';

/** A version that another node has and this one lacks. */
export interface NewerVersion {
  readonly version: number;
  /** The address and port of the node that named it first. */
  readonly from: string;
  /** When it was named first, in milliseconds of the monotonic clock. */
  readonly sinceMs: number;
}

/** The status as log fields. */
export type ConfigurationStatusFields = Readonly<Record<string, string | number>>;

/** How current the configuration of this node is. */
export class ConfigurationStatus {
  private activatedAtMs: number | undefined;

  private heard: NewerVersion | undefined;

  private storeAnsweredAtMs: number | undefined;

  /**
   * @param clock - the clock by which ages are measured
   * @param configuration - the configuration in force
   */
  constructor(
    private readonly clock: Clock,
    private readonly configuration: ConfigurationHolder,
  ) {
    configuration.subscribe(() => {
      this.activatedAtMs = clock.monotonicMs();
    });
  }

  /** The newest version that another node has named; undefined if this node has it. */
  get newerVersion(): NewerVersion | undefined {
    const { heard } = this;
    return heard !== undefined && heard.version > this.configuration.version ? heard : undefined;
  }

  /** The status as fields of a log line; ages are in milliseconds. */
  get fields(): ConfigurationStatusFields {
    const nowMs = this.clock.monotonicMs();
    const ageOf = (name: string, atMs: number | undefined): ConfigurationStatusFields =>
      atMs === undefined ? {} : { [name]: Math.round(nowMs - atMs) };
    const newer = this.newerVersion;
    return {
      configurationVersion: this.configuration.version,
      ...ageOf('inForceMs', this.activatedAtMs),
      ...ageOf('storeAnsweredMs', this.storeAnsweredAtMs),
      ...(newer === undefined ? {} : { newerVersion: newer.version, heardFrom: newer.from }),
      ...ageOf('heardMs', newer?.sinceMs),
    };
  }

  /**
   * Records the version that another node has in force.
   *
   * @param version - the version
   * @param from - the address and port of the other node
   * @returns whether it is newer than any version known so far
   */
  noteVersion(version: number, from: string): boolean {
    const known = Math.max(this.configuration.version, this.heard?.version ?? 0);
    if (version <= known) {
      return false;
    }
    // The time is that of the first version that this node lacks, not of the last one.
    const sinceMs = this.newerVersion?.sinceMs ?? this.clock.monotonicMs();
    this.heard = { version, from, sinceMs };
    return true;
  }

  /**
   * Forgets a version that its node did not have when it was asked; it may have been restarted.
   *
   * @param version - the version
   */
  forgetVersion(version: number): void {
    if (this.heard?.version === version) {
      this.heard = undefined;
    }
  }

  /** Records that the store answered a read of the configuration. */
  noteStoreAnswer(): void {
    this.storeAnsweredAtMs = this.clock.monotonicMs();
  }
}
