/**
 * What differs between two versions of the configuration. Answers a load of many routes of which
 * each version touches a few, on links that carry the whole configuration in seconds only.
 */
import type { CallerLimits, MeshConfiguration, MeshRoute } from './meshConfiguration.js';

/** The way from one version to a later one. */
export interface ConfigurationChange {
  /** The version it starts from; 0 where it holds everything. */
  readonly baseVersion: number;
  readonly version: number;
  /** Routes that are new or differ. */
  readonly routes: readonly MeshRoute[];
  /** The names of routes that are gone. */
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
 * @param configuration - a version
 * @returns the change that holds all of it
 */
export function wholeChange({ limits, routes, version }: MeshConfiguration): ConfigurationChange {
  return { baseVersion: 0, version, routes, removed: [], limits };
}

/**
 * @param base - the version held
 * @param next - a later one
 * @returns the way from the first to the second
 */
export function changeBetween(
  base: MeshConfiguration,
  next: MeshConfiguration,
): ConfigurationChange {
  const held = new Map(base.routes.map((route) => [route.name, route]));
  const routes = next.routes.filter((route) => {
    const before = held.get(route.name);
    held.delete(route.name);
    return before === undefined || !isSameRoute(before, route);
  });
  const { limits, version } = next;
  return { baseVersion: base.version, version, routes, removed: [...held.keys()], limits };
}

/**
 * @param first - a change
 * @param second - the change that starts where the first ends
 * @returns both as one
 */
export function joinChanges(
  first: ConfigurationChange,
  second: ConfigurationChange,
): ConfigurationChange {
  const gone = new Set(second.removed);
  const again = new Set(second.routes.map(({ name }) => name));
  return {
    baseVersion: first.baseVersion,
    version: second.version,
    routes: [
      ...first.routes.filter(({ name }) => !gone.has(name) && !again.has(name)),
      ...second.routes,
    ],
    removed: [...first.removed.filter((name) => !again.has(name)), ...second.removed],
    limits: second.limits,
  };
}

/**
 * @param base - the version that the change starts from; undefined where it holds everything
 * @param change - a change
 * @returns the version that it leads to
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
