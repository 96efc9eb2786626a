/** Runs a node as a child process, for the demonstration and for failure tests. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { NodePorts } from '@lentillb/node';

const PROGRAM = fileURLToPath(new URL('../../bin/lentillb.js', import.meta.url));
const START_TIMEOUT_MS = 20_000;

/** The options of a node process. */
export interface NodeProcessOptions {
  readonly host: string;
  readonly zone: string;
  readonly logUrl: string;
  /** Additional command-line flags. */
  readonly flags?: readonly string[];
}

/** A node that runs as a child process. */
export class NodeProcess {
  private constructor(
    readonly host: string,
    readonly ports: NodePorts,
    private readonly child: ChildProcess,
    private readonly exited: Promise<number | null>,
  ) {}

  /**
   * Starts a node on free ports. Returns once the node has logged its ports.
   *
   * @param options - the host, zone, log and flags of the node
   * @returns the running node
   * @throws Error if the process ends or does not log its ports in time
   */
  static async start({ host, zone, logUrl, flags = [] }: NodeProcessOptions): Promise<NodeProcess> {
    const portArgs = ['call', 'gate', 'peer', 'admin', 'local'].flatMap((name) => [
      `--${name}-port`,
      '0',
    ]);
    const args = [
      'node',
      '--host',
      host,
      '--zone',
      zone,
      '--log-url',
      logUrl,
      ...portArgs,
      ...flags,
    ];
    const child = spawn(process.execPath, [PROGRAM, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const exited = new Promise<number | null>((resolve) => {
      child.once('exit', resolve);
    });
    const announcedPorts = NodeProcess.readPorts(child);
    const startTimeout = AbortSignal.timeout(START_TIMEOUT_MS);
    const portsOrExitCode = await Promise.race([
      announcedPorts,
      exited,
      new Promise<undefined>((resolve) => {
        startTimeout.addEventListener('abort', () => resolve(undefined));
      }),
    ]);
    if (
      portsOrExitCode === undefined ||
      portsOrExitCode === null ||
      typeof portsOrExitCode === 'number'
    ) {
      child.kill('SIGKILL');
      throw new Error(
        `node ${host} ended or did not log its ports in time; see its messages on standard error`,
      );
    }
    return new NodeProcess(host, portsOrExitCode, child, exited);
  }

  /** The base URL of the administration API. */
  get adminUrl(): string {
    return `http://127.0.0.1:${this.ports.adminPort}`;
  }

  /** The base URL for callers. */
  get callUrl(): string {
    return `http://127.0.0.1:${this.ports.callPort}`;
  }

  /** The process id. */
  get processId(): number {
    return this.child.pid ?? 0;
  }

  /**
   * Sends a signal to the process.
   *
   * @param signal - the signal
   */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /**
   * Stops the node gracefully with SIGTERM.
   *
   * @returns its exit code; null if a signal ended it
   */
  async stop(): Promise<number | null> {
    this.child.kill('SIGTERM');
    return this.exited;
  }

  /** Kills the process with SIGKILL and waits for its end. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.exited;
  }

  private static async readPorts(child: ChildProcess): Promise<NodePorts | undefined> {
    if (child.stdout === null) {
      return undefined;
    }
    const lines = createInterface({ input: child.stdout });
    return new Promise((resolve) => {
      lines.on('line', (line) => {
        const entry = JSON.parse(line) as { ports?: NodePorts };
        if (entry.ports !== undefined) {
          resolve(entry.ports);
        }
      });
      lines.once('close', () => resolve(undefined));
    });
  }
}
