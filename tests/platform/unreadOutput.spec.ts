import { afterAll, afterEach, beforeAll, describe, expect, it } from 'vitest';
import { openFullPipe } from '../support/fullPipe.js';
import { createPlatformSettings, PlatformProgram } from '../support/platformProgram.js';

/** Longer than a planned stop may take. */
const STOP_TIMEOUT_MS = 6_000;

let program: PlatformProgram;

beforeAll(async () => {
  program = await PlatformProgram.build();
});

afterEach(() => program.killAll());

afterAll(() => program.remove());

describe('program whose output nobody reads', () => {
  it.each([
    ['standard output', (pipe: number) => ['ignore', pipe, 'pipe'] as const],
    ['any output', (pipe: number) => ['ignore', pipe, pipe] as const],
  ])('should end after a planned stop: %s', async (_, stdioOf) => {
    const pipe = openFullPipe(await program.createPipe('full.pipe'));
    const hook = await program.write(
      'stop.cjs',
      `setTimeout(() => process.kill(process.pid, 'SIGTERM'), 1_000);`,
    );
    const file = await program.write('node.json', JSON.stringify(await createPlatformSettings()));
    const started = program.start(file, {
      nodeOptions: ['--require', hook],
      stdio: [...stdioOf(pipe.descriptor)],
    });
    const timer = setTimeout(() => started.signal('SIGKILL'), 1_000 + 2 * STOP_TIMEOUT_MS);
    expect(await started.ended).toEqual({ code: 0, signal: null });
    clearTimeout(timer);
    pipe.close();
  });
});
