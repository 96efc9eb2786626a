/** Starts child processes and kills those still running when the soak test exits. */
import { spawn } from 'node:child_process';
import type { ChildProcessByStdio, SpawnOptions } from 'node:child_process';
import type { Readable } from 'node:stream';

/** A child process with piped output. */
export type ChildProcess = ChildProcessByStdio<null, Readable, Readable>;

const running = new Set<ChildProcess>();

process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));
(['SIGINT', 'SIGTERM'] as const).forEach((signal) => {
  process.once(signal, () => {
    // eslint-disable-next-line n/no-process-exit -- ends the process on a signal and runs the exit handler
    process.exit(1);
  });
});

/**
 * Starts a Node.js process that is killed when the soak test exits.
 *
 * @param args - the command-line arguments of Node.js
 * @param env - the environment variables
 * @returns the started process
 */
export function spawnChildProcess(args: readonly string[], env: SpawnOptions['env']): ChildProcess {
  const child = spawn(process.execPath, args, { env, stdio: ['ignore', 'pipe', 'pipe'] });
  running.add(child);
  child.once('exit', () => running.delete(child));
  return child;
}
