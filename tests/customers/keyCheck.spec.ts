import type { IncomingHttpHeaders } from 'node:http';
import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import { ConfigurationStatus } from 'lentillb/configuration/configurationStatus.js';
import type { Customer } from 'lentillb/configuration/meshConfiguration.js';
import { KeyCheck } from 'lentillb/customers/keyCheck.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

function customer(name: string, ...keys: readonly string[]): Customer {
  return { name, keys, priority: 0, ratePerSecond: 0, burst: 0 };
}

/** Creates a check by a configuration with the given customers. */
function fixture(customers: readonly Customer[] | undefined) {
  const configuration = new ConfigurationHolder();
  const status = new ConfigurationStatus(new ManualClock(), configuration);
  const metrics = new MetricsRegistry();
  const check = new KeyCheck({ configuration, status, metrics }, 'x-tenant');
  const activate = (next: readonly Customer[] | undefined): void => {
    const version = configuration.version + 1;
    configuration.activateIfNewer({ version, routes: [], limits, customers: next });
  };
  activate(customers);
  /** Returns the name of the customer, or the cause and whether it is final. */
  const identify = (headers: IncomingHttpHeaders, rawHeaders?: readonly string[]): unknown => {
    const owner = check.identify({ headers, rawHeaders }, {});
    return owner.isOk() ? owner.value.customer?.name : [owner.error.cause, owner.error.isFinal];
  };
  const identifyKey = (key: string): unknown => identify({ authorization: `Bearer ${key}` });
  return { activate, check, identify, identifyKey, metrics, status };
}

describe('check of customer keys', () => {
  it('should find the customer of each of its keys', () => {
    const { identifyKey, metrics } = fixture([customer('a', 'k1', 'k2'), customer('b', 'k3')]);
    expect(['k1', 'k2', 'k3'].map(identifyKey)).toEqual(['a', 'a', 'b']);
    expect(identifyKey('__proto__')).toEqual(['unknown-key', true]);
    expect(metrics.renderText()).toContain('customer_requests{customer="a"} 2');
    expect(metrics.renderText()).not.toMatch(/k[123]/);
  });

  it('should compare the scheme without regard to case, and the key exactly', () => {
    const { identify, identifyKey } = fixture([customer('a', 'Key')]);
    ['bearer Key', 'BEARER Key', 'Bearer   Key'].forEach((authorization) =>
      expect(identify({ authorization })).toBe('a'),
    );
    ['key', 'Key2', 'Ke', 'Key Key', 'Key\u0000'].forEach((key) =>
      expect(identifyKey(key)).toEqual(['unknown-key', true]),
    );
  });

  it.each([
    '',
    'Bearer',
    'Bearer ',
    'BearerKey',
    'Basic Key',
    'Key',
    'x Bearer Key',
    'Bearer\tKey',
  ])('should take %j for a malformed value', (authorization) => {
    const { identify } = fixture([customer('a', 'Key')]);
    expect(identify({ authorization })).toEqual(['malformed-key', true]);
  });

  // Guards against a second header that a server behind this one would read instead of the first.
  it('should deny a request with a repeated header', () => {
    const { identify } = fixture([customer('a', 'Key')]);
    const rawHeaders = ['Authorization', 'Bearer Key', 'authorization', 'Bearer Key'];
    expect(identify({ authorization: 'Bearer Key' }, rawHeaders)).toEqual(['malformed-key', true]);
    expect(identify({ authorization: 'Bearer Key' }, rawHeaders.slice(2))).toBe('a');
  });

  // Guards against a final answer that a version on its way to this node would not give.
  it('should deny finally only what no version that is known to exist may allow', () => {
    const { activate, identify, identifyKey, status } = fixture([customer('a', 'k1')]);
    expect([identify({}), identifyKey('k2')]).toEqual([
      ['no-key', true],
      ['unknown-key', true],
    ]);
    status.noteVersion(2, 'other:1');
    expect([identify({}), identifyKey('k2'), identifyKey('k1')]).toEqual([
      ['no-key', false],
      ['unknown-key', false],
      'a',
    ]);
    expect(identify({ authorization: 'Bearer' })).toEqual(['malformed-key', true]);
    activate([customer('b', 'k2')]);
    expect([identifyKey('k2'), identifyKey('k1')]).toEqual(['b', ['unknown-key', true]]);
  });

  it('should require no key without customers, and one where the list of them is empty', () => {
    const { activate, identify, identifyKey } = fixture(undefined);
    expect([identify({}), identifyKey('k')]).toEqual([undefined, undefined]);
    activate([]);
    expect([identify({}), identifyKey('k')]).toEqual([
      ['no-key', true],
      ['unknown-key', true],
    ]);
  });

  it('should replace what a caller states about itself only where there are customers', () => {
    const { activate, check } = fixture([customer('a', 'k')]);
    const headers = { authorization: 'Bearer k', 'x-tenant': 'forged', other: '1' };
    const passedOn = (anonymous: boolean) =>
      check.ownedHeaders(headers, check.identify({ headers }, { anonymous }).unwrap());
    expect(passedOn(false)).toEqual({ 'x-tenant': 'a', other: '1' });
    expect(passedOn(true)).toEqual({ other: '1' });
    activate(undefined);
    expect(passedOn(false)).toEqual(headers);
  });
});
