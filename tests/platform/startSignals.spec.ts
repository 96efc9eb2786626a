import { open } from 'node:fs/promises';
import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { createPlatformSettings, PlatformProgram } from '../support/platformProgram.js';

/** Prints, whenever a module of Node.js is loaded, which signals are handled by then. */
const LOAD_HOOK = `
const Module = require('node:module');
const { writeSync } = require('node:fs');
const load = Module._load;
const signals = ['SIGHUP', 'SIGTERM'];
Module._load = (id, ...rest) => {
  const handled = signals.filter((signal) => process.listenerCount(signal) > 0);
  writeSync(1, JSON.stringify({ event: 'loads', id, handled }) + '\\n');
  return load(id, ...rest);
};
`;

let program: PlatformProgram;

beforeAll(async () => {
  program = await PlatformProgram.build();
});

afterEach(() => program.killAll());

afterAll(() => program.remove());

describe('signals at a start', () => {
  it('should be handled before the program loads what it serves with', async () => {
    const file = await program.write('node.json', JSON.stringify(await createPlatformSettings()));
    const hook = await program.write('hook.cjs', LOAD_HOOK);
    const started = program.start(file, { nodeOptions: ['--require', hook] });
    await started.logged('started');
    const loads = started.lines.filter(({ event }) => event === 'loads');
    expect(loads.find(({ id }) => id === 'node:http')).toMatchObject({
      handled: ['SIGHUP', 'SIGTERM'],
    });
  });

  it('should not end the program when SIGHUP comes while it reads its settings', async () => {
    const pipe = await program.createPipe('settings.pipe');
    const started = program.start(pipe);
    // Opens once the program has opened its end, which it does to read its settings.
    const writer = await open(pipe, 'w');
    started.signal('SIGHUP');
    await writer.writeFile(JSON.stringify(await createPlatformSettings()));
    await writer.close();
    await started.logged('settings-unchanged');
  });

  it.each(['SIGTERM', 'SIGINT'] as const)(
    'should end the program with code 0 and a line when %s comes before it serves',
    async (signal) => {
      const pipe = await program.createPipe('settings.pipe');
      const started = program.start(pipe);
      const writer = await open(pipe, 'w');
      started.signal(signal);
      await writer.writeFile(JSON.stringify(await createPlatformSettings()));
      await writer.close();
      expect(await started.ended).toEqual({ code: 0, signal: null });
      expect(started.lines.at(-1)).toMatchObject({ event: 'ended', cause: 'stopped-at-start' });
    },
  );

  it.each(['SIGUSR1', 'SIGUSR2', 'SIGALRM'] as const)(
    'should not end the program when %s comes, which nobody has agreed on',
    async (signal) => {
      const file = await program.write('node.json', JSON.stringify(await createPlatformSettings()));
      const started = program.start(file);
      await started.logged('started');
      started.signal(signal);
      await started.logged('signal-ignored');
      expect(started.output).not.toContain('Debugger listening');
    },
  );

  it('should end the program at once when SIGTERM comes while the settings are incomplete', async () => {
    const file = await program.write('half.json', '{"self":');
    const started = program.start(file);
    await started.logged('settings-not-read');
    started.signal('SIGTERM');
    expect(await started.ended).toEqual({ code: 0, signal: null });
  });
});
