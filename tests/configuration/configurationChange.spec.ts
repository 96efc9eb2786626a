import fc from 'fast-check';
import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import type { ConfigurationChange } from 'lentillb/configuration/configurationChange.js';
import {
  applyChange,
  diffConfigurations,
  mergeChanges,
  fullChange,
} from 'lentillb/configuration/configurationChange.js';
import type {
  Customer,
  MeshConfiguration,
  MeshRoute,
} from 'lentillb/configuration/meshConfiguration.js';
import { Repetition } from 'lentillb/rules/ruleForms.js';
import { describe, expect, it } from 'vitest';

const SEED = 12;
const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 65_536,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

function route(name: string, fields: Partial<MeshRoute> = {}): MeshRoute {
  return {
    name,
    hostname: `${name}.example`,
    pathPrefix: '/',
    destinations: [{ service: 'pages', weight: 1 }],
    repetition: Repetition.Repeat,
    maxBackendServers: 2,
    timeoutMs: 1_000,
    targetLatencyMs: 400,
    priority: 1,
    ...fields,
  };
}

function configuration(
  version: number,
  routes: readonly MeshRoute[],
  customers?: readonly Customer[],
): MeshConfiguration {
  return { version, routes, limits: LIMITS, customers };
}

/** Generates a series of configuration versions with different routes, priorities and weights. */
const versions = fc
  .array(
    fc.record({
      routes: fc.dictionary(
        fc.constantFrom('a', 'b', 'c', 'd', 'e'),
        fc.record({
          priority: fc.integer({ min: 0, max: 2 }),
          weight: fc.integer({ min: 1, max: 2 }),
        }),
      ),
      keysByCustomer: fc.option(
        fc.dictionary(fc.constantFrom('f', 'g', 'h'), fc.subarray(['key 1', 'key 2'])),
        { nil: undefined },
      ),
    }),
    { minLength: 2, maxLength: 25 },
  )
  .map((generated) =>
    generated.map(({ keysByCustomer, routes }, index) =>
      configuration(
        // Version numbers increase by 3 and by 1 in turn.
        index * 2 + 1 + (index % 2),
        Object.entries(routes).map(([name, { priority, weight }]) =>
          route(name, { priority, destinations: [{ service: 'pages', weight }] }),
        ),
        keysByCustomer &&
          Object.entries(keysByCustomer).map(([name, keys]) => ({
            name,
            keys,
            priority: 1,
            ratePerSecond: 5,
            burst: 5,
          })),
      ),
    ),
  );

function sortByName<Named extends { readonly name: string }>(named: readonly Named[]): Named[] {
  return [...named].sort((left, right) => (left.name < right.name ? -1 : 1));
}

function withSortedRoutes(configured: MeshConfiguration): unknown {
  const { customers, limits, routes, version } = configured;
  return {
    version,
    limits,
    routes: sortByName(routes),
    customers: customers && sortByName(customers),
  };
}

describe('configuration change', () => {
  it('should lead from the first version to the last, as one change or as several merged', () => {
    fc.assert(
      fc.property(versions, (all) => {
        const [first, ...later] = all as [MeshConfiguration, ...MeshConfiguration[]];
        const changes = later.map((next, index) =>
          diffConfigurations(all[index] as MeshConfiguration, next),
        );
        const [firstChange, ...laterChanges] = changes;
        const merged = laterChanges.reduce(mergeChanges, firstChange as (typeof changes)[number]);
        expect(withSortedRoutes(applyChange(first, merged))).toEqual(
          withSortedRoutes(all.at(-1) as MeshConfiguration),
        );
      }),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('should contain only the routes that differ', () => {
    const base = Array.from({ length: 1_600 }, (_, index) => route(`r${index}`));
    const next = base
      .slice(1)
      .map((entry) => (entry.name === 'r9' ? route('r9', { priority: 0 }) : { ...entry }));
    const change = diffConfigurations(
      configuration(4, base),
      configuration(7, [...next, route('new')]),
    );
    expect(change.removed).toEqual(['r0']);
    expect(change.routes.map(({ name }) => name)).toEqual(['r9', 'new']);
  });
});

describe('configuration holder', () => {
  function createHolder(count: number): ConfigurationHolder {
    const holder = new ConfigurationHolder();
    for (let version = 1; version <= count; version += 1) {
      holder.activateIfNewer(
        configuration(version, [route('a', { priority: version }), route('b')]),
      );
    }
    return holder;
  }

  it('should return only the changes since the version of a node that lags behind', () => {
    const change = createHolder(9).changeSince(6);
    expect(change).toMatchObject({ baseVersion: 6, version: 9, removed: [] });
    expect(change?.routes.map(({ name }) => name)).toEqual(['a']);
  });

  it('should return the complete configuration for a node with no version or an unknown one', () => {
    const whole = createHolder(9).changeSince(0) as ConfigurationChange;
    expect(whole.baseVersion).toBe(0);
    expect(withSortedRoutes(applyChange(undefined, whole))).toEqual(
      withSortedRoutes(configuration(9, [route('a', { priority: 9 }), route('b')])),
    );
    expect(createHolder(40).changeSince(3)).toMatchObject({ baseVersion: 0, version: 40 });
  });

  it('should return nothing for a node that is up to date', () => {
    expect(createHolder(9).changeSince(9)).toBeUndefined();
    expect(createHolder(9).changeSince(12)).toBeUndefined();
    expect(new ConfigurationHolder().changeSince(0)).toBeUndefined();
  });

  it('should reject a change based on another version and keep the active configuration', () => {
    const holder = createHolder(3);
    const change = createHolder(9).changeSince(6);
    expect(change && holder.applyIfNewer(change)).toBe(false);
    expect(holder.version).toBe(3);
  });

  it('should never return to an older version, whichever changes arrive in any order', () => {
    fc.assert(
      fc.property(
        versions,
        fc.array(fc.tuple(fc.nat(24), fc.nat(24)), { maxLength: 40 }),
        (all, deliveries) => {
          const node = new ConfigurationHolder();
          let newest = 0;
          deliveries.forEach(([from, to]) => {
            const base = all[from % all.length] as MeshConfiguration;
            const next = all[to % all.length] as MeshConfiguration;
            node.applyIfNewer(from > to ? fullChange(next) : diffConfigurations(base, next));
            expect(node.version).toBeGreaterThanOrEqual(newest);
            newest = node.version;
            const expected = all.find(({ version }) => version === newest);
            if (expected !== undefined) {
              expect(withSortedRoutes(node.current?.configuration as MeshConfiguration)).toEqual(
                withSortedRoutes(expected),
              );
            }
          });
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });
});
