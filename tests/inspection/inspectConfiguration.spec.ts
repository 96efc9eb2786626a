import { compareConfigurations, inspectConfiguration, Repetition } from 'lentillb';
import type { Customer, MeshConfiguration } from 'lentillb/sidecar';
import { describe, expect, it } from 'vitest';

const SERVICES = new Set(['pages']);
const route = {
  name: 'r',
  hostname: 'a.example',
  pathPrefix: '/',
  destinations: [{ service: 'pages', weight: 1 }],
  repetition: Repetition.Once,
  maxBackendServers: 1,
  timeoutMs: 1_000,
  targetLatencyMs: 500,
  priority: 1,
};
const acme = { name: 'acme', keys: ['k1'], priority: 0, ratePerSecond: 5, burst: 5 };
const limits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
const valid: MeshConfiguration = { version: 2, routes: [route], limits, customers: [acme] };

/** Returns the kinds and places of the findings. */
function inspect(fields: Partial<MeshConfiguration>, inForce?: MeshConfiguration): string[] {
  return inspectConfiguration({ ...valid, ...fields }, SERVICES, inForce).map(
    ({ kind, place }) => `${kind} ${place.join('.')}`,
  );
}

function inspectCustomer(fields: Partial<Customer>): string[] {
  return inspect({ customers: [{ ...acme, ...fields }] });
}

describe('inspection of a configuration', () => {
  it('should find nothing in a valid one', () => {
    expect(inspect({}, { ...valid, version: 1 })).toEqual([]);
    expect(inspect({ customers: undefined })).toEqual([]);
  });

  it('should find all errors, and a version that nodes ignore', () => {
    const broken = { ...route, timeoutMs: 0, targetLatencyMs: 0, priority: -1 };
    const others = { limits: { ...limits, maxBodyBytes: 0 }, customers: [{ ...acme, burst: -1 }] };
    expect(inspect({ ...others, routes: [broken] }, { ...valid, version: 3 })).toEqual([
      'error limits.maxBodyBytes',
      'error routes.r.timeoutMs',
      'error routes.r.targetLatencyMs',
      'error routes.r.priority',
      'error customers.acme.burst',
      'error version',
    ]);
  });

  // Guards against entries that the operator believes to be in effect.
  it('should find routes and services that no request can match', () => {
    const routes = [
      { ...route, name: 'replaced', hostname: 'A.example' },
      route,
      { ...route, name: 'port', hostname: 'b.example:80' },
      { ...route, name: 'wildcard', hostname: '*.example' },
      { ...route, name: 'query', pathPrefix: '/a?b/' },
      { ...route, name: 'space', pathPrefix: '/a b/' },
      { ...route, name: 'ipv6', hostname: '[::1]' },
    ];
    const found = inspectConfiguration({ ...valid, routes }, new Set(['pages', 'unused']));
    expect(found.map(({ place }) => place.join('.'))).toEqual([
      'routes.replaced',
      'routes.port.hostname',
      'routes.wildcard.hostname',
      'routes.query.pathPrefix',
      'routes.space.pathPrefix',
      'services.unused',
    ]);
    expect(new Set(found.map(({ kind }) => kind))).toEqual(new Set(['unmatched']));
  });

  it('should find keys that no request can send, without quoting them', () => {
    const keys = ['secret\u0001', ' secret', 'secret\u20ac', 'secret', 'secret', 'secret 2'];
    expect(inspectCustomer({ keys })).toEqual(
      [0, 1, 2, 4].map((index) => `unmatched customers.acme.keys.${index}`),
    );
    expect(inspectCustomer({ keys: [] })).toEqual(['unmatched customers.acme.keys']);
    const shared = [acme, { ...acme, name: 'other' }];
    expect(inspect({ customers: shared })).toEqual(['error customers.other.keys.0']);
    const all = inspectConfiguration({ ...valid, customers: [{ ...acme, keys }] }, SERVICES);
    expect(JSON.stringify(all)).not.toContain('secret');
  });

  it('should find settings that contradict each other', () => {
    const late = { ...route, targetLatencyMs: 1_001 };
    expect(inspect({ routes: [late] })).toEqual(['contradiction routes.r.targetLatencyMs']);
    const high = { ...limits, maxHeaderBytes: 70_000, headerTimeoutMs: 61_000 };
    expect(inspect({ limits: high })).toEqual([
      'contradiction limits.maxHeaderBytes',
      'contradiction limits.headerTimeoutMs',
    ]);
    expect(inspectCustomer({ ratePerSecond: 0 })).toEqual(['contradiction customers.acme.burst']);
    expect(inspect({ customers: [] })).toEqual(['contradiction customers']);
    const open = [{ ...route, anonymous: true }];
    expect(inspect({ routes: open })).toEqual(['unmatched customers']);
  });

  it('should list the differences from the version in force, without showing keys', () => {
    const next = {
      ...valid,
      routes: [
        { ...route, timeoutMs: 900, anonymous: true },
        { ...route, name: 'new' },
      ],
      limits: { ...limits, maxBodyBytes: 2_000 },
      customers: [{ ...acme, keys: ['k2', 'k3'], priority: 1 }],
    };
    const changes = (before: MeshConfiguration, after: MeshConfiguration): string[] =>
      compareConfigurations(before, after).map(
        ({ change, place }) => `${place.join('.')} ${change}`,
      );
    expect(changes(valid, next)).toEqual([
      'routes.r.timeoutMs 1000 becomes 900',
      'routes.r.anonymous not set becomes true',
      'routes.new added',
      'limits.maxBodyBytes 1000 becomes 2000',
      'customers.acme.priority 0 becomes 1',
      'customers.acme.keys 2 added, 1 removed',
    ]);
    expect(changes(next, { ...next, routes: [], customers: undefined })).toEqual([
      'routes.r removed',
      'routes.new removed',
      'customers requests need no keys',
      'customers.acme removed',
    ]);
    expect(changes(valid, { ...valid, version: 9 })).toEqual([]);
  });
});
