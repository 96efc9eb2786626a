import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { SeededRandomness, SystemClock } from 'lentillb';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { SoakHost } from '../../soak/dist/soakHost.js';
import { SoakRecord } from '../../soak/dist/soakRecord.js';

/** A program that runs until it is killed, in place of the node. */
const IDLE_PROGRAM = `
  process.stdout.write('started');
  process.on('SIGTERM', () => undefined);
  setInterval(() => undefined, 1_000);`;
/** The time that the program gets to start, in milliseconds. */
const START_MS = 500;

const clock = new SystemClock();

let folder: string;
let host: SoakHost;
let record: SoakRecord;

beforeEach(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'lentillb-soak-host-'));
  const program = path.join(folder, 'idle.cjs');
  await writeFile(program, IDLE_PROGRAM);
  record = new SoakRecord();
  host = new SoakHost(
    { clock, randomness: new SeededRandomness(1), record },
    {
      index: 0,
      ip: '127.61.0.1',
      zone: 'zone-0',
      service: 'letters',
      storeAddress: '127.0.0.1:1',
      program,
      folder,
      hasGateRelay: false,
      hasSlowSends: false,
    },
  );
});

afterEach(async () => {
  await host.close();
  await rm(folder, { recursive: true });
});

function listeningCount(): number {
  // eslint-disable-next-line n/no-unsupported-features/node-builtins -- experimental, and there since Node.js 17
  return process.getActiveResourcesInfo().filter((name) => name === 'TCPServerWrap').length;
}

it('should leave no backend server listening when replacements overlap', async () => {
  const listeningBefore = listeningCount();
  await host.start();
  const release = host.releaseBackendServer();
  await clock.sleep(100);
  await host.replaceBackendServer();
  await release;
  await host.close();
  await clock.sleep(100);
  expect(listeningCount()).toBe(listeningBefore);
});

it('should report a planned stop that does not end in time', async () => {
  await host.start();
  await clock.sleep(START_MS);
  await host.stopNode();
  expect(record.unexpectedExits).toHaveLength(1);
});

it('should not report a planned stop whose process was killed by an overlapping fault', async () => {
  await host.start();
  await clock.sleep(START_MS);
  await Promise.all([host.stopNode(), host.killNode()]);
  expect(record.unexpectedExits).toEqual([]);
});

it('should not report a planned stop of a process that has not run any code yet', async () => {
  await host.start();
  await host.stopNode();
  expect(record.unexpectedExits).toEqual([]);
});
