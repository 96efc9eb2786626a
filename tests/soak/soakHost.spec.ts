import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { SeededRandomness, SystemClock } from 'lentillb';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { SoakHost } from '../../soak/dist/soakHost.js';
import { SoakRecord } from '../../soak/dist/soakRecord.js';

/** A program that runs until it is killed, in place of the node. */
const IDLE_PROGRAM = 'setInterval(() => undefined, 1_000);';

let folder: string;

beforeEach(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'lentillb-soak-host-'));
});

afterEach(() => rm(folder, { recursive: true }));

function listeningCount(): number {
  // eslint-disable-next-line n/no-unsupported-features/node-builtins -- experimental, and there since Node.js 17
  return process.getActiveResourcesInfo().filter((name) => name === 'TCPServerWrap').length;
}

it('should leave no backend server listening when replacements overlap', async () => {
  const program = path.join(folder, 'idle.cjs');
  await writeFile(program, IDLE_PROGRAM);
  const clock = new SystemClock();
  const listeningBefore = listeningCount();
  const host = new SoakHost(
    { clock, randomness: new SeededRandomness(1), record: new SoakRecord() },
    {
      index: 0,
      ip: '127.61.0.1',
      zone: 'zone-0',
      service: 'letters',
      storeAddress: '127.0.0.1:1',
      program,
      folder,
      hasGateRelay: false,
    },
  );
  await host.start();
  const release = host.releaseBackendServer();
  await clock.sleep(100);
  await host.replaceBackendServer();
  await release;
  await host.close();
  await clock.sleep(100);
  expect(listeningCount()).toBe(listeningBefore);
});
