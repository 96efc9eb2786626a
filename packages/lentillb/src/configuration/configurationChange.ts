/**
 * Computes, merges and applies the differences between configuration versions. Nodes exchange these
 * instead of whole configurations, because each version changes only a few of many routes and the
 * links between nodes take seconds to transfer a whole configuration.
 */
import type { CallerLimits, MeshConfiguration, MeshRoute } from './meshConfiguration.js';

/** The difference between a configuration version and a later one. */
export interface ConfigurationChange {
  /** The version that the change is based on; 0 if it holds the complete configuration. */
  readonly baseVersion: number;
  readonly version: number;
  /** The routes that are new or changed. */
  readonly routes: readonly MeshRoute[];
  /** The names of the removed routes. */
  readonly removed: readonly string[];
  readonly limits: CallerLimits;
}

function isSameRoute(left: MeshRoute, right: MeshRoute): boolean {
  return (
    left.hostname === right.hostname &&
    left.pathPrefix === right.pathPrefix &&
    left.repetition === right.repetition &&
    left.maxBackendServers === right.maxBackendServers &&
    left.timeoutMs === right.timeoutMs &&
    left.targetLatencyMs === right.targetLatencyMs &&
    left.priority === right.priority &&
    left.destinations.length === right.destinations.length &&
    left.destinations.every(({ service, weight }, index) => {
      const other = right.destinations[index];
      return other?.service === service && other.weight === weight;
    })
  );
}

/**
 * Converts a complete configuration to a change without a base version.
 *
 * @param configuration - the configuration
 * @returns a change that holds all of its routes
 */
export function fullChange({ limits, routes, version }: MeshConfiguration): ConfigurationChange {
  return { baseVersion: 0, version, routes, removed: [], limits };
}

/**
 * Computes the difference between two versions.
 *
 * @param base - the base version
 * @param next - a later version
 * @returns the change from `base` to `next`
 */
export function diffConfigurations(
  base: MeshConfiguration,
  next: MeshConfiguration,
): ConfigurationChange {
  const baseRoutes = new Map(base.routes.map((route) => [route.name, route]));
  const routes = next.routes.filter((route) => {
    const baseRoute = baseRoutes.get(route.name);
    baseRoutes.delete(route.name);
    return baseRoute === undefined || !isSameRoute(baseRoute, route);
  });
  const { limits, version } = next;
  return { baseVersion: base.version, version, routes, removed: [...baseRoutes.keys()], limits };
}

/**
 * Merges two consecutive changes.
 *
 * @param first - a change
 * @param second - a change based on the version that the first leads to
 * @returns a change with the effect of both
 */
export function mergeChanges(
  first: ConfigurationChange,
  second: ConfigurationChange,
): ConfigurationChange {
  const removedBySecond = new Set(second.removed);
  const setBySecond = new Set(second.routes.map(({ name }) => name));
  return {
    baseVersion: first.baseVersion,
    version: second.version,
    routes: [
      ...first.routes.filter(({ name }) => !removedBySecond.has(name) && !setBySecond.has(name)),
      ...second.routes,
    ],
    removed: [...first.removed.filter((name) => !setBySecond.has(name)), ...second.removed],
    limits: second.limits,
  };
}

/**
 * Applies a change to its base version.
 *
 * @param base - the base version; undefined if the change holds the complete configuration
 * @param change - the change
 * @returns the resulting version
 */
export function applyChange(
  base: MeshConfiguration | undefined,
  { limits, removed, routes, version }: ConfigurationChange,
): MeshConfiguration {
  const byName = new Map((base?.routes ?? []).map((route) => [route.name, route]));
  removed.forEach((name) => byName.delete(name));
  routes.forEach((route) => byName.set(route.name, route));
  return { version, routes: [...byName.values()], limits };
}
