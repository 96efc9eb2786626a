/** Builds the program of a node and runs it as real processes. */
import { execFile, spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { promisify } from 'node:util';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { freeAddress } from './freeAddress.js';
import { NodeProcess } from './nodeProcess.js';
import type { NodeAddresses, ProgramHost } from './nodeProcess.js';

/** The configuration of a route `letters.example` to the service `postbag`. */
export const postbagConfiguration = JSON.stringify({
  version: '00000002',
  routes: {
    lodge: {
      hostname: 'letters.example',
      'path-prefix': '/',
      'route-type': 'non_idempotent',
      timeout: '5s',
      'target-latency': '250ms',
      priority: 1,
      service: 'postbag',
      'max-attempts': 2,
    },
  },
  services: { postbag: {} },
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 1_000,
    'header-timeout': '3s',
    'idle-timeout': '15s',
  },
});

/** Finds free addresses for a node. */
export async function freeAddresses(): Promise<NodeAddresses> {
  const [inbound, outbound, ready, control, peer] = await Promise.all(
    Array.from({ length: 5 }, freeAddress),
  );
  return { inbound, outbound, ready, 'control-plane': control, peer } as NodeAddresses;
}

/** The built program, and the processes that run it. */
export class NodeProgram {
  private readonly processes: NodeProcess[] = [];

  private constructor(
    private readonly folder: string,
    private readonly file: string,
  ) {}

  /** Builds the program. */
  static async build(): Promise<NodeProgram> {
    const folder = await mkdtemp(path.join(tmpdir(), 'lentillb-'));
    const file = path.join(folder, 'lentillb.cjs');
    await promisify(execFile)(process.execPath, ['deploy/build.js', file]);
    return new NodeProgram(folder, file);
  }

  /**
   * Starts a process.
   *
   * @param host - the host that it runs on
   * @param preloaded - a program that is loaded into the process before its own
   * @returns the process
   */
  async start(host: ProgramHost, preloaded?: string): Promise<NodeProcess> {
    const { addresses, backendServerAddress, stopTimeout, storeAddress } = host;
    const { peer, ...listenAddresses } = addresses;
    const { host: ip, port } = parseAddress(peer);
    const settings = {
      self: { ip, zone: 'a', service: 'postbag', 'app-addr': backendServerAddress },
      network: { 'listen-addrs': listenAddresses, 'port-range': [port, 0] },
      platform: { platform: { address: storeAddress } },
      terms: {
        bounds: {
          grace: stopTimeout,
          'retry-budget-ratio': 0.2,
          'budget-window': '10s',
          'retry-budget-extra': 62,
        },
      },
    };
    const settingsFile = path.join(this.folder, `node-${this.processes.length}.json`);
    await writeFile(settingsFile, JSON.stringify(settings));
    const args = preloaded === undefined ? [this.file] : ['--require', preloaded, this.file];
    const child = spawn(process.execPath, args, {
      env: { ...process.env, LENTILLB_SETTINGS: settingsFile },
    });
    const started = new NodeProcess(host, child);
    this.processes.push(started);
    return started;
  }

  /** Ends all processes. */
  async endAll(): Promise<void> {
    const ending = this.processes.splice(0);
    ending.forEach((running) => running.kill('SIGKILL'));
    await Promise.all(ending.map((running) => running.until(() => running.end !== undefined)));
  }

  /** Ends all processes and removes the built program. */
  async remove(): Promise<void> {
    await this.endAll();
    await rm(this.folder, { recursive: true });
  }
}
