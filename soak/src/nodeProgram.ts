/** Finds how the node program is started, and measures how long Node.js itself takes to start. */
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { spawnChildProcess } from './childProcesses.js';

const DEPLOY_FILE = 'deploy/system.toml';
/** The arguments of Node.js stand between its name and that of the program. */
const RUN_LINE = /^run = "node (?<args>.*) \S+"$/mu;
/** A program that writes as soon as Node.js runs it. */
const BARE_PROGRAM = 'process.stdout.write("started"); setTimeout(() => undefined, 10_000)';
/** The variation of the time that Node.js takes to start. */
const BARE_START_FACTOR = 1.3;
const NANOSECONDS_PER_MS = 1e6;

/** A built program, and how to start it. */
export interface NodeProgram {
  /** The path of the built program. */
  readonly file: string;
  /** The arguments of Node.js. */
  readonly args: readonly string[];
  /** The processor time within which no program can run any code of its own, in milliseconds. */
  readonly bareStartMs: number;
}

/**
 * @param pid - the identity of a running process
 * @returns the processor time that its first thread has taken, in milliseconds; 0 if unknown
 */
export function processorTimeMs(pid: number): number {
  try {
    return Number.parseInt(readFileSync(`/proc/${pid}/schedstat`, 'utf8'), 10) / NANOSECONDS_PER_MS;
  } catch {
    return 0;
  }
}

/**
 * @param file - the path of the built program
 * @returns the program with the arguments of the deploy file
 */
export async function prepareNodeProgram(file: string): Promise<NodeProgram> {
  const line = RUN_LINE.exec(await readFile(DEPLOY_FILE, 'utf8'));
  const args = line?.groups?.args?.split(' ');
  if (args === undefined) {
    throw new Error(`${DEPLOY_FILE} has no run line that starts "node"; correct it`);
  }
  const child = spawnChildProcess([...args, '--eval', BARE_PROGRAM], process.env);
  await once(child.stdout, 'data');
  const bareStartMs = processorTimeMs(child.pid ?? 0) * BARE_START_FACTOR;
  child.kill('SIGKILL');
  return { file, args, bareStartMs };
}
