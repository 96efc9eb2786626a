/**
 * Holds the active configuration of this node. It is replaced as a whole, by newer versions only.
 */
import type { ConfigurationChange } from './configurationChange.js';
import {
  applyChange,
  diffConfigurations,
  mergeChanges,
  fullChange,
} from './configurationChange.js';
import type { MeshConfiguration } from './meshConfiguration.js';
import { RouteTable } from './routeTable.js';

/** A function that is called after a newer version has become active. */
export type ConfigurationListener = (configuration: MeshConfiguration) => void;

/**
 * The number of latest changes kept for nodes that lag behind: several seconds of frequent
 * publishing.
 */
const MAX_KEPT_CHANGES = 16;

/** The active route table and the latest changes. */
export class ConfigurationHolder {
  private table: RouteTable | undefined;

  /** The latest changes; each is based on the version that the previous one leads to. */
  private changes: readonly ConfigurationChange[] = [];

  private readonly listeners: ConfigurationListener[] = [];

  /** The active route table; undefined before the first version. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  /** The active version; 0 before the first. */
  get version(): number {
    return this.table?.configuration.version ?? 0;
  }

  /**
   * Activates a configuration unless the active version is the same or newer.
   *
   * @param configuration - the complete configuration
   * @returns whether it was activated
   */
  activateIfNewer(configuration: MeshConfiguration): boolean {
    if (configuration.version <= this.version) {
      return false;
    }
    const active = this.table?.configuration;
    this.activate(
      configuration,
      active === undefined ? fullChange(configuration) : diffConfigurations(active, configuration),
    );
    return true;
  }

  /**
   * Applies a change and activates the result unless the active version is the same or newer.
   *
   * @param change - the change
   * @returns whether the result was activated; false if the change is based on another version
   */
  applyIfNewer(change: ConfigurationChange): boolean {
    const { baseVersion, version } = change;
    if (version <= this.version || (baseVersion !== 0 && baseVersion !== this.version)) {
      return false;
    }
    if (baseVersion === 0) {
      return this.activateIfNewer(applyChange(undefined, change));
    }
    this.activate(applyChange(this.table?.configuration, change), change);
    return true;
  }

  /**
   * Returns what another node needs to reach the active version.
   *
   * @param version - the version of the other node; 0 if it has none
   * @returns the kept changes since that version, merged; the complete configuration if they are
   *   not known; undefined if the other node is up to date
   */
  changeSince(version: number): ConfigurationChange | undefined {
    const active = this.table?.configuration;
    if (active === undefined || active.version <= version) {
      return undefined;
    }
    const firstIndex = this.changes.findIndex(({ baseVersion }) => baseVersion === version);
    const [firstChange, ...laterChanges] = firstIndex < 0 ? [] : this.changes.slice(firstIndex);
    return firstChange === undefined
      ? fullChange(active)
      : laterChanges.reduce(mergeChanges, firstChange);
  }

  /** @param listener - called each time a newer version has become active */
  subscribe(listener: ConfigurationListener): void {
    this.listeners.push(listener);
  }

  private activate(configuration: MeshConfiguration, change: ConfigurationChange): void {
    this.table = new RouteTable(configuration);
    this.changes = [...this.changes, change].slice(-MAX_KEPT_CHANGES);
    this.listeners.forEach((listener) => listener(configuration));
  }
}
