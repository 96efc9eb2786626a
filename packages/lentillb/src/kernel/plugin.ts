/** Defines plug-ins and their registry. A plug-in registers itself when its module is loaded. */
import type { Resolver } from 'awilix';
import type { Deadline } from './deadline.js';
import type { Services } from './services.js';

/** A component of the node with its own services and life cycle. */
export interface Plugin {
  /** The unique name by which other plug-ins refer to this one in `needs`. */
  readonly name: string;
  /** The names of the plug-ins that start before this one and stop after it. */
  readonly needs: readonly string[];
  /** The services that this plug-in provides. */
  readonly services: { readonly [Name in keyof Services]?: Resolver<Services[Name]> };
  /**
   * Starts background tasks and listeners.
   *
   * @param services - all services, resolved on first use
   */
  readonly start?: (services: Services) => Promise<void> | void;
  /**
   * Stops accepting new work because the node is leaving. Called on all plug-ins before any of them
   * is stopped.
   *
   * @param services - all services
   */
  readonly leave?: (services: Services) => Promise<void> | void;
  /**
   * Completes work in flight and releases resources.
   *
   * @param services - all services
   * @param deadline - the time by which the stop has to be complete
   */
  readonly stop?: (services: Services, deadline: Deadline) => Promise<void> | void;
}

/** The plug-ins loaded into this process. */
export class PluginRegistry {
  private readonly byName = new Map<string, Plugin>();

  /**
   * Registers a plug-in.
   *
   * @param plugin - the plug-in
   * @throws Error if another plug-in has the same name
   */
  register(plugin: Plugin): void {
    if (this.byName.has(plugin.name)) {
      throw new Error(`plug-in "${plugin.name}" is registered twice; rename one of the two`);
    }
    this.byName.set(plugin.name, plugin);
  }

  /**
   * Sorts the plug-ins by dependency, then by name.
   *
   * @returns all plug-ins, each after those it needs
   * @throws Error if a needed plug-in is not registered or a dependency is circular
   */
  inStartOrder(): readonly Plugin[] {
    const ordered: Plugin[] = [];
    const visiting = new Set<string>();
    const visit = (name: string, neededBy: string): void => {
      const plugin = this.byName.get(name);
      if (plugin === undefined) {
        throw new Error(`plug-in "${neededBy}" needs "${name}", which is not registered`);
      }
      if (ordered.includes(plugin)) {
        return;
      }
      if (visiting.has(name)) {
        throw new Error(`plug-ins "${name}" and "${neededBy}" need each other`);
      }
      visiting.add(name);
      plugin.needs.forEach((needed) => visit(needed, name));
      ordered.push(plugin);
    };
    [...this.byName.keys()].sort().forEach((name) => visit(name, 'kernel'));
    return ordered;
  }
}

/** The registry of this process. */
export const plugins = new PluginRegistry();
