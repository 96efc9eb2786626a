/** `lentillb experiment`: plays a scenario on an emulated fleet and prints what callers get. */
import { readFile } from 'node:fs/promises';
import { Option } from 'commander';
import type { ResultCounts, Scenario } from 'lentillb';
import { checkScenario, EmulatedFleet } from 'lentillb';
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import { z } from 'zod';
import { defineCommand } from '../command.js';
import { ExitCode } from '../exitCode.js';

/** A row of the table: a group of requests, and what their callers got in one run. */
interface ExperimentRow extends ResultCounts {
  readonly seed: number;
  readonly group: string;
}

const MAX_SEEDS = 1_000;
const COLUMNS = ['seed', 'group', 'asked', 'in-time', 'late', 'refused', 'failed'] as const;
const COLUMN_WIDTH = 10;
const GROUP_WIDTH = 28;

async function readScenario(file: string): Promise<Result<Scenario, string>> {
  try {
    const checked = checkScenario(JSON.parse(await readFile(file, 'utf8')));
    return checked.mapErr((message) => `${file}: ${message}`);
  } catch (error) {
    return Err(`cannot read the scenario ${file}: ${(error as Error).message}`);
  }
}

async function play(
  scenario: Scenario,
  seed: number,
  sharesLoad: boolean,
): Promise<readonly ExperimentRow[]> {
  const fleet = new EmulatedFleet(scenario, { seed, sharesLoad });
  await fleet.run();
  return [...fleet.byKind.groups, ...fleet.byZone.groups].map(([group, counts]) => ({
    seed,
    group,
    ...counts,
  }));
}

function formatRow(cells: readonly (string | number)[]): string {
  return cells
    .map((cell, index) => `${cell}`.padEnd(COLUMNS[index] === 'group' ? GROUP_WIDTH : COLUMN_WIDTH))
    .join('')
    .trimEnd();
}

export const experiment = defineCommand({
  usage: 'experiment <file>',
  description: 'play a scenario on an emulated fleet; print what callers get',
  options: [
    new Option('--seeds <n>', 'how many runs, with the seeds 1 to n').default(1),
    new Option('--no-shared-load', 'gates do not report their load to each other'),
    new Option('--json', 'print one JSON object'),
  ],
  schema: z.object({
    seeds: z.coerce.number({ error: 'expected a number of runs' }).int().min(1).max(MAX_SEEDS),
    sharedLoad: z.boolean().default(true),
    json: z.boolean().default(false),
  }),
  examples: [
    'lentillb experiment examples/experiments/uneven-speeds.json --seeds 3',
    'lentillb experiment examples/experiments/uneven-speeds.json --no-shared-load --json',
  ],
  run: async ([file = ''], { json, seeds, sharedLoad }, console) => {
    const scenario = await readScenario(file);
    if (scenario.isErr()) {
      console.note(scenario.error);
      return ExitCode.Usage;
    }
    const rows: ExperimentRow[] = [];
    for (let seed = 1; seed <= seeds; seed += 1) {
      rows.push(...(await play(scenario.value, seed, sharedLoad)));
    }
    if (json) {
      console.print(JSON.stringify({ file, sharedLoad, rows }));
    } else {
      console.print(formatRow(COLUMNS));
      rows.forEach((row) => console.print(formatRow(COLUMNS.map((column) => row[column]))));
    }
    return ExitCode.Ok;
  },
});
