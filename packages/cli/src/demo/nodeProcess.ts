/** A node as a process of its own, for the demonstration and for tests of failures. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { NodePorts } from '@lentillb/node';

const PROGRAM = fileURLToPath(new URL('../../bin/lentillb.js', import.meta.url));
const START_TIMEOUT_MS = 20_000;

/** Where a node process runs and what it is called. */
export interface NodeProcessOptions {
  readonly host: string;
  readonly zone: string;
  readonly logUrl: string;
  /** Further flags. */
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
   * Starts a node on free ports.
   *
   * @param options - the node
   * @returns the node, once it says that it is running
   * @throws Error where it does not start in time
   */
  static async start({ host, zone, logUrl, flags = [] }: NodeProcessOptions): Promise<NodeProcess> {
    const ports = ['call', 'gate', 'peer', 'admin', 'local'].flatMap((name) => [
      `--${name}-port`,
      '0',
    ]);
    const args = ['node', '--host', host, '--zone', zone, '--log-url', logUrl, ...ports, ...flags];
    const child = spawn(process.execPath, [PROGRAM, ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    const exited = new Promise<number | null>((resolve) => {
      child.once('exit', resolve);
    });
    const running = NodeProcess.readPorts(child);
    const late = AbortSignal.timeout(START_TIMEOUT_MS);
    const known = await Promise.race([
      running,
      exited,
      new Promise<undefined>((resolve) => {
        late.addEventListener('abort', () => resolve(undefined));
      }),
    ]);
    if (known === undefined || known === null || typeof known === 'number') {
      child.kill('SIGKILL');
      throw new Error(`node ${host} did not start`);
    }
    return new NodeProcess(host, known, child, exited);
  }

  /** The base URL of the administration API. */
  get adminUrl(): string {
    return `http://127.0.0.1:${this.ports.adminPort}`;
  }

  /** The base URL for callers. */
  get callUrl(): string {
    return `http://127.0.0.1:${this.ports.callPort}`;
  }

  /** The number of the process. */
  get processId(): number {
    return this.child.pid ?? 0;
  }

  /**
   * @param signal - the signal to send to this one process
   */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /**
   * Tells the node to stop gracefully.
   *
   * @returns its exit code; null where it was killed
   */
  async stop(): Promise<number | null> {
    this.child.kill('SIGTERM');
    return this.exited;
  }

  /** Kills the node at once. */
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
