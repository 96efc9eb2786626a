import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { SeededRandomness, SystemClock } from 'lentillb';
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { SoakHost } from '../../soak/dist/soakHost.js';
import { SoakRecord } from '../../soak/dist/soakRecord.js';

/** A program that runs until it is killed, in place of the node. */
const IDLE_PROGRAM = `
  process.stdout.write('started');
  process.on('SIGTERM', () => undefined);
  setInterval(() => undefined, 1_000);`;
/** Programs that end by themselves, and that take much memory. */
const ENDING_PROGRAM = `
  process.stdout.write('last line');
  process.exitCode = 3;`;
const LARGE_PROGRAM = `${IDLE_PROGRAM}
  globalThis.kept = Buffer.alloc(300_000_000, 'x');`;
/** The time that the program gets to start, in milliseconds. */
const START_MS = 500;
const MEMORY_LIMIT_MB = 200;
const CONDITION_TIMEOUT_MS = 10_000;

const clock = new SystemClock();

let folder: string;
let host: SoakHost;
let record: SoakRecord;

function createHost(file: string, bareStartMs = Infinity): SoakHost {
  return new SoakHost(
    { clock, randomness: new SeededRandomness(1), record },
    {
      index: 0,
      ip: '127.61.0.1',
      zone: 'zone-0',
      service: 'letters',
      slots: 8,
      storeAddress: '127.0.0.1:1',
      program: { file, args: [], bareStartMs },
      memoryLimitMb: MEMORY_LIMIT_MB,
      folder,
      hasGateRelay: false,
      hasSlowSends: false,
    },
  );
}

async function startHost(program: string, bareStartMs?: number): Promise<void> {
  const file = path.join(folder, 'program.cjs');
  await writeFile(file, program);
  host = createHost(file, bareStartMs);
  await host.start();
}

beforeEach(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'lentillb-soak-host-'));
  record = new SoakRecord();
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
  await startHost(IDLE_PROGRAM);
  const release = host.backendServer.release();
  await clock.sleep(100);
  await host.backendServer.replace();
  await release;
  await host.close();
  await clock.sleep(100);
  expect(listeningCount()).toBe(listeningBefore);
});

it('should report a planned stop that does not end in time', async () => {
  await startHost(IDLE_PROGRAM);
  await clock.sleep(START_MS);
  await host.stopNode();
  expect(record.unexpectedExits).toHaveLength(1);
});

it('should not report a planned stop whose process was killed by an overlapping fault', async () => {
  await startHost(IDLE_PROGRAM);
  await clock.sleep(START_MS);
  await Promise.all([host.stopNode(), host.killNode()]);
  expect(record.unexpectedExits).toEqual([]);
});

it('should not report a planned stop of a process that has not run any code yet', async () => {
  await startHost(IDLE_PROGRAM);
  await host.stopNode();
  expect(record.unexpectedExits).toEqual([]);
});

it('should report a process that ended by itself with its last output, and start another one', async () => {
  await startHost(ENDING_PROGRAM);
  await vi.waitFor(() => expect(host.processNumber).toBeGreaterThan(1), CONDITION_TIMEOUT_MS);
  expect(record.unexpectedExits[0]?.detail).toMatch(/process 1 .* ended with 3 .*last line/u);
});

it('should kill and report a process that takes more memory than its limit', async () => {
  await startHost(LARGE_PROGRAM);
  await vi.waitFor(() => expect(record.memoryExcesses).not.toEqual([]), CONDITION_TIMEOUT_MS);
  expect(record.peakMemoryMb).toBeGreaterThan(MEMORY_LIMIT_MB);
  expect(record.unexpectedExits).toEqual([]);
});

it.each([
  { bareStartMs: Infinity, found: 0, when: 'before any code could run' },
  { bareStartMs: 0, found: 1, when: 'after code could run' },
])('should report $found ends by a reload that came $when', async ({ bareStartMs, found }) => {
  await startHost(IDLE_PROGRAM, bareStartMs);
  await clock.sleep(START_MS);
  host.reloadSettings();
  await vi.waitFor(() => expect(host.processNumber).toBe(2), CONDITION_TIMEOUT_MS);
  expect(record.unexpectedExits).toHaveLength(found);
});
