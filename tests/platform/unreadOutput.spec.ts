import { existsSync } from 'node:fs';
import { readFile } from 'node:fs/promises';
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

/** Counts the synchronous writes to the standard descriptors, and stops the program after a while. */
const COUNTING = `
  const fs = require('node:fs');
  const { writeSync } = fs;
  let attempts = 0;
  fs.writeSync = (descriptor, ...rest) => {
    attempts += descriptor === 1 || descriptor === 2 ? 1 : 0;
    return writeSync(descriptor, ...rest);
  };
  setTimeout(() => {
    fs.writeFileSync(process.env.LENTILLB_SETTINGS + '.attempts', String(attempts));
    process.kill(process.pid, 'SIGTERM');
  }, 2_000);
`;

/** Line sources of a program that goes on, with the most attempts to write that they may make. */
const LINE_SOURCES = [
  [
    'unhandled rejections',
    `setTimeout(() => {
      for (let index = 0; index < 3; index += 1) Promise.reject(new Error('provoked'));
    }, 1_000);`,
    0,
    0,
  ],
  [
    'a heap that is nearly full',
    `const full = { heap_size_limit: 100, used_heap_size: 90 };
    require('node:v8').getHeapStatistics = () => full;`,
    1,
    2,
  ],
] as const;

describe('program whose output nobody reads', () => {
  it.each(LINE_SOURCES)(
    'should not hold the event loop to write about %s',
    async (_, source, fewest, most) => {
      const pipe = openFullPipe(await program.createPipe('full.pipe'));
      const hook = await program.write('source.cjs', `${COUNTING}${source}`);
      const file = await program.write('node.json', JSON.stringify(await createPlatformSettings()));
      const started = program.start(file, {
        nodeOptions: ['--require', hook],
        stdio: ['ignore', pipe.descriptor, pipe.descriptor],
      });
      expect(await started.ended).toEqual({ code: 0, signal: null });
      const attempts = Number(await readFile(`${file}.attempts`, 'utf8'));
      expect(attempts).toBeGreaterThanOrEqual(fewest);
      expect(attempts).toBeLessThanOrEqual(most);
      pipe.close();
    },
  );

  it('should not lose the line about a heap that is nearly full', async () => {
    const pipe = openFullPipe(await program.createPipe('full.pipe'));
    const hook = await program.write(
      'source.cjs',
      `${LINE_SOURCES[1][1]}
      setTimeout(() => require('node:fs').writeFileSync(__filename + '.done', ''), 2_000);`,
    );
    const file = await program.write('node.json', JSON.stringify(await createPlatformSettings()));
    program.start(file, {
      nodeOptions: ['--require', hook],
      stdio: ['ignore', pipe.descriptor, pipe.descriptor],
    });
    await expect.poll(() => existsSync(`${hook}.done`), { timeout: 10_000 }).toBe(true);
    let output = '';
    const read = () => {
      output += pipe.drain();
      return output;
    };
    await expect.poll(read, { timeout: 10_000 }).toContain('"event":"heap-nearly-full"');
    pipe.close();
  });

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
