/** Runs the built program with the flags of its run line, and reads its resident memory. */
import { execFile, spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { request as openRequest } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { promisify } from 'node:util';
import { KeyedLogServer, ScriptedBackendServer } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { freeAddress } from './freeAddress.js';

const CONDITION_TIMEOUT_MS = 15_000;
const REQUEST_TIMEOUT_MS = 5_000;
const BYTES_PER_KIBIBYTE = 1024;
const RUN_LINE = /^run = "node (.*) target\/lentillb\.cjs"$/mu;

/** A request of a test to the program. */
export interface ProgramCall {
  readonly method: string;
  readonly target: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

export interface ProgramReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
}

/** The addresses and ports of a running program. */
export interface ProgramAddresses {
  readonly inbound: string;
  readonly outbound: string;
  readonly ready: string;
  readonly control: string;
  readonly peer: string;
}

const clock = new SystemClock();

/**
 * Sends one request on a connection of its own.
 *
 * @param address - the address and port to send to
 * @param call - the request
 * @returns the reply; rejects if there is none
 */
export function callProgram(
  address: string,
  { body, headers = {}, method, target }: ProgramCall,
): Promise<ProgramReply> {
  return new Promise((resolve, reject) => {
    const outgoing = openRequest({
      agent: false,
      ...parseAddress(address),
      method,
      path: target,
      headers,
      timeout: REQUEST_TIMEOUT_MS,
    });
    outgoing.on('timeout', () => outgoing.destroy(new Error('no reply in time')));
    outgoing.on('error', reject);
    outgoing.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', reject);
      response.on('end', () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString('utf8'),
        }),
      );
    });
    outgoing.end(body);
  });
}

/** One process of the program, with a store and a backend server on loopback. */
export class ProgramRun {
  readonly store = new KeyedLogServer();

  readonly backendServer = new ScriptedBackendServer('i-1');

  addresses!: ProgramAddresses;

  /** All that the program has written. */
  output = '';

  /** The exit code or the signal by which the process ended; undefined while it runs. */
  end: number | string | undefined;

  private folder!: string;

  private child!: ChildProcess;

  /**
   * Builds and starts the program, and waits until it serves requests.
   *
   * @param memoryMegabytes - the limit of the host in the settings
   */
  async start(memoryMegabytes: number): Promise<void> {
    this.folder = await mkdtemp(path.join(tmpdir(), 'lentillb-'));
    const program = path.join(this.folder, 'lentillb.cjs');
    await promisify(execFile)(process.execPath, ['deploy/build.js', program]);
    const flags = RUN_LINE.exec(await readFile('deploy/system.toml', 'utf8'))?.[1];
    if (flags === undefined) {
      throw new Error('deploy/system.toml has no run line of the expected form');
    }
    await this.store.listen();
    await this.backendServer.listen();
    this.publish();
    const file = path.join(this.folder, 'node.json');
    await writeFile(file, JSON.stringify(await this.chooseSettings(memoryMegabytes)));
    this.child = spawn(process.execPath, [...flags.split(' '), program], {
      env: { ...process.env, NODE_OPTIONS: '', LENTILLB_SETTINGS: file },
    });
    const append = (chunk: Buffer): void => {
      this.output += chunk.toString();
    };
    this.child.stdout?.on('data', append);
    this.child.stderr?.on('data', append);
    this.child.once('exit', (code, signal) => {
      this.end = signal ?? code ?? 'unknown';
    });
    const { control } = this.addresses;
    await this.until(async () => (await callProgram(control, this.heartbeat())).status === 200);
    await this.until(async () => (await this.send('first')).status === 200);
  }

  /** Ends the process and closes the store and the backend server. */
  async stop(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.store.close();
    await this.backendServer.close();
    await rm(this.folder, { recursive: true });
  }

  /**
   * Sends a short request as a caller.
   *
   * @param requestId - its identity
   * @returns the reply
   */
  send(requestId: string): Promise<ProgramReply> {
    const headers = { host: 'letters.example', 'x-attempt-id': requestId, 'x-deadline-ms': '1500' };
    const call = { method: 'POST', target: '/a', headers, body: 'dear editor' };
    return callProgram(this.addresses.outbound, call);
  }

  /**
   * Waits until a condition holds.
   *
   * @param condition - the condition; one that fails does not hold yet
   */
  async until(condition: () => Promise<boolean>): Promise<void> {
    const endMs = clock.monotonicMs() + CONDITION_TIMEOUT_MS;
    while (!(await condition().catch(() => false))) {
      if (clock.monotonicMs() > endMs || this.end !== undefined) {
        const state = this.end === undefined ? 'it runs' : `it ended with ${this.end}`;
        throw new Error(
          `not met by the program; ${state}; its output: ${this.output.slice(-4000)}`,
        );
      }
      await clock.sleep(20);
    }
  }

  /** The highest resident memory of the process so far, in bytes. */
  async peakMemory(): Promise<number> {
    return this.readMemory('VmHWM');
  }

  /** The resident memory of the process, in bytes. */
  async residentMemory(): Promise<number> {
    return this.readMemory('VmRSS');
  }

  private async readMemory(field: string): Promise<number> {
    if (this.end !== undefined) {
      throw new Error(`the program ended with ${this.end}: ${this.output.slice(-4000)}`);
    }
    const status = await readFile(`/proc/${this.child.pid}/status`, 'utf8');
    const kibibytes = new RegExp(`^${field}:\\s+(\\d+) kB$`, 'mu').exec(status)?.[1];
    if (kibibytes === undefined) {
      throw new Error(`/proc does not state ${field} of the program`);
    }
    return Number(kibibytes) * BYTES_PER_KIBIBYTE;
  }

  private publish(): void {
    const route = {
      hostname: 'letters.example',
      'path-prefix': '/',
      'route-type': 'non_idempotent',
      timeout: '1500ms',
      'target-latency': '400ms',
      priority: 1,
      service: 'postbag',
      'max-attempts': 2,
    };
    const limits = {
      'max-header-bytes': 65_536,
      'max-body-bytes': 1_048_576,
      'header-timeout': '10s',
      'idle-timeout': '60s',
    };
    const services = { postbag: {} };
    const configuration = { version: '00000002', routes: { lodge: route }, services, limits };
    this.store.write('keyed.op', 'config', JSON.stringify(configuration));
  }

  private async chooseSettings(memoryMegabytes: number): Promise<object> {
    const [inbound, outbound, ready, control, peer] = (await Promise.all(
      Array.from({ length: 5 }, freeAddress),
    )) as [string, string, string, string, string];
    this.addresses = { inbound, outbound, ready, control, peer };
    const self = { ip: '127.0.0.1', zone: 'a', service: 'postbag' };
    const limits = { 'memory-mb': memoryMegabytes, 'link-mbps': 1_000 };
    const listen = { inbound, outbound, ready, 'control-plane': control };
    return {
      self: { ...self, 'app-addr': this.backendServer.address, limits },
      network: { 'listen-addrs': listen, 'port-range': [parseAddress(peer).port, 0] },
      platform: { platform: { address: this.store.address } },
      terms: {
        bounds: {
          grace: '6s',
          'retry-budget-ratio': 0.2,
          'budget-window': '10s',
          'retry-budget-extra': 62,
        },
      },
    };
  }

  private heartbeat(): ProgramCall {
    const body = {
      service: 'postbag',
      address: this.backendServer.address,
      zone: 'a',
      version: 'v1',
      capacity: 18,
      state: 'ready',
      'warmup-left': '0ms',
      sequence: 1,
      born: 1_000,
    };
    const target = `/instances/${this.backendServer.id}`;
    return { method: 'PUT', target, body: JSON.stringify(body) };
  }
}
