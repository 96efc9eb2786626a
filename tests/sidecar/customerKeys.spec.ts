import { respondSuccessfully } from '@lentillb/standins';
import fc from 'fast-check';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RawConnection } from '../support/rawConnection.js';
import { createRoute, SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

const SEED = 31;
const RUNS = 300;
const SECRET = 'sk-49c1f7';
const KEY = `${SECRET}-valid`;
const tenants = { acme: { 'api-keys': [KEY], priority: 2 } };
const openRoute = {
  ...createRoute('letters', 'idempotent'),
  hostname: 'open.example',
  anonymous: true,
};

/** Leaves time for another version to come into force while a request runs. */
const SLOW_TIMEOUT_MS = 8_000;
const slowRoute = createRoute('letters', 'non_idempotent', SLOW_TIMEOUT_MS);

let fleet: SidecarFleet;
let front: FleetHost;
let back: FleetHost;

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish({ letters: slowRoute, open: openRoute }, tenants);
  fleet.callerHeaders = { authorization: `Bearer ${KEY}`, 'x-tenant': 'forged' };
  front = await fleet.addHost('front', 'pages');
  back = await fleet.addHost('back', 'letters');
  await fleet.waitUntilServed(front, 'pages');
  await fleet.waitUntilServed(front, 'letters');
});

afterEach(() => fleet.close());

function logText(): string {
  return JSON.stringify(fleet.hosts.map(({ log }) => log));
}

/** The statuses of all answers on a connection. */
function statusesOf(connection: RawConnection): readonly number[] {
  return [...connection.receivedText.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, code]) =>
    Number(code),
  );
}

function writeWithKey(connection: RawConnection, authorization: string): void {
  const headers = { host: 'letters.example', 'x-attempt-id': 'r', authorization };
  connection.write({ target: '/', headers });
}

describe('customer keys over HTTP', () => {
  it.each([
    ['own host', 'pages', 'acme'],
    ['other host', 'letters', 'acme'],
    ['anonymous route', 'open', undefined],
  ])('should pass the name of the customer on, and not the key: %s', async (_, service, name) => {
    expect((await fleet.send(front, service).answer).status).toBe(200);
    const { headers } = (service === 'pages' ? front : back).backendServer.runs.at(-1)!;
    expect(headers['x-tenant']).toBe(name);
    expect(headers).not.toHaveProperty('authorization');
    expect(logText()).not.toContain(SECRET);
  });

  it('should pass both headers unchanged without customers', async () => {
    fleet.publish();
    fleet.callerHeaders = { authorization: 'Bearer other', 'x-tenant': 'own' };
    await fleet.waitUntilServed(front, 'letters');
    expect(back.backendServer.runs.at(-1)?.headers).toMatchObject(fleet.callerHeaders);
  });

  // Guards against a key that stays valid on connections that were open when it was revoked.
  it('should answer 401 to a revoked key on an open connection', async () => {
    const connection = await RawConnection.open(front.callerAddress);
    writeWithKey(connection, `Bearer ${KEY}`);
    await fleet.waitUntil(() => statusesOf(connection).length === 1);
    fleet.publish({}, { acme: { 'api-keys': [`${KEY}-2`] } });
    const writtenAtMs = fleet.clock.monotonicMs();
    while (statusesOf(connection).at(-1) !== 401) {
      expect(fleet.clock.monotonicMs() - writtenAtMs).toBeLessThan(2_500);
      const count = statusesOf(connection).length;
      writeWithKey(connection, `Bearer ${KEY}`);
      await fleet.waitUntil(() => statusesOf(connection).length > count);
    }
    expect(new Set(statusesOf(connection))).toEqual(new Set([200, 401]));
    expect(connection.isClosed).toBe(false);
    connection.close();
    fleet.callerHeaders = { authorization: `Bearer ${KEY}-2` };
    expect((await fleet.send(front, 'letters').answer).status).toBe(200);
  });

  it('should finish a request that was admitted before its key was revoked', async () => {
    let finish = (): void => undefined;
    back.backendServer.setHandler((response, run) => {
      finish = () => respondSuccessfully(response, run);
    });
    const { log } = front;
    const { answer } = fleet.send(front, 'letters', 'slow', SLOW_TIMEOUT_MS);
    const runsBefore = back.backendServer.runs.length;
    await fleet.waitUntil(() => back.backendServer.runs.length > runsBefore);
    const version = fleet.publish({}, { acme: { 'api-keys': [] } });
    await fleet.waitUntil(() => JSON.stringify(log).includes(`"version":${version}`));
    expect((await fleet.send(front, 'letters').answer).status).toBe(401);
    finish();
    expect((await answer).status).toBe(200);
  });

  it('should answer 401 to repeated headers', async () => {
    const connection = await RawConnection.open(front.callerAddress);
    writeWithKey(connection, `Bearer ${KEY}\r\nAuthorization: Bearer ${KEY}`);
    await fleet.waitUntil(() => statusesOf(connection).length === 1);
    expect(statusesOf(connection)).toEqual([401]);
    connection.close();
  });

  // Guards against values that make the node fail, or that it writes to its log.
  it('should answer no value with a server error, and log none', async () => {
    const bytes = fc.string({
      unit: fc.integer({ min: 0, max: 255 }).map((code) => String.fromCharCode(code)),
      maxLength: 40,
    });
    const prefixes = fc.constantFrom('', 'Bearer ', 'bearer  ', 'Basic ', 'Bearer\t');
    const lengths = fc.constantFrom(0, 0, 0, 3_000, 20_000);
    const runsBefore = back.backendServer.runs.length;
    await fc.assert(
      fc.asyncProperty(prefixes, bytes, lengths, bytes, async (prefix, head, length, tail) => {
        // A line end would begin another header, or end the head.
        const value = `${prefix}${head}${SECRET}${'x'.repeat(length)}${tail}`;
        const connection = await RawConnection.open(front.callerAddress);
        writeWithKey(connection, value.replaceAll(/[\r\n]/g, ''));
        await fleet.waitUntil(() => statusesOf(connection).length === 1);
        connection.close();
        // Bytes that no header may have are not valid HTTP; long heads exceed the configured limit.
        const isValid = /^[\t\x20-\x7e\x80-\xff]*$/.test(value.replaceAll(/[\r\n]/g, ''));
        const statusOfValid = length > 16_000 ? 431 : 401;
        const expected = isValid ? statusOfValid : 400;
        expect(statusesOf(connection)).toEqual([expected]);
      }),
      { seed: SEED, numRuns: RUNS },
    );
    expect(back.backendServer.runs.length).toBe(runsBefore);
    expect(logText()).not.toContain(SECRET);
  });
});
