/** Builds the program that runs on the platform, and starts processes of it. */
import { execFile, spawn } from 'node:child_process';
import type { ChildProcess, StdioOptions } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { promisify } from 'node:util';
import { freeAddress } from './freeAddress.js';
import { PlatformProcess } from './platformProcess.js';

const run = promisify(execFile);

/**
 * Creates settings as the platform writes them, with free addresses on loopback.
 *
 * @returns the settings
 */
export async function createPlatformSettings() {
  const [inbound, outbound, ready, control, peer, store, backendServer] = (await Promise.all(
    Array.from({ length: 7 }, freeAddress),
  )) as [string, string, string, string, string, string, string];
  const bounds = {
    grace: '6s',
    'retry-budget-ratio': 0.2,
    'budget-window': '10s',
    'retry-budget-extra': 62,
  };
  return {
    self: { ip: '127.0.0.1', zone: 'a', service: 'postbag', 'app-addr': backendServer },
    network: {
      'listen-addrs': { inbound, outbound, ready, 'control-plane': control },
      'port-range': [Number(peer.split(':')[1]), 0],
    },
    platform: { platform: { address: store } },
    terms: { bounds },
  };
}

/** The built program, in a folder of its own. */
export class PlatformProgram {
  private readonly children: ChildProcess[] = [];

  private constructor(
    private readonly folder: string,
    private readonly file: string,
  ) {}

  /** Builds the program. */
  static async build(): Promise<PlatformProgram> {
    const folder = await mkdtemp(path.join(tmpdir(), 'lentillb-'));
    const file = path.join(folder, 'lentillb.cjs');
    await run(process.execPath, ['deploy/build.js', file]);
    return new PlatformProgram(folder, file);
  }

  /** Kills the processes that still run. */
  killAll(): void {
    this.children.splice(0).forEach((child) => child.kill('SIGKILL'));
  }

  /** Deletes the program. */
  async remove(): Promise<void> {
    this.killAll();
    await rm(this.folder, { recursive: true });
  }

  /** @returns the path of a file in the folder of the program */
  pathOf(name: string): string {
    return path.join(this.folder, name);
  }

  /** Writes a file into the folder of the program. */
  async write(name: string, content: string): Promise<string> {
    await writeFile(this.pathOf(name), content);
    return this.pathOf(name);
  }

  /** Creates a named pipe, which blocks whoever opens it until the other end is opened, too. */
  async createPipe(name: string): Promise<string> {
    await rm(this.pathOf(name), { force: true });
    await run('mkfifo', [this.pathOf(name)]);
    return this.pathOf(name);
  }

  /**
   * Starts a process.
   *
   * @param settingsFile - the path of the settings file
   * @param options - the options of Node.js, and where the output goes
   */
  start(
    settingsFile: string,
    { nodeOptions = [], stdio = 'pipe' }: { nodeOptions?: string[]; stdio?: StdioOptions } = {},
  ): PlatformProcess {
    const child = spawn(process.execPath, [...nodeOptions, this.file], {
      env: { PATH: process.env.PATH, LENTILLB_SETTINGS: settingsFile },
      stdio,
    });
    this.children.push(child);
    return new PlatformProcess(child);
  }
}
