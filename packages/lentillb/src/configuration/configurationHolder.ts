/** The configuration in force on this node; it is exchanged whole and never goes back. */
import type { MeshConfiguration } from './meshConfiguration.js';
import { RouteTable } from './routeTable.js';

/** Called after a newer version came into force. */
export type ConfigurationListener = (configuration: MeshConfiguration) => void;

/** Holds the route table in force. */
export class ConfigurationHolder {
  private table: RouteTable | undefined;

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
    this.table = new RouteTable(configuration);
    this.listeners.forEach((listener) => listener(configuration));
    return true;
  }

  /** @param listener - called after each newer version came into force */
  subscribe(listener: ConfigurationListener): void {
    this.listeners.push(listener);
  }
}
