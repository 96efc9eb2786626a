/** The configuration in force on this node; it is exchanged whole and never goes back. */
import type { ConfigurationChange } from './configurationChange.js';
import { applyChange, changeBetween, joinChanges, wholeChange } from './configurationChange.js';
import type { MeshConfiguration } from './meshConfiguration.js';
import { RouteTable } from './routeTable.js';

/** Called after a newer version came into force. */
export type ConfigurationListener = (configuration: MeshConfiguration) => void;

/** How many of the last changes are kept for nodes that are behind: some seconds of a busy operator. */
const KEPT_CHANGES = 16;

/** Holds the route table in force. */
export class ConfigurationHolder {
  private table: RouteTable | undefined;

  /** The last changes, each starting where the one before ends. */
  private changes: readonly ConfigurationChange[] = [];

  private readonly listeners: ConfigurationListener[] = [];

  /** The route table in force; undefined before the first version. */
  get current(): RouteTable | undefined {
    return this.table;
  }

  /** The version in force; 0 before the first. */
  get version(): number {
    return this.table?.configuration.version ?? 0;
  }

  /**
   * Brings a version into force unless one as new is.
   *
   * @param configuration - a complete version
   * @returns whether it came into force
   */
  offer(configuration: MeshConfiguration): boolean {
    if (configuration.version <= this.version) {
      return false;
    }
    const held = this.table?.configuration;
    this.adopt(
      configuration,
      held === undefined ? wholeChange(configuration) : changeBetween(held, configuration),
    );
    return true;
  }

  /**
   * Brings the version that a change leads to into force unless one as new is.
   *
   * @param change - a change
   * @returns whether it came into force; it does not where it starts from another version
   */
  advance(change: ConfigurationChange): boolean {
    const { baseVersion, version } = change;
    if (version <= this.version || (baseVersion !== 0 && baseVersion !== this.version)) {
      return false;
    }
    if (baseVersion === 0) {
      return this.offer(applyChange(undefined, change));
    }
    this.adopt(applyChange(this.table?.configuration, change), change);
    return true;
  }

  /**
   * @param version - the version that another node holds; 0 where it holds none
   * @returns what it lacks, as little as is known; undefined where it lacks nothing
   */
  changeSince(version: number): ConfigurationChange | undefined {
    const held = this.table?.configuration;
    if (held === undefined || held.version <= version) {
      return undefined;
    }
    const from = this.changes.findIndex(({ baseVersion }) => baseVersion === version);
    const [first, ...later] = from < 0 ? [] : this.changes.slice(from);
    return first === undefined ? wholeChange(held) : later.reduce(joinChanges, first);
  }

  /** @param listener - called after each newer version came into force */
  subscribe(listener: ConfigurationListener): void {
    this.listeners.push(listener);
  }

  private adopt(configuration: MeshConfiguration, change: ConfigurationChange): void {
    this.table = new RouteTable(configuration);
    this.changes = [...this.changes, change].slice(-KEPT_CHANGES);
    this.listeners.forEach((listener) => listener(configuration));
  }
}
