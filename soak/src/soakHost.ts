/** One host of the soak: the real program, a backend server, and relays on all its connections. */
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import type { WriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import path from 'node:path';
import { request } from 'undici';
import { ScriptedBackendServer } from '@lentillb/standins';
import type { Clock, Randomness } from 'lentillb/sidecar';
import { runInBackground } from 'lentillb/sidecar';
import type { CalledNode } from './caller.js';
import type { OwnProcess } from './ownProcesses.js';
import { startOwnProcess } from './ownProcesses.js';
import type { HostAddresses, Service } from './platformDocuments.js';
import { Bounds, heartbeatDocument, settingsDocument } from './platformDocuments.js';
import type { SoakRecord } from './record.js';
import { Relay } from './relay.js';

/** Where a host stands. */
export interface HostPlace {
  readonly index: number;
  readonly ip: string;
  readonly zone: string;
  readonly service: Service;
  readonly storeAddress: string;
  /** The built program. */
  readonly program: string;
  /** Where settings and logs are written. */
  readonly folder: string;
}

/** The ports of a host; each host has an IP number of its own. */
const Port = {
  Inbound: 17_601,
  Outbound: 17_602,
  Ready: 17_603,
  Control: 17_604,
  Peer: 17_605,
  ToBackendServer: 17_606,
  ToStore: 17_607,
  ToNode: 17_608,
} as const;

const SLOTS = 8;
const HEARTBEAT_MS = 300;
/** How long a call to the node's control address may take, in milliseconds. */
const CONTROL_MS = 1_500;
/** How long a run takes: at least, and how much more at most, in milliseconds. */
const WORK_MS = { least: 3, spread: 60 } as const;
/** How much later chunks arrive over a delayed connection, in milliseconds. */
const LINK_DELAY_MS = 120;
/** How long a backend server that left is still there, to see what reaches it, in milliseconds. */
const LINGER_MS = Bounds.drainMs + 2_000;

interface LiveBackendServer {
  readonly server: ScriptedBackendServer;
  readonly startedAt: Date;
  leaving: boolean;
}

/** One host. */
export class SoakHost {
  /** Connections of the caller to the node. */
  readonly toNode: Relay;

  /** Connections of the node to its backend server. */
  readonly toBackendServer: Relay;

  /** Connections of the node to the store. */
  readonly toStore: Relay;

  /** Which process of the node runs, counted from 1. */
  life = 0;

  private child: OwnProcess | undefined;

  private expectedEnd = false;

  private live: LiveBackendServer | undefined;

  private heartbeats = 0;

  private runs = 0;

  private closed = false;

  private readonly log: WriteStream;

  private readonly settingsFile: string;

  private backendServerAddress = '';

  constructor(
    private readonly services: {
      readonly clock: Clock;
      readonly randomness: Randomness;
      readonly record: SoakRecord;
    },
    readonly place: HostPlace,
  ) {
    const { clock } = services;
    const { folder, index, storeAddress } = place;
    this.toNode = new Relay(clock, () => this.addresses.outbound, LINK_DELAY_MS);
    this.toBackendServer = new Relay(clock, () => this.backendServerAddress, LINK_DELAY_MS);
    this.toStore = new Relay(clock, () => storeAddress, LINK_DELAY_MS);
    this.log = createWriteStream(path.join(folder, `host-${index}.log`));
    this.settingsFile = path.join(folder, `host-${index}.json`);
  }

  /** What its caller sends to. */
  get called(): CalledNode {
    const { index } = this.place;
    return { index, address: this.at(Port.ToNode), life: this.life };
  }

  private get isRunning(): boolean {
    const { child } = this;
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  private get addresses(): HostAddresses {
    return {
      ip: this.place.ip,
      inbound: this.at(Port.Inbound),
      outbound: this.at(Port.Outbound),
      ready: this.at(Port.Ready),
      control: this.at(Port.Control),
      peerPort: Port.Peer,
    };
  }

  /** Starts everything on the host. */
  async start(): Promise<void> {
    const { service, zone } = this.place;
    await this.toNode.listen(this.at(Port.ToNode));
    await this.toBackendServer.listen(this.at(Port.ToBackendServer));
    await this.toStore.listen(this.at(Port.ToStore));
    const settings = settingsDocument(this.addresses, {
      zone,
      service,
      backendServer: this.at(Port.ToBackendServer),
      store: this.at(Port.ToStore),
    });
    await writeFile(this.settingsFile, settings);
    await this.startBackendServer();
    this.startNode();
    runInBackground(this.beat());
  }

  /** Starts the node's process, unless another fault that overlaps has started it already. */
  startNode(): void {
    if (this.isRunning) {
      return;
    }
    this.life += 1;
    this.expectedEnd = false;
    const { index, program } = this.place;
    const child = startOwnProcess(['--max-old-space-size=96', program], {
      ...process.env,
      LENTILLB_SETTINGS: this.settingsFile,
    });
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    child.once('exit', (code, signal) => {
      if (!this.expectedEnd) {
        const detail = `node ended by itself with ${String(code ?? signal)}`;
        this.services.record.oddEnds.push({ host: index, detail });
      }
    });
    this.child = child;
  }

  /** Kills the node. */
  async killNode(): Promise<void> {
    this.expectedEnd = true;
    await this.signalAndWait('SIGKILL', Infinity);
  }

  /** Stops the node as planned. */
  async stopNode(): Promise<void> {
    this.expectedEnd = true;
    const code = await this.signalAndWait('SIGTERM', Bounds.graceMs);
    if (code !== 0) {
      const detail = `planned stop ended with ${String(code ?? 'no end in time')}`;
      this.services.record.oddEnds.push({ host: this.place.index, detail });
      await this.killNode();
    }
  }

  /** @param frozen - whether the node's process stands still from now on */
  freeze(frozen: boolean): void {
    this.child?.kill(frozen ? 'SIGSTOP' : 'SIGCONT');
  }

  /** Ends the backend server without a word, and starts another at once. */
  async replaceBackendServer(): Promise<void> {
    const { live } = this;
    await this.startBackendServer();
    await live?.server.close();
  }

  /** Lets the backend server leave as planned; another one takes its place. */
  async releaseBackendServer(): Promise<void> {
    const { live } = this;
    if (live === undefined) {
      return;
    }
    live.leaving = true;
    await this.sendHeartbeat(live);
    const { clock, record } = this.services;
    const backendServer = live.server.id;
    const confirmed = await this.control('DELETE', backendServer);
    if (confirmed) {
      const { index: host } = this.place;
      record.departures.push({ host, backendServer, confirmedAtMs: clock.monotonicMs() });
    }
    await clock.sleep(LINGER_MS);
    await this.startBackendServer();
    await live.server.close();
  }

  /** Ends everything on the host. */
  async close(): Promise<void> {
    this.closed = true;
    this.freeze(false);
    await this.killNode();
    [this.toNode, this.toBackendServer, this.toStore].forEach((relay) => relay.close());
    await this.live?.server.close();
    this.log.end();
  }

  private at(port: number): string {
    return `${this.place.ip}:${port}`;
  }

  private async signalAndWait(signal: NodeJS.Signals, mostMs: number): Promise<number | undefined> {
    const { child } = this;
    if (child === undefined || !this.isRunning) {
      return child?.exitCode ?? 0;
    }
    const exit = once(child, 'exit').then(([code]) => code as number | null);
    child.kill(signal);
    if (!Number.isFinite(mostMs)) {
      return (await exit) ?? undefined;
    }
    const late = this.services.clock.sleep(mostMs).then(() => undefined);
    return (await Promise.race([exit, late])) ?? undefined;
  }

  private async startBackendServer(): Promise<void> {
    const { clock, randomness, record } = this.services;
    const { index, service } = this.place;
    this.runs += 1;
    const backendServer = `b-${index}-${this.runs}`;
    const server = new ScriptedBackendServer(backendServer);
    await server.listen();
    server.behave((response, { body, requestId }) => {
      const atMs = clock.monotonicMs();
      record.runs.push({ requestId, service, backendServer, host: index, atMs });
      clock.after(WORK_MS.least + randomness.integer(WORK_MS.spread), () => {
        response.writeHead(200, { 'x-attempt-id': requestId, 'x-server-seal': 'seal' });
        response.end(`ran ${body}`);
      });
    });
    this.backendServerAddress = server.address;
    this.live = { server, startedAt: clock.now(), leaving: false };
  }

  private async beat(): Promise<void> {
    while (!this.closed) {
      if (this.live !== undefined) {
        await this.sendHeartbeat(this.live);
      }
      await this.services.clock.sleep(HEARTBEAT_MS);
    }
  }

  private async sendHeartbeat(live: LiveBackendServer): Promise<void> {
    const { service, zone } = this.place;
    this.heartbeats += 1;
    const body = heartbeatDocument({
      service,
      zone,
      address: this.at(Port.ToBackendServer),
      slots: SLOTS,
      state: live.leaving ? 'draining' : 'ready',
      sequence: this.heartbeats,
      startedAt: live.startedAt,
    });
    await this.control('PUT', live.server.id, body);
  }

  /** Calls the node's control address; a node that is away is called again with the next heartbeat. */
  private async control(method: 'PUT' | 'DELETE', id: string, body?: string): Promise<boolean> {
    try {
      const answer = await request(`http://${this.at(Port.Control)}/instances/${id}`, {
        method,
        body,
        signal: AbortSignal.timeout(CONTROL_MS),
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }
}
