/** The processes that the soak started and that still run; none outlives the soak. */
import { spawn } from 'node:child_process';
import type { ChildProcessByStdio, SpawnOptions } from 'node:child_process';
import type { Readable } from 'node:stream';

/** A process whose output is read. */
export type OwnProcess = ChildProcessByStdio<null, Readable, Readable>;

const running = new Set<OwnProcess>();

process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));
(['SIGINT', 'SIGTERM'] as const).forEach((signal) => {
  process.once(signal, () => {
    // eslint-disable-next-line n/no-process-exit -- the answer to a signal, with the exit handler run
    process.exit(1);
  });
});

/**
 * Starts a program of Node.js that ends no later than the soak.
 *
 * @param args - the arguments of the runtime
 * @param env - its variables
 * @returns the process
 */
export function startOwnProcess(args: readonly string[], env: SpawnOptions['env']): OwnProcess {
  const child = spawn(process.execPath, args, { env, stdio: ['ignore', 'pipe', 'pipe'] });
  running.add(child);
  child.once('exit', () => running.delete(child));
  return child;
}
