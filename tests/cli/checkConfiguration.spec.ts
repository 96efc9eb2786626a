import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { ExitCode, runProgram } from '@lentillb/cli';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { RecordingConsole } from '../support/recordingConsole.js';

const route = {
  hostname: 'letters.example',
  'path-prefix': '/a/',
  'route-type': 'upload',
  timeout: '600ms',
  'target-latency': '250ms',
  priority: 1,
  service: 'postbag',
  'max-attempts': 2,
};
const record = {
  version: '0000000c',
  routes: { lodge: route },
  services: { postbag: {} },
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 1_000,
    'header-timeout': '3000ms',
    'idle-timeout': '15s',
  },
  tenants: { 'acme co': { 'api-keys': ['secret-1'], 'rate-per-s': 5, burst: 5 } },
};

let folder: string;

beforeAll(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'lentillb-test-'));
});

afterAll(() => rm(folder, { recursive: true }));

async function write(name: string, text: string): Promise<string> {
  const file = path.join(folder, name);
  await writeFile(file, text);
  return file;
}

async function check(...args: readonly string[]) {
  const console = new RecordingConsole();
  const withFormat = ['check-configuration', '--format', '@lentillb/platform', ...args];
  return { code: await runProgram(withFormat, console), console };
}

/** Checks a record; returns the exit code and the lines without the name of the file. */
async function checkRecord(value: unknown, ...args: readonly string[]) {
  const file = await write('next.json', JSON.stringify(value));
  const { code, console } = await check(file, ...args);
  return [code, ...console.printed.map((line) => line.replace(`${file}: `, ''))];
}

describe('lentillb check-configuration', () => {
  it('should print nothing where there is nothing to change', async () => {
    expect(await checkRecord(record)).toEqual([ExitCode.Ok]);
  });

  it('should print errors with the places of the file and remedies', async () => {
    const { hostname, ...rest } = route;
    const routes = {
      lodge: { ...rest, timeout: 600, 'route-type': 'other', annonymous: true },
    };
    expect(await checkRecord({ ...record, routes })).toEqual([
      ExitCode.Refused,
      'routes.lodge.hostname: error: the field is missing; set a value of the type string',
      'routes.lodge.route-type: error: the field has another form; set one of idempotent, non_idempotent, upload, download',
      'routes.lodge.timeout: error: the field has another form; set a value of the type string',
      'routes.lodge.annonymous: unmatched: the field is not known, and is ignored; correct its name, or remove it',
    ]);
    const late = { ...route, timeout: '200ms', service: 'other' };
    const lines = await checkRecord({ ...record, routes: { lodge: late } });
    expect(lines.map((line) => `${line}`.split(';')[0])).toEqual([
      '1',
      'routes.lodge: error: route "lodge" has a service that the configuration does not define',
      'services.postbag: unmatched: no route sends requests to this service',
      'routes.lodge.target-latency: contradiction: the target latency of 250 ms exceeds the time-out of 200 ms',
    ]);
  });

  it('should print the differences from the version in force, and no key', async () => {
    const inForce = await write('in-force.json', JSON.stringify(record));
    const next = {
      ...record,
      version: '0000000d',
      routes: { lodge: { ...route, timeout: '0.7s' } },
      tenants: { 'acme co': { 'api-keys': ['secret-2', ' secret-3'], 'rate-per-s': 6, burst: 5 } },
    };
    const [code, ...lines] = await checkRecord(next, '--in-force', inForce);
    expect(code).toBe(ExitCode.Refused);
    expect(lines).toEqual([
      'tenants["acme co"].api-keys[1]: unmatched: no header can contain this key; use printable characters without spaces around them',
      'routes.lodge.timeout: differs: 600 becomes 700',
      'tenants["acme co"].rate-per-s: differs: 5 becomes 6',
      'tenants["acme co"].api-keys: differs: 2 added, 1 removed',
    ]);
    const [, json] = await checkRecord(next, '--in-force', inForce, '--json');
    const { differences, findings } = JSON.parse(String(json)) as Record<string, object[]>;
    expect([findings?.length, differences?.length]).toEqual([1, 3]);
    expect(findings?.[0]).toMatchObject({ location: 'tenants["acme co"].api-keys[1]' });
    const same = await checkRecord({ ...record, version: '0000000d' }, '--in-force', inForce);
    expect(same).toEqual([ExitCode.Ok]);
    expect(await checkRecord(record, '--in-force', inForce)).toEqual([
      ExitCode.Refused,
      'version: error: nodes ignore it, because version 12 is in force; set a higher version',
    ]);
  });

  // Guards against a pipeline that takes a file which could not be read for one without findings.
  it('should exit with 2 where an input cannot be read, without quoting it', async () => {
    const file = await write('good.json', JSON.stringify(record));
    const cut = await write('cut.json', '{"tenants": {"acme": {"api-keys": ["secret-1"');
    const runs = [
      await check(path.join(folder, 'absent.json')),
      await check(cut),
      await check(file, '--in-force', cut),
      await check(file, '--in-force', await write('empty.json', '{}')),
      await check(file, '--format', './absent.js'),
      await check(file, '--format', 'zod'),
    ];
    expect(runs.map(({ code }) => code)).toEqual(runs.map(() => ExitCode.Usage));
    expect(runs.every(({ console }) => console.noted.length > 0)).toBe(true);
    expect(JSON.stringify(runs)).not.toContain('secret');
  });
});
