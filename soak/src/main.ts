/** `npm run soak`: plays seeds against real processes and says which promises were not kept. */
import { execFile } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { promisify } from 'node:util';
import { Command, InvalidArgumentError } from 'commander';
import { SystemClock } from 'lentillb/sidecar';
import { SoakRun } from './soakRun.js';
import type { SoakResult } from './soakRun.js';

interface Options {
  readonly seeds: number;
  readonly first: number;
  readonly hosts: number;
  readonly jobs: number;
}

/** The least second number of an IP number on loopback that runs use. */
const FIRST_NETWORK = 32;

function wholeNumber(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) {
    throw new InvalidArgumentError('expected a whole number from 1 on');
  }
  return value;
}

function describeResult({ answered, faults, findings, requests, seed }: SoakResult): string {
  const counts = `${answered} of ${requests} requests answered, ${faults.length} faults`;
  return `seed ${seed}: ${counts}, ${findings.length} findings`;
}

function describeFindings({ faults, findings }: SoakResult, folder: string): readonly string[] {
  if (findings.length === 0) {
    return [];
  }
  const played = faults.map(
    ({ atMs, forMs, host, name }) => `  at ${atMs} ms for ${forMs} ms, host ${host}: ${name}`,
  );
  const broken = findings.map(({ detail, promise }) => `  not kept: ${promise}: ${detail}`);
  return [...played, ...broken.slice(0, 20), `  logs: ${folder}`];
}

async function playSeed(program: string, folder: string, options: Options, index: number) {
  const seed = options.first + index;
  const result = await new SoakRun(new SystemClock(), {
    seed,
    hostCount: options.hosts,
    program,
    folder,
    network: FIRST_NETWORK + (index % options.jobs),
  }).play();
  process.stdout.write(`${describeResult(result)}\n`);
  describeFindings(result, folder).forEach((line) => process.stdout.write(`${line}\n`));
  if (result.findings.length === 0) {
    await rm(folder, { recursive: true });
  }
  return result.findings.length;
}

async function play(options: Options): Promise<void> {
  const folder = await mkdtemp(path.join(tmpdir(), 'lentillb-soak-'));
  const program = path.join(folder, 'lentillb.cjs');
  await promisify(execFile)(process.execPath, ['deploy/build.js', program]);
  let findings = 0;
  const work = async (first: number): Promise<void> => {
    for (let index = first; index < options.seeds; index += options.jobs) {
      const runFolder = path.join(folder, `seed-${options.first + index}`);
      const found = await playSeed(program, runFolder, options, index);
      findings += found;
    }
  };
  await Promise.all(Array.from({ length: options.jobs }, (_, job) => work(job)));
  process.stdout.write(`${options.seeds} seeds played, ${findings} findings\n`);
  process.exitCode = findings === 0 ? 0 : 1;
  if (findings === 0) {
    await rm(folder, { recursive: true });
  }
}

await new Command('soak')
  .description('plays seeds against real processes; prints promises that were not kept')
  .option('--seeds <n>', 'how many seeds', wholeNumber, 1)
  .option('--first <seed>', 'the first seed; the others follow', wholeNumber, 1)
  .option('--hosts <n>', 'hosts of a run, each with a process', wholeNumber, 6)
  .option('--jobs <n>', 'runs side by side', wholeNumber, 2)
  .action((options: Options) => play(options))
  .parseAsync();
