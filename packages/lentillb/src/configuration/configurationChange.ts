/**
 * Computes, merges and applies the differences between configuration versions. Nodes exchange these
 * instead of whole configurations, because each version changes only a few of many routes and the
 * links between nodes take seconds to transfer a whole configuration.
 */
import type { CallerLimits, Customer, MeshConfiguration, MeshRoute } from './meshConfiguration.js';

/** The difference between the customers of two versions. */
export interface CustomerChange {
  /** The customers that are new or changed. */
  readonly changed: readonly Customer[];
  /** The names of the removed customers. */
  readonly removed: readonly string[];
  /** Whether `changed` holds all customers, because the earlier version defines none. */
  readonly isComplete: boolean;
}

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
  /** The difference between the customers; undefined if the later version defines none. */
  readonly customers?: CustomerChange | undefined;
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
    left.anonymous === right.anonymous &&
    left.destinations.length === right.destinations.length &&
    left.destinations.every(({ service, weight }, index) => {
      const other = right.destinations[index];
      return other?.service === service && other.weight === weight;
    })
  );
}

function isSameCustomer(left: Customer, right: Customer): boolean {
  return (
    left.priority === right.priority &&
    left.ratePerSecond === right.ratePerSecond &&
    left.burst === right.burst &&
    left.keys.length === right.keys.length &&
    left.keys.every((key, index) => key === right.keys[index])
  );
}

function diffCustomers(
  base: readonly Customer[] | undefined,
  next: readonly Customer[] | undefined,
): CustomerChange | undefined {
  if (next === undefined) {
    return undefined;
  }
  if (base === undefined) {
    return { changed: next, removed: [], isComplete: true };
  }
  const baseCustomers = new Map(base.map((customer) => [customer.name, customer]));
  const changed = next.filter((customer) => {
    const baseCustomer = baseCustomers.get(customer.name);
    baseCustomers.delete(customer.name);
    return baseCustomer === undefined || !isSameCustomer(baseCustomer, customer);
  });
  return { changed, removed: [...baseCustomers.keys()], isComplete: false };
}

function mergeCustomerChanges(
  first: CustomerChange | undefined,
  second: CustomerChange | undefined,
): CustomerChange | undefined {
  if (first === undefined || second === undefined || second.isComplete) {
    return second;
  }
  const removedBySecond = new Set(second.removed);
  const setBySecond = new Set(second.changed.map(({ name }) => name));
  return {
    changed: [
      ...first.changed.filter(({ name }) => !removedBySecond.has(name) && !setBySecond.has(name)),
      ...second.changed,
    ],
    removed: [...first.removed.filter((name) => !setBySecond.has(name)), ...second.removed],
    isComplete: first.isComplete,
  };
}

function applyCustomerChange(
  base: readonly Customer[] | undefined,
  change: CustomerChange | undefined,
): readonly Customer[] | undefined {
  if (change === undefined) {
    return undefined;
  }
  const kept = change.isComplete ? [] : (base ?? []);
  const byName = new Map(kept.map((customer) => [customer.name, customer]));
  change.removed.forEach((name) => byName.delete(name));
  change.changed.forEach((customer) => byName.set(customer.name, customer));
  return [...byName.values()];
}

/**
 * Converts a complete configuration to a change without a base version.
 *
 * @param configuration - the configuration
 * @returns a change that holds all of its routes
 */
export function fullChange(configuration: MeshConfiguration): ConfigurationChange {
  const { limits, routes, version } = configuration;
  const customers = diffCustomers(undefined, configuration.customers);
  return { baseVersion: 0, version, routes, removed: [], limits, customers };
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
  const customers = diffCustomers(base.customers, next.customers);
  const removed = [...baseRoutes.keys()];
  return { baseVersion: base.version, version, routes, removed, limits, customers };
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
    customers: mergeCustomerChanges(first.customers, second.customers),
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
  change: ConfigurationChange,
): MeshConfiguration {
  const { limits, removed, routes, version } = change;
  const byName = new Map((base?.routes ?? []).map((route) => [route.name, route]));
  removed.forEach((name) => byName.delete(name));
  routes.forEach((route) => byName.set(route.name, route));
  const customers = applyCustomerChange(base?.customers, change.customers);
  return { version, routes: [...byName.values()], limits, customers };
}
