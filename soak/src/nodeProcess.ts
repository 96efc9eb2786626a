/** Runs one process of the node program, watches its memory and tells how it ended. */
import { once } from 'node:events';
import type { WriteStream } from 'node:fs';
import { readFile } from 'node:fs/promises';
import type { Clock } from 'lentillb/sidecar';
import { runInBackground } from 'lentillb/sidecar';
import { spawnChildProcess } from './childProcesses.js';
import type { ChildProcess } from './childProcesses.js';
import { processorTimeMs } from './nodeProgram.js';
import type { NodeProgram } from './nodeProgram.js';

const MEMORY_CHECK_INTERVAL_MS = 200;
const PEAK_MEMORY = /^VmHWM:\s+(?<kilobytes>\d+) kB$/mu;
const KILOBYTES_PER_MEGABYTE = 1_024;
/** The length of the end of the output that is reported, in characters. */
const TAIL_LENGTH = 400;

export interface NodeProcessOptions {
  readonly program: NodeProgram;
  /** The modules to load before the program. */
  readonly hooks: readonly string[];
  readonly settingsFile: string;
  /** Receives the output. */
  readonly log: WriteStream;
  /** The resident memory over which the process is killed, in megabytes. */
  readonly memoryLimitMb: number;
}

/** A process of the node program. */
export class NodeProcess {
  /** Whether the soak test has caused the end of the process. */
  isEndExpected = false;

  isFrozen = false;

  /** The number of times that the process was suspended. */
  suspensions = 0;

  /** Whether the soak test has killed the process. */
  isKilled = false;

  /** The highest resident memory so far, in megabytes. */
  peakMemoryMb = 0;

  private hasLogged = false;

  /** Whether it was told that its settings file changed before it could run any code. */
  private hasEarlyReload = false;

  private tail = '';

  private endedAtMs = Infinity;

  private readonly startedAtMs: number;

  private readonly child: ChildProcess;

  /**
   * @param clock - measures the life of the process
   * @param options - how it is started, and the limit of its memory
   * @param onExit - called when it has ended
   */
  constructor(
    private readonly clock: Clock,
    private readonly options: NodeProcessOptions,
    onExit: () => void,
  ) {
    const { hooks, log, program, settingsFile } = options;
    const hookArgs = hooks.flatMap((hook) => ['--import', hook]);
    this.startedAtMs = clock.monotonicMs();
    this.child = spawnChildProcess([...program.args, ...hookArgs, program.file], {
      ...process.env,
      LENTILLB_SETTINGS: settingsFile,
    });
    const { child } = this;
    child.stdout.once('data', () => {
      this.hasLogged = true;
    });
    [child.stdout, child.stderr].forEach((output) => {
      output.pipe(log, { end: false });
      output.on('data', (chunk: Buffer) => {
        this.tail = `${this.tail}${chunk.toString('utf8')}`.slice(-TAIL_LENGTH);
      });
    });
    child.once('exit', () => {
      this.endedAtMs = clock.monotonicMs();
      onExit();
    });
    runInBackground(this.watchMemory());
  }

  get isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** Whether it runs for so long that the program must have begun to run. */
  get canRunCode(): boolean {
    return processorTimeMs(this.child.pid ?? 0) >= this.options.program.bareStartMs;
  }

  /** Whether it was killed for its memory. */
  get isOverMemoryLimit(): boolean {
    return this.peakMemoryMb > this.options.memoryLimitMb;
  }

  /** Whether a signal ended it before it could run any code, which no program can avoid. */
  get isEndedBeforeCode(): boolean {
    const { signalCode } = this.child;
    const isStopped = signalCode === 'SIGTERM' && !this.hasLogged;
    return isStopped || (signalCode === 'SIGHUP' && this.hasEarlyReload);
  }

  /** @param signal - the signal to send */
  signal(signal: NodeJS.Signals): void {
    if (signal === 'SIGHUP') {
      this.hasEarlyReload ||= !this.canRunCode;
    }
    this.child.kill(signal);
  }

  /** @param frozen - whether to suspend the process or to resume it */
  freeze(frozen: boolean): void {
    this.isFrozen = frozen;
    this.suspensions += frozen ? 1 : 0;
    this.signal(frozen ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Kills the process and waits until it has exited. */
  async kill(): Promise<void> {
    this.isKilled = true;
    await this.end('SIGKILL', Infinity);
  }

  /**
   * Ends the process.
   *
   * @param signal - the signal to send
   * @param timeoutMs - the maximum time to wait for the end, in milliseconds
   * @returns the exit code, if there was one in time; 0 if the process had ended before
   */
  async end(signal: NodeJS.Signals, timeoutMs: number): Promise<number | undefined> {
    if (!this.isRunning) {
      return 0;
    }
    this.isEndExpected = true;
    const exit = once(this.child, 'exit').then(([code]) => code as number | null);
    this.signal(signal);
    if (!Number.isFinite(timeoutMs)) {
      return (await exit) ?? undefined;
    }
    const timeout = this.clock.sleep(timeoutMs).then(() => undefined);
    return (await Promise.race([exit, timeout])) ?? undefined;
  }

  /** @returns how the process ended, its memory, and the end of its output */
  describeEnd(): string {
    const { child, endedAtMs, peakMemoryMb, startedAtMs, tail } = this;
    const cause = String(child.exitCode ?? child.signalCode);
    const lifeMs = Math.round(endedAtMs - startedAtMs);
    return `${cause} after ${lifeMs} ms, ${peakMemoryMb} MB at most; its output ends: ${tail}`;
  }

  /** The kernel keeps the highest value, so a peak between two checks counts as well. */
  private async watchMemory(): Promise<void> {
    while (this.isRunning) {
      const status = await readFile(`/proc/${this.child.pid}/status`, 'utf8').catch(() => '');
      const kilobytes = Number(PEAK_MEMORY.exec(status)?.groups?.kilobytes ?? 0);
      const megabytes = Math.round(kilobytes / KILOBYTES_PER_MEGABYTE);
      this.peakMemoryMb = Math.max(this.peakMemoryMb, megabytes);
      if (this.isOverMemoryLimit) {
        this.isKilled = true;
        this.child.kill('SIGKILL');
      }
      await this.clock.sleep(MEMORY_CHECK_INTERVAL_MS);
    }
  }
}
