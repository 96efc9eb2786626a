import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { openFullPipe } from '../support/fullPipe.js';
import { createPlatformSettings, PlatformProgram } from '../support/platformProgram.js';
import type { PlatformProcess } from '../support/platformProcess.js';

/** Exit codes as in docs/OPERATIONS.md. */
const UNCAUGHT_ERROR = 70;
const ADDRESS_UNAVAILABLE = 71;

/** Fails in the program when a signal comes that it does not use itself. */
const FAILURES = {
  'an uncaught exception': `process.on('SIGUSR2', () => { throw new Error('provoked'); });`,
  'a broken invariant in a promise': `process.on('SIGUSR2', () => {
    const error = new Error('provoked');
    error.name = 'InvariantError';
    Promise.reject(error);
  });`,
  'an exception that is no error': `process.on('SIGUSR2', () => { throw 'provoked'; });`,
} as const;

let program: PlatformProgram;

async function startFailing(failure: string): Promise<PlatformProcess> {
  const hook = await program.write('failure.cjs', failure);
  const file = await program.write('node.json', JSON.stringify(await createPlatformSettings()));
  return program.start(file, { nodeOptions: ['--require', hook] });
}

beforeAll(async () => {
  program = await PlatformProgram.build();
});

afterEach(() => program.killAll());

afterAll(() => program.remove());

describe('last line of the program', () => {
  it.each(Object.entries(FAILURES))('should name the cause after %s', async (_, failure) => {
    const started = await startFailing(failure);
    await started.logged('started');
    started.signal('SIGUSR2');
    expect(await started.ended).toEqual({ code: UNCAUGHT_ERROR, signal: null });
    const last = started.lines.at(-1);
    expect(last).toMatchObject({
      name: 'lentillb',
      pid: started.child.pid,
      host: '127.0.0.1',
      zone: 'a',
      level: 60,
      event: 'ended',
      cause: 'uncaught-error',
      exitCode: UNCAUGHT_ERROR,
    });
    expect(last?.message).toContain('provoked');
    expect(new Date(String(last?.time)).getTime()).toBeGreaterThan(0);
    // Nothing but lines of the log: no line of the program's text, which is one long line.
    expect(started.output.split('\n').filter((line) => !/^(\{.*\})?$/.test(line))).toEqual([]);
  });

  it('should name the cause when nothing is left to wait for', async () => {
    const started = await startFailing(
      `process.on('SIGUSR2', () => process.emit('beforeExit', 0));`,
    );
    await started.logged('started');
    started.signal('SIGUSR2');
    expect((await started.ended).code).toBe(UNCAUGHT_ERROR);
    expect(started.lines.at(-1)).toMatchObject({ event: 'ended', cause: 'nothing-to-do' });
  });

  it('should not come after a rejection that breaks no invariant, which is logged', async () => {
    const started = await startFailing(
      `process.on('SIGUSR2', () => Promise.reject(new Error('provoked')));`,
    );
    await started.logged('started');
    started.signal('SIGUSR2');
    await started.logged('unhandled-rejection');
    started.signal('SIGHUP');
    await started.logged('settings-unchanged');
    expect(started.output).toContain('provoked');
  });

  it('should be preceded by a line when the heap fills to its limit', async () => {
    const failure = `
      const kept = [];
      setInterval(() => {
        for (let index = 0; index < 700; index += 1) {
          kept.push({ text: 'x'.repeat(20) + index });
        }
      }, 5);
    `;
    const hook = await program.write('failure.cjs', failure);
    const file = await program.write('node.json', JSON.stringify(await createPlatformSettings()));
    const nodeOptions = ['--max-old-space-size=96', '--max-semi-space-size=2', '--require', hook];
    const started = program.start(file, { nodeOptions });
    expect((await started.ended).code).not.toBe(0);
    expect(started.lines.map(({ event }) => event)).toContain('heap-nearly-full');
    expect(started.output).toContain('JavaScript heap out of memory');
  });

  it('should come with a stack that names functions', async () => {
    const started = await startFailing(
      `process.on('SIGUSR2', function provoke() { throw new Error('provoked'); });`,
    );
    await started.logged('started');
    started.signal('SIGUSR2');
    await started.ended;
    expect(started.lines.at(-1)?.stack).toContain('provoke');
  });

  it('should name an address that the program cannot listen on', async () => {
    const settings = await createPlatformSettings();
    // An address for documentation, which no machine has.
    settings.network['listen-addrs'].inbound = '192.0.2.1:8624';
    settings.terms.bounds.grace = '1ms';
    const started = program.start(await program.write('node.json', JSON.stringify(settings)));
    expect(await started.ended).toEqual({ code: ADDRESS_UNAVAILABLE, signal: null });
    const last = started.lines.at(-1);
    expect(last).toMatchObject({ event: 'ended', cause: 'address-unavailable', zone: 'a' });
    expect(last?.message).toContain('192.0.2.1:8624');
  });

  it('should go to standard error when standard output is closed', async () => {
    const started = await startFailing(FAILURES['an uncaught exception']);
    await started.logged('started');
    started.child.stdout?.destroy();
    started.signal('SIGUSR2');
    expect((await started.ended).code).toBe(UNCAUGHT_ERROR);
    expect(started.lines.at(-1)).toMatchObject({ event: 'ended', cause: 'uncaught-error' });
  });

  it('should come after the lines that wait to be written', async () => {
    const failure = `process.on('SIGUSR2', () => { process.emit('SIGHUP'); throw new Error('provoked'); });`;
    const started = await startFailing(failure);
    await started.logged('started');
    started.signal('SIGUSR2');
    await started.ended;
    const events = started.lines.map(({ event }) => event);
    expect(events.slice(-2)).toEqual(['settings-unchanged', 'ended']);
  });

  it('should go to standard error when nobody reads standard output', async () => {
    const pipe = openFullPipe(await program.createPipe('full.pipe'));
    const hook = await program.write(
      'failure.cjs',
      `setTimeout(() => { throw new Error('provoked'); }, 1_000);`,
    );
    const file = await program.write('node.json', JSON.stringify(await createPlatformSettings()));
    const started = program.start(file, {
      nodeOptions: ['--require', hook],
      stdio: ['ignore', pipe.descriptor, 'pipe'],
    });
    expect((await started.ended).code).toBe(UNCAUGHT_ERROR);
    expect(started.lines.at(-1)).toMatchObject({ event: 'ended', cause: 'uncaught-error' });
    pipe.close();
  });
});
