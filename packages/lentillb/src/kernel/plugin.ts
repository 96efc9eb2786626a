/** The registry that plug-ins put themselves into when their module is loaded. */
import type { Resolver } from 'awilix';
import type { Deadline } from './deadline.js';
import type { Services } from './services.js';

/** A part of the node with its own services and life cycle. */
export interface Plugin {
  /** The unique name other plug-ins refer to in `needs`. */
  readonly name: string;
  /** The plug-ins that start before this one and stop after it. */
  readonly needs: readonly string[];
  /** The services this plug-in offers. */
  readonly services: { readonly [Name in keyof Services]?: Resolver<Services[Name]> };
  /**
   * Starts background tasks and listeners.
   *
   * @param services - all services, resolved on first use
   */
  readonly start?: (services: Services) => Promise<void> | void;
  /**
   * Tells the plug-in that the node leaves: no new work from here on. Runs on all plug-ins
   * before any of them stops.
   */
  readonly leave?: (services: Services) => Promise<void> | void;
  /**
   * Finishes work in flight and frees resources.
   *
   * @param services - all services
   * @param deadline - when the stop has to be over
   */
  readonly stop?: (services: Services, deadline: Deadline) => Promise<void> | void;
}

/** The plug-ins loaded into this process. */
export class PluginRegistry {
  private readonly byName = new Map<string, Plugin>();

  /**
   * Adds a plug-in.
   *
   * @param plugin - the plug-in to add
   * @throws Error where another plug-in has the same name
   */
  register(plugin: Plugin): void {
    if (this.byName.has(plugin.name)) {
      throw new Error(`plug-in "${plugin.name}" is registered twice; give one another name`);
    }
    this.byName.set(plugin.name, plugin);
  }

  /**
   * @returns all plug-ins, each after those it needs
   * @throws Error where a needed plug-in is missing or two need each other
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
