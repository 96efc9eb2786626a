import { spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { LogServer, MemoryLog } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { PlatformProcess } from '../support/platformProcess.js';

const PROGRAM = 'packages/node/bin/lentillb-node.js';

/** Sends a signal in the middle of a start, and says when the process listens. */
const SIGNAL_HOOK = `
const { Server } = require('node:net');
const { listen } = Server.prototype;
Server.prototype.listen = function listenAfterSignal(...args) {
  process.kill(process.pid, process.env.SENT_SIGNAL);
  this.once('listening', () => console.log('{"event":"listening"}'));
  return listen.apply(this, args);
};
`;

const FAILURE_HOOK = `process.on('SIGUSR2', () => { throw new Error('provoked'); });`;

const clock = new SystemClock();

let folder: string;
let logServer: LogServer;
let daemon: PlatformProcess;

async function startDaemon(
  hook: string,
  variables: Readonly<Record<string, string>> = {},
): Promise<PlatformProcess> {
  const file = path.join(folder, 'hook.cjs');
  await writeFile(file, hook);
  const ports = ['CALL', 'GATE', 'PEER', 'ADMIN', 'LOCAL'].map((name) => [
    `LENTILLB_${name}_PORT`,
    '0',
  ]);
  const env = {
    PATH: process.env.PATH,
    LENTILLB_HOST: 'h1',
    LENTILLB_ZONE: 'a',
    LENTILLB_LOG_URL: logServer.url,
    ...Object.fromEntries(ports),
    ...variables,
  };
  daemon = new PlatformProcess(spawn(process.execPath, ['--require', file, PROGRAM], { env }));
  return daemon;
}

beforeAll(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'lentillb-'));
});

beforeEach(async () => {
  const log = new MemoryLog({ clock, retentionMs: 3_600_000, appendsPerSecond: 100 });
  logServer = new LogServer(log, clock);
  await logServer.listen();
});

afterEach(async () => {
  daemon.signal('SIGKILL');
  await logServer.close();
});

afterAll(() => rm(folder, { recursive: true }));

describe('daemon', () => {
  it('should not end when SIGHUP comes during its start', async () => {
    const started = await startDaemon(SIGNAL_HOOK, { SENT_SIGNAL: 'SIGHUP' });
    await started.logged('listening');
  });

  it('should end with code 0 when SIGTERM comes during its start', async () => {
    const started = await startDaemon(SIGNAL_HOOK, { SENT_SIGNAL: 'SIGTERM' });
    expect(await started.ended).toEqual({ code: 0, signal: null });
  });

  it('should end with code 0 after a planned stop, without a cause', async () => {
    const started = await startDaemon('');
    await started.saying('node is running');
    started.signal('SIGTERM');
    expect(await started.ended).toEqual({ code: 0, signal: null });
    expect(started.lines.at(-1)).toMatchObject({ msg: 'stopped' });
  });

  it('should name the cause in a last line after an uncaught exception', async () => {
    const started = await startDaemon(FAILURE_HOOK);
    await started.saying('node is running');
    started.signal('SIGUSR2');
    expect(await started.ended).toEqual({ code: 70, signal: null });
    expect(started.lines.at(-1)).toMatchObject({
      event: 'ended',
      cause: 'uncaught-error',
      host: 'h1',
    });
  });
});
