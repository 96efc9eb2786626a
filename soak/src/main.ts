/** Implements `npm run soak`, which plays seeds against real processes and prints violations. */
import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { promisify } from 'node:util';
import { Command, InvalidArgumentError, Option } from 'commander';
import { SystemClock } from 'lentillb/sidecar';
import { prepareNodeProgram } from './nodeProgram.js';
import type { NodeProgram } from './nodeProgram.js';
import { profiles } from './profiles.js';
import { SoakRun } from './soakRun.js';
import type { SoakResult } from './soakRun.js';

interface Options {
  readonly seeds: number;
  readonly first: number;
  /** The seeds to play in place of a sequence. */
  readonly seed?: readonly number[];
  readonly profile: keyof typeof profiles;
  /** The number of hosts in place of that of the profile. */
  readonly hosts?: number;
  readonly jobs: number;
  /** The built program to play in place of the present one. */
  readonly program?: string;
}

/** The second octet of the loopback addresses of the first job; each further job adds one. */
const FIRST_LOOPBACK_OCTET = 32;

function parsePositiveInteger(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    throw new InvalidArgumentError('expected an integer of at least 1');
  }
  return value;
}

function parseSeeds(text: string, previous: readonly number[] = []): readonly number[] {
  return [...previous, parsePositiveInteger(text)];
}

function seedsOf({ first, seed, seeds }: Options): readonly number[] {
  return seed ?? Array.from({ length: seeds }, (_, index) => first + index);
}

function describeResult(result: SoakResult, folder: string): readonly string[] {
  const { answered, faults, findings, peakMemoryMb, requests, seed, starts } = result;
  const counts = `${answered} of ${requests} requests answered, ${faults.length} faults`;
  const processes = `${peakMemoryMb} MB at most, starts ${starts.join(' ')}`;
  const summary = `seed ${seed}: ${counts}, ${processes}, ${findings.length} findings`;
  if (findings.length === 0) {
    return [summary];
  }
  return [
    summary,
    ...faults.map(
      ({ atMs, durationMs, host, name }) =>
        `  at ${atMs} ms for ${durationMs} ms, host ${host}: ${name}`,
    ),
    ...result.observerDelays
      .map(({ fromMs, untilMs }) => {
        const blockedMs = Math.round(untilMs - fromMs);
        return `  soak test blocked for ${blockedMs} ms at ${Math.round(fromMs)}`;
      })
      .slice(-20),
    ...findings.map(({ detail, invariant }) => `  violated: ${invariant}: ${detail}`).slice(0, 20),
    `  logs: ${folder}`,
  ];
}

async function playSeed(
  seed: number,
  program: NodeProgram,
  folder: string,
  options: Options,
  loopbackOctet: number,
): Promise<number> {
  const profile = profiles[options.profile];
  const result = await new SoakRun(new SystemClock(), {
    seed,
    profile: { ...profile, hosts: options.hosts ?? profile.hosts },
    program,
    folder,
    loopbackOctet,
  }).run();
  process.stdout.write(`${describeResult(result, folder).join('\n')}\n`);
  if (result.findings.length === 0) {
    await rm(folder, { recursive: true });
  }
  return result.findings.length;
}

async function playSeeds(options: Options): Promise<void> {
  const folder = await mkdtemp(path.join(tmpdir(), 'lentillb-soak-'));
  const built = path.join(folder, 'lentillb.cjs');
  if (options.program === undefined) {
    await promisify(execFile)(process.execPath, ['deploy/build.js', built]);
  }
  const program = await prepareNodeProgram(options.program ?? built);
  const seeds = seedsOf(options);
  let findings = 0;
  const runWorker = async (worker: number): Promise<void> => {
    for (let index = worker; index < seeds.length; index += options.jobs) {
      const seed = seeds[index] ?? options.first;
      const runFolder = path.join(folder, `seed-${seed}`);
      const loopbackOctet = FIRST_LOOPBACK_OCTET + worker;
      const seedFindings = await playSeed(seed, program, runFolder, options, loopbackOctet);
      findings += seedFindings;
    }
  };
  await Promise.all(Array.from({ length: options.jobs }, (_, worker) => runWorker(worker)));
  process.stdout.write(`${seeds.length} seeds played, ${findings} findings\n`);
  if (findings === 0) {
    await rm(folder, { recursive: true });
  }
  // A connection that a seed has left open must not delay the exit.
  // eslint-disable-next-line n/no-process-exit -- all seeds are played
  process.exit(findings === 0 ? 0 : 1);
}

await new Command('soak')
  .description('plays seeds against real processes and prints violated invariants')
  .option('--seeds <n>', 'number of seeds to play', parsePositiveInteger, 1)
  .option('--first <seed>', 'first seed; the others follow in sequence', parsePositiveInteger, 1)
  .option('--seed <seed...>', 'seeds to play in place of a sequence', parseSeeds)
  .addOption(
    new Option('--profile <name>', 'deployment to play')
      .choices(Object.keys(profiles))
      .default('standard'),
  )
  .option('--hosts <n>', 'number of hosts in place of that of the profile', parsePositiveInteger)
  .option('--program <file>', 'built program to play in place of the present one')
  .option('--jobs <n>', 'number of seeds played in parallel', parsePositiveInteger, 2)
  .action((options: Options) => playSeeds(options))
  .parseAsync();
