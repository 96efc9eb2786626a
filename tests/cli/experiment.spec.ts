import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { ExitCode, runProgram } from '@lentillb/cli';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { RecordingConsole } from '../support/recordingConsole.js';

const EXAMPLE = 'examples/experiments/burst-and-slow-servers.json';

let folder: string;
let console: RecordingConsole;

async function writeScenario(change: (scenario: Record<string, unknown>) => void): Promise<string> {
  const scenario = JSON.parse(await readFile(EXAMPLE, 'utf8')) as Record<string, unknown>;
  change(scenario);
  const file = path.join(folder, 'scenario.json');
  await writeFile(file, JSON.stringify(scenario));
  return file;
}

beforeEach(async () => {
  folder = await mkdtemp(path.join(tmpdir(), 'lentillb-experiment-'));
  console = new RecordingConsole();
});

afterEach(() => rm(folder, { recursive: true }));

describe('lentillb experiment', () => {
  it('should print what callers of each kind and zone get', async () => {
    const file = await writeScenario((scenario) => {
      Object.assign(scenario, { durationMs: 5_000, warmUpMs: 1_000, disturbances: [] });
    });
    expect(await runProgram(['experiment', file, '--json'], console)).toBe(ExitCode.Ok);
    const { rows } = console.json as { rows: Record<string, number | string>[] };
    expect(rows.map(({ group }) => group).sort()).toEqual(['browse', 'record', 'submit', 'z0']);
    rows.forEach(({ asked, failed, late, refused, 'in-time': inTime }) => {
      expect(Number(inTime) + Number(late) + Number(refused) + Number(failed)).toBe(asked);
      expect(Number(asked)).toBeGreaterThan(50);
    });
  });

  it.each([
    ['a missing field', { zones: undefined }, 'zones'],
    ['an unknown service', { services: {} }, 'unknown service "reading-room"'],
    ['an unknown field', { zoens: 2 }, 'zoens'],
  ])('should reject a scenario with %s and name it', async (_, change, message) => {
    const file = await writeScenario((scenario) => Object.assign(scenario, change));
    expect(await runProgram(['experiment', file], console)).toBe(ExitCode.Usage);
    expect(console.noted.join('\n')).toContain(message);
  });

  it('should say which file it cannot read', async () => {
    expect(await runProgram(['experiment', 'none.json'], console)).toBe(ExitCode.Usage);
    expect(console.noted.join('\n')).toContain('none.json');
  });
});
