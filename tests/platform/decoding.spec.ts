import {
  decodeConfiguration,
  decodeHeartbeat,
  decodeRolloutOrder,
  decodeSettings,
} from '@lentillb/platform';
import { describe, expect, it } from 'vitest';

const ROUTE = {
  hostname: 'letters.example',
  'path-prefix': '/a/',
  'route-type': 'non_idempotent',
  timeout: '600ms',
  'target-latency': '250ms',
  priority: 1,
  service: 'postbag',
  'max-attempts': 2,
};

const CONFIGURATION = {
  version: '0000000c',
  routes: { lodge: ROUTE },
  services: { postbag: {}, old: {}, new: {} },
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 1_000,
    'header-timeout': '3000ms',
    'idle-timeout': '15s',
  },
};

const HEARTBEAT = {
  service: 'postbag',
  address: '10.0.0.1:80',
  zone: 'a',
  version: 'v1',
  capacity: 10,
  state: 'ready',
  'warmup-left': '1.5s',
  sequence: 4,
  born: 1_700_000_000_000,
};

/** A day after the start of the backend server. */
const NOW = new Date(HEARTBEAT.born + 86_400_000);

const SETTINGS = {
  self: {
    ip: '10.0.0.1',
    zone: 'a',
    service: 'postbag',
    'app-addr': '10.0.0.1:80',
    'new-field': 1,
  },
  network: {
    'listen-addrs': {
      inbound: '10.0.0.1:1',
      outbound: '10.0.0.1:2',
      ready: '10.0.0.1:3',
      'control-plane': '10.0.0.1:4',
    },
    'port-range': [7_600, 7_615],
  },
  platform: { platform: { address: '10.200.0.1:5' } },
  terms: {
    bounds: {
      grace: '6s',
      'retry-budget-ratio': 0.2,
      'budget-window': '10s',
      'retry-budget-extra': 62,
    },
  },
};

function encode(value: unknown): Buffer {
  return Buffer.from(JSON.stringify(value));
}

describe('configuration of the operator', () => {
  it('should be decoded into typed routes', () => {
    expect(decodeConfiguration(encode(CONFIGURATION)).unwrap()).toEqual({
      version: 12,
      routes: [
        {
          name: 'lodge',
          hostname: 'letters.example',
          pathPrefix: '/a/',
          destinations: [{ service: 'postbag', weight: 1 }],
          repetition: 'once',
          maxBackendServers: 2,
          timeoutMs: 600,
          targetLatencyMs: 250,
          priority: 1,
        },
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    });
  });

  it.each([
    ['upload', 'once'],
    ['download', 'repeat'],
  ])('should take routes of the type %s, which may run: %s', (routeType, repetition) => {
    const routes = { lodge: { ...ROUTE, 'route-type': routeType } };
    const [route] = decodeConfiguration(encode({ ...CONFIGURATION, routes })).unwrap().routes;
    expect(route?.repetition).toBe(repetition);
  });

  it('should be decoded with customers and anonymous routes', () => {
    const decoded = decodeConfiguration(
      encode({
        ...CONFIGURATION,
        routes: { lodge: { ...ROUTE, anonymous: true } },
        tenants: {
          large: { 'api-keys': ['k1', 'k2'], priority: 1, 'rate-per-s': 40, burst: 20 },
          small: { 'api-keys': [] },
        },
      }),
    ).unwrap();
    expect(decoded.routes[0]?.anonymous).toBe(true);
    expect(decoded.customers).toEqual([
      { name: 'large', keys: ['k1', 'k2'], priority: 1, ratePerSecond: 40, burst: 20 },
      { name: 'small', keys: [], priority: 0, ratePerSecond: 0, burst: 0 },
    ]);
  });

  it.each([
    ['a key of two customers', { a: { 'api-keys': ['k'] }, b: { 'api-keys': ['k'] } }],
    ['an empty key', { a: { 'api-keys': [''] } }],
    ['a negative rate', { a: { 'api-keys': [], 'rate-per-s': -1 } }],
    ['a name that no header may have', { 'a\n': { 'api-keys': [] } }],
  ])('should be rejected as a whole for %s', (_, tenants) => {
    expect(decodeConfiguration(encode({ ...CONFIGURATION, tenants })).isErr()).toBe(true);
  });

  it('should keep the weights of a route with several services', () => {
    const divided = {
      ...ROUTE,
      service: undefined,
      'weighted-services': [
        { service: 'old', weight: 90 },
        { service: 'new', weight: 10 },
      ],
    };
    const decoded = decodeConfiguration(encode({ ...CONFIGURATION, routes: { divided } }));
    expect(decoded.unwrap().routes[0]?.destinations).toEqual(divided['weighted-services']);
  });

  it.each([
    ['invalid JSON', Buffer.from('{"version":')],
    ['a version in another format', encode({ ...CONFIGURATION, version: 12 })],
    [
      'a duration without a unit',
      encode({ ...CONFIGURATION, routes: { lodge: { ...ROUTE, timeout: '600' } } }),
    ],
    ['no table of services', encode({ ...CONFIGURATION, services: undefined })],
    ...Object.entries({
      'a route without a service': { service: undefined },
      'a route to a service that is not defined': { service: 'elsewhere' },
      'weights that are all zero': {
        'weighted-services': [
          { service: 'old', weight: 0 },
          { service: 'new', weight: 0 },
        ],
      },
      'weights whose sum is too large for a number': {
        'weighted-services': [
          { service: 'old', weight: 1e308 },
          { service: 'new', weight: 1e308 },
        ],
      },
      'a prefix that does not begin with a slash': { 'path-prefix': 'a/' },
      'a prefix that does not end with a slash': { 'path-prefix': '/a' },
      'a time-out of zero': { timeout: '0ms' },
      'a time-out longer than any timer': { timeout: '2147484s' },
      'a time-out too large for a number': { timeout: `${'9'.repeat(400)}ms` },
      'a target latency of zero': { 'target-latency': '0s' },
      'a negative priority': { priority: -1 },
      'a host name of no letters': { hostname: '' },
    }).map(([fault, fields]): [string, Buffer] => [
      fault,
      encode({ ...CONFIGURATION, routes: { lodge: ROUTE, bad: { ...ROUTE, ...fields } } }),
    ]),
    ...Object.entries({
      'max-header-bytes': 0,
      'max-body-bytes': -1,
      'header-timeout': '0ms',
      'idle-timeout': '0ms',
    }).map(([limit, value]): [string, Buffer] => [
      `the limit ${limit} of ${value}`,
      encode({ ...CONFIGURATION, limits: { ...CONFIGURATION.limits, [limit]: value } }),
    ]),
    [
      'one invalid route among valid ones',
      encode({ ...CONFIGURATION, routes: { lodge: ROUTE, bad: {} } }),
    ],
  ])('should be rejected as a whole for %s', (_, bytes) => {
    expect(decodeConfiguration(bytes).isErr()).toBe(true);
  });
});

describe('heartbeat', () => {
  it('should be decoded with its identity and start time', () => {
    expect(decodeHeartbeat('i-1', HEARTBEAT, NOW).unwrap()).toEqual({
      id: 'i-1',
      service: 'postbag',
      address: '10.0.0.1:80',
      slots: 10,
      draining: false,
      warmupLeftMs: 1_500,
      sequence: 4,
      startedAtMs: 1_700_000_000_000,
      version: 'v1',
    });
  });

  it('should be decoded without a version if that is empty', () => {
    expect(decodeHeartbeat('i-1', { ...HEARTBEAT, version: '' }, NOW).unwrap()).not.toHaveProperty(
      'version',
    );
  });

  it.each([
    ['a missing field', { ...HEARTBEAT, service: undefined }],
    ['a field of another type', { ...HEARTBEAT, capacity: '10' }],
    ['an unknown state', { ...HEARTBEAT, state: 'sleeping' }],
    ['no slots', { ...HEARTBEAT, capacity: 0 }],
    ['a start time that is not an integer', { ...HEARTBEAT, born: 1.5 }],
    ['a port out of range', { ...HEARTBEAT, address: '10.0.0.1:99999' }],
    ['a port of zero', { ...HEARTBEAT, address: '10.0.0.1:0' }],
    ['an address without a port', { ...HEARTBEAT, address: '10.0.0.1' }],
    ['slots too large', { ...HEARTBEAT, capacity: 1e300 }],
    ['a warm-up too long for a timer', { ...HEARTBEAT, 'warmup-left': `${'9'.repeat(400)}s` }],
    ['a sequence too large', { ...HEARTBEAT, sequence: 1e300 }],
    ['a start time too large', { ...HEARTBEAT, born: 2 ** 53 - 1 }],
    ['a start two days from now', { ...HEARTBEAT, born: NOW.getTime() + 2 * 86_400_000 }],
    ['a service without a name', { ...HEARTBEAT, service: '' }],
    ['nothing', null],
  ])('should be rejected for %s', (_, value) => {
    expect(decodeHeartbeat('i-1', value, NOW).isErr()).toBe(true);
  });
});

describe('rollout order', () => {
  const ORDER = { service: 'postbag', 'target-version': 'v2', duration: '12s' };

  it('should be decoded', () => {
    expect(decodeRolloutOrder(encode(ORDER)).unwrap()).toEqual({
      service: 'postbag',
      targetVersion: 'v2',
      durationMs: 12_000,
    });
  });

  it.each([
    ['no version', encode({ ...ORDER, 'target-version': '' })],
    ['a duration without unit', encode({ ...ORDER, duration: 12 })],
    ['no JSON', Buffer.from('{')],
  ])('should be rejected for %s', (_, bytes) => {
    expect(decodeRolloutOrder(bytes).isErr()).toBe(true);
  });
});

describe('settings of the platform', () => {
  it('should be decoded ignoring unknown fields', () => {
    const settings = decodeSettings(SETTINGS).unwrap();
    expect(settings).toMatchObject({
      host: '10.0.0.1',
      callerAddress: '10.0.0.1:2',
      gateAddress: '10.0.0.1:1',
      peerAddress: '10.0.0.1:7600',
      storeAddress: '10.200.0.1:5',
      stopTimeoutMs: 6_000,
      retryTerms: { ratio: 0.2, extra: 62, windowMs: 10_000 },
    });
  });

  it.each([
    [{ 'memory-mb': 200 }, 200_000_000],
    [{ 'memory-mb': null }, undefined],
    [{}, undefined],
  ])('should state the memory limit of %j in bytes', (limits, bytes) => {
    const self = { ...SETTINGS.self, limits };
    expect(decodeSettings({ ...SETTINGS, self }).unwrap().memoryLimitBytes).toBe(bytes);
  });

  it.each([
    [undefined, false],
    [0.1, true],
  ])('should have rollouts where the exposure is bounded: %s', (share, hasRollouts) => {
    const bounds = { ...SETTINGS.terms.bounds, 'exposure-share': share };
    const decoded = decodeSettings({ ...SETTINGS, terms: { bounds } }).unwrap();
    expect(decoded.hasRollouts).toBe(hasRollouts);
  });

  it('should bound the requests of customers as stated, or by default', () => {
    const decodeBounds = (stated: object): unknown => {
      const bounds = { ...SETTINGS.terms.bounds, ...stated };
      return decodeSettings({ ...SETTINGS, terms: { bounds } }).unwrap().quotaTerms;
    };
    expect(decodeBounds({})).toEqual({ windowMs: 5_000, overshoot: 0.1, slack: 20 });
    const stated = { 'quota-window': '2s', 'quota-overshoot': 0, 'quota-slack': 3 };
    expect(decodeBounds(stated)).toEqual({ windowMs: 2_000, overshoot: 0, slack: 3 });
  });

  it('should name the invalid field in the error', () => {
    const { grace, ...bounds } = SETTINGS.terms.bounds;
    expect(grace).toBe('6s');
    const fault = decodeSettings({ ...SETTINGS, terms: { bounds } }).unwrapErr();
    expect(fault).toContain('terms.bounds.grace');
  });
});
