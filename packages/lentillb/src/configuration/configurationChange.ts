/**
 * Computes, merges and applies the differences between configuration versions. Nodes exchange these
 * instead of whole configurations, because each version changes only a few of many routes and the
 * links between nodes take seconds to transfer a whole configuration.
 */
import type { EntryChange } from './entryChange.js';
import { applyEntryChange, diffEntries, mergeEntryChanges } from './entryChange.js';
import type { CallerLimits, Customer, MeshConfiguration, MeshRoute } from './meshConfiguration.js';

/** The difference between the customers of two versions. */
export interface CustomerChange extends EntryChange<Customer> {
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

function routeChange({ removed, routes }: ConfigurationChange): EntryChange<MeshRoute> {
  return { changed: routes, removed };
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
  return { ...diffEntries(base, next, isSameCustomer), isComplete: false };
}

function mergeCustomerChanges(
  first: CustomerChange | undefined,
  second: CustomerChange | undefined,
): CustomerChange | undefined {
  if (first === undefined || second === undefined || second.isComplete) {
    return second;
  }
  return { ...mergeEntryChanges(first, second), isComplete: first.isComplete };
}

function applyCustomerChange(
  base: readonly Customer[] | undefined,
  change: CustomerChange | undefined,
): readonly Customer[] | undefined {
  if (change === undefined) {
    return undefined;
  }
  return applyEntryChange(change.isComplete ? [] : (base ?? []), change);
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
  const { changed: routes, removed } = diffEntries(base.routes, next.routes, isSameRoute);
  const { limits, version } = next;
  const customers = diffCustomers(base.customers, next.customers);
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
  const { changed: routes, removed } = mergeEntryChanges(routeChange(first), routeChange(second));
  return {
    baseVersion: first.baseVersion,
    version: second.version,
    routes,
    removed,
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
  const { limits, version } = change;
  const routes = applyEntryChange(base?.routes ?? [], routeChange(change));
  const customers = applyCustomerChange(base?.customers, change.customers);
  return { version, routes, limits, customers };
}
