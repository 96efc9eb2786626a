import fc from 'fast-check';
import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import type { ConfigurationChange } from 'lentillb/configuration/configurationChange.js';
import {
  applyChange,
  changeBetween,
  joinChanges,
  wholeChange,
} from 'lentillb/configuration/configurationChange.js';
import type { MeshConfiguration, MeshRoute } from 'lentillb/configuration/meshConfiguration.js';
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

function configuration(version: number, routes: readonly MeshRoute[]): MeshConfiguration {
  return { version, routes, limits: LIMITS };
}

/** Versions of some routes, each of which differs in what fast-check likes. */
const versions = fc
  .array(
    fc.dictionary(
      fc.constantFrom('a', 'b', 'c', 'd', 'e'),
      fc.record({
        priority: fc.integer({ min: 0, max: 2 }),
        weight: fc.integer({ min: 1, max: 2 }),
      }),
    ),
    { minLength: 2, maxLength: 25 },
  )
  .map((drawn) =>
    drawn.map((routes, index) =>
      configuration(
        // Versions rise in uneven steps.
        index * 2 + 1 + (index % 2),
        Object.entries(routes).map(([name, { priority, weight }]) =>
          route(name, { priority, destinations: [{ service: 'pages', weight }] }),
        ),
      ),
    ),
  );

function sorted({ limits, routes, version }: MeshConfiguration): unknown {
  const byName = [...routes].sort((left, right) => (left.name < right.name ? -1 : 1));
  return { version, limits, routes: byName };
}

describe('a change between two versions', () => {
  it('should lead from the one to the other, joined or not', () => {
    fc.assert(
      fc.property(versions, (all) => {
        const [first, ...later] = all as [MeshConfiguration, ...MeshConfiguration[]];
        const changes = later.map((next, index) =>
          changeBetween(all[index] as MeshConfiguration, next),
        );
        const [begin, ...rest] = changes;
        const joined = rest.reduce(joinChanges, begin as (typeof changes)[number]);
        expect(sorted(applyChange(first, joined))).toEqual(sorted(all.at(-1) as MeshConfiguration));
      }),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('should hold only the routes that differ', () => {
    const base = Array.from({ length: 1_600 }, (_, index) => route(`r${index}`));
    const next = base
      .slice(1)
      .map((one) => (one.name === 'r9' ? route('r9', { priority: 0 }) : { ...one }));
    const change = changeBetween(configuration(4, base), configuration(7, [...next, route('new')]));
    expect(change.removed).toEqual(['r0']);
    expect(change.routes.map(({ name }) => name)).toEqual(['r9', 'new']);
  });
});

describe('a node that is behind', () => {
  function held(count: number): ConfigurationHolder {
    const holder = new ConfigurationHolder();
    for (let version = 1; version <= count; version += 1) {
      holder.offer(configuration(version, [route('a', { priority: version }), route('b')]));
    }
    return holder;
  }

  it('should be given only what changed since its version', () => {
    const change = held(9).changeSince(6);
    expect(change).toMatchObject({ baseVersion: 6, version: 9, removed: [] });
    expect(change?.routes.map(({ name }) => name)).toEqual(['a']);
  });

  it('should be given everything where it holds nothing, or a version not known here', () => {
    const whole = held(9).changeSince(0) as ConfigurationChange;
    expect(whole.baseVersion).toBe(0);
    expect(sorted(applyChange(undefined, whole))).toEqual(
      sorted(configuration(9, [route('a', { priority: 9 }), route('b')])),
    );
    expect(held(40).changeSince(3)).toMatchObject({ baseVersion: 0, version: 40 });
  });

  it('should be given nothing where it lacks nothing', () => {
    expect(held(9).changeSince(9)).toBeUndefined();
    expect(held(9).changeSince(12)).toBeUndefined();
    expect(new ConfigurationHolder().changeSince(0)).toBeUndefined();
  });

  it('should not take a change that starts from another version, and keep what it holds', () => {
    const holder = held(3);
    const change = held(9).changeSince(6);
    expect(change && holder.advance(change)).toBe(false);
    expect(holder.version).toBe(3);
  });

  it('should never go back, whatever changes arrive in whatever order', () => {
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
            node.advance(from > to ? wholeChange(next) : changeBetween(base, next));
            expect(node.version).toBeGreaterThanOrEqual(newest);
            newest = node.version;
            const expected = all.find(({ version }) => version === newest);
            if (expected !== undefined) {
              expect(sorted(node.current?.configuration as MeshConfiguration)).toEqual(
                sorted(expected),
              );
            }
          });
        },
      ),
      { seed: SEED, numRuns: 500 },
    );
  });
});
