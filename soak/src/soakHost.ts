/** Runs one host: the real node program, a backend server, and relays on the connections. */
import { createWriteStream } from 'node:fs';
import type { WriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import path from 'node:path';
import { Relay, settingsDocument } from '@lentillb/standins';
import type { HostAddresses } from '@lentillb/standins';
import { runInBackground } from 'lentillb/sidecar';
import type { NodeTarget } from './caller.js';
import { Caller } from './caller.js';
import { HostedBackendServer } from './hostedBackendServer.js';
import { NodeProcess } from './nodeProcess.js';
import type { NodeProgram } from './nodeProgram.js';
import type { Service } from './platformDocuments.js';
import {
  Bounds,
  CRASHING_PREFIX,
  RouteName,
  SLOW_PREFIX,
  SLOW_TIMEOUT_MS,
} from './platformDocuments.js';
import { Port } from './ports.js';
import type { SoakServices } from './soakBackendServer.js';
import { DisturbanceKind } from './soakRecord.js';

export interface HostOptions {
  readonly index: number;
  readonly ip: string;
  readonly zone: string;
  readonly service: Service;
  readonly slots: number;
  readonly storeAddress: string;
  readonly program: NodeProgram;
  /** The resident memory over which a node process is killed, in megabytes. */
  readonly memoryLimitMb: number;
  /** The folder that settings and logs are written to. */
  readonly folder: string;
  /** Whether the connections of other nodes to this one lead through a relay. */
  readonly hasGateRelay: boolean;
  /** Whether it takes the node long to send many requests together. */
  readonly hasSlowSends: boolean;
}

const RELAY_DELAY_MS = 120;
/** The longest run under a planned stop, in milliseconds, and the time between two such requests. */
const MAX_SLOW_MS = 4_500;
const SLOW_INTERVAL_MS = 120;
const SLOW_CONNECTIONS = 64;
const CRASHING_DEADLINE_MS = 1_500;
/** The number of callers that send and leave together. */
const BATCH_SIZE = 200;
/** The times after which the callers of the batches leave, in milliseconds. */
const BATCH_STAYS_MS = [100, 130, 160] as const;
/** The pause between two batches, in milliseconds: what is sent too late arrives within it. */
const BATCH_PAUSE_MS = 1_500;
/** Lets the gate listen behind its relay. */
const GATE_RELAY_HOOK = new URL('./gateRelayHook.js', import.meta.url).href;
/** Makes it costly for a node to send many requests in one turn. */
const SLOW_SEND_HOOK = new URL('./slowSendHook.js', import.meta.url).href;
/** The time after which a node process that ended by itself is started again, in milliseconds. */
const RESTART_DELAY_MS = 500;

/** Runs the processes and relays of one host. */
export class SoakHost {
  /** The relay that forwards connections of the caller to the node. */
  readonly toNode: Relay;

  /** The relay that forwards connections of the node to its backend server. */
  readonly toBackendServer: Relay;

  /** The relay that forwards connections of the node to the store. */
  readonly toStore: Relay;

  /** The relay that forwards connections of other nodes to this one; datagrams go directly. */
  readonly toGate: Relay;

  /** The number of the current node process, counted from 1. */
  processNumber = 0;

  /** The backend server of the host. */
  readonly backendServer: HostedBackendServer;

  private node: NodeProcess | undefined;

  private crashingCount = 0;

  private slowCount = 0;

  private batchedCount = 0;

  private closed = false;

  private readonly log: WriteStream;

  private readonly settingsFile: string;

  constructor(
    private readonly services: SoakServices,
    readonly options: HostOptions,
  ) {
    const { clock } = services;
    const { folder, index, storeAddress } = options;
    this.toNode = new Relay(clock, () => this.addresses.outbound, RELAY_DELAY_MS);
    this.toBackendServer = new Relay(clock, () => this.backendServer.address, RELAY_DELAY_MS);
    this.toStore = new Relay(clock, () => storeAddress, RELAY_DELAY_MS);
    this.toGate = new Relay(clock, () => this.addressOf(Port.BehindRelay), RELAY_DELAY_MS);
    this.log = createWriteStream(path.join(folder, `host-${index}.log`));
    this.settingsFile = path.join(folder, `host-${index}.json`);
    this.backendServer = new HostedBackendServer(
      services,
      {
        ...options,
        address: this.addressOf(Port.ToBackendServer),
        controlAddress: this.addressOf(Port.Control),
      },
      this.toBackendServer,
    );
  }

  /** The target of requests from the caller on this host. */
  get target(): NodeTarget {
    const { index } = this.options;
    return {
      hostIndex: index,
      address: this.addressOf(Port.ToNode),
      processNumber: this.processNumber,
    };
  }

  /** The addresses that the node listens on. */
  get addresses(): HostAddresses {
    return {
      ip: this.options.ip,
      inbound: this.addressOf(Port.Inbound),
      outbound: this.addressOf(Port.Outbound),
      ready: this.addressOf(Port.Ready),
      control: this.addressOf(Port.Control),
      peerPort: Port.Peer,
    };
  }

  /** Starts the relays, the backend server, its heartbeats and the node. */
  async start(): Promise<void> {
    await this.toNode.listen(this.addressOf(Port.ToNode));
    await this.toBackendServer.listen(this.addressOf(Port.ToBackendServer));
    await this.toStore.listen(this.addressOf(Port.ToStore));
    await this.writeSettings();
    await this.backendServer.start();
    this.startNode();
    runInBackground(this.backendServer.sendHeartbeats());
  }

  /** @param share - the share of the settings file that is written, from its start */
  async writeSettings(share = 1): Promise<void> {
    const { memoryLimitMb, service, zone } = this.options;
    const settings = settingsDocument(this.addresses, {
      zone,
      service,
      memoryLimitMb,
      backendServer: this.addressOf(Port.ToBackendServer),
      store: this.addressOf(Port.ToStore),
    });
    await writeFile(this.settingsFile, settings.slice(0, Math.floor(settings.length * share)));
  }

  /** Starts the node process, unless an overlapping fault has already started it. */
  startNode(): void {
    if (!this.closed && this.node?.isRunning !== true) {
      this.spawnNode();
    }
  }

  /** Kills the node process and waits until it has exited. */
  async killNode(): Promise<void> {
    await this.node?.kill();
  }

  /** Stops the node gracefully; records a failed stop and kills the process then. */
  async stopNode(): Promise<void> {
    const { clock, record } = this.services;
    record.nodeStops.push({ host: this.options.index, atMs: clock.monotonicMs() });
    const { node } = this;
    if (node === undefined) {
      return;
    }
    const { isFrozen, suspensions } = node;
    const code = await node.end('SIGTERM', Bounds.graceMs);
    // An overlapping fault may have killed or suspended the process meanwhile.
    const isInterrupted = isFrozen || node.isKilled || node.suspensions !== suspensions;
    if (code !== 0 && !isInterrupted && !node.isEndedBeforeCode) {
      const detail = `planned stop did not exit with code 0 in time: ${String(code ?? 'no exit code')}`;
      record.unexpectedExits.push({ host: this.options.index, detail });
    }
    if (node.isRunning) {
      await node.kill();
    }
  }

  /**
   * Tells the node to stop, starts another process beside it, and kills the first one.
   *
   * @param delayMs - the time between each of these, in milliseconds
   */
  async restartDuringEnd(delayMs: number): Promise<void> {
    const { node } = this;
    const ended = node?.end('SIGTERM', Bounds.graceMs);
    await this.services.clock.sleep(delayMs);
    if (node?.isRunning === true && this.node === node) {
      this.spawnNode();
      await this.services.clock.sleep(delayMs);
    }
    await node?.kill();
    await ended;
    this.startNode();
  }

  /**
   * Stops the node gracefully and starts it again, while long requests fill the slots and go on
   * coming on open connections until the process is gone.
   */
  async stopNodeUnderLongRuns(): Promise<void> {
    const { clock, randomness } = this.services;
    const { index } = this.options;
    const caller = new Caller(this.services, () => this.target, SLOW_CONNECTIONS);
    const sent: Promise<void>[] = [];
    const send = (): void => {
      this.slowCount += 1;
      const durationMs = randomness.integer(MAX_SLOW_MS);
      const id = `${SLOW_PREFIX}${durationMs}-${index}-${this.slowCount}`;
      sent.push(caller.send(id, RouteName.Slow, { deadlineMs: SLOW_TIMEOUT_MS }));
    };
    Array.from({ length: this.options.slots }, send);
    await clock.sleep(SLOW_INTERVAL_MS);
    await this.restartWhile(SLOW_INTERVAL_MS, send);
    await Promise.all(sent);
    caller.close();
  }

  /**
   * Stops the node gracefully and starts it again. Meanwhile it is told again and again to stop and
   * that its settings file changed.
   *
   * @param intervalMs - the time between two such signals, in milliseconds
   */
  async stopNodeWithSignals(intervalMs: number): Promise<void> {
    let count = 0;
    await this.restartWhile(intervalMs, () => {
      this.node?.signal(count % 2 === 0 ? 'SIGHUP' : 'SIGTERM');
      count += 1;
    });
  }

  /**
   * Kills the node while it stops, and starts it again at once.
   *
   * @param afterMs - the time from the start of the stop, in milliseconds
   */
  async killNodeInStop(afterMs: number): Promise<void> {
    const ended = this.node?.end('SIGTERM', Infinity);
    await this.services.clock.sleep(afterMs);
    await this.killNode();
    await ended;
    this.startNode();
  }

  /**
   * Sends batches of requests on kept connections to the node. The callers of a batch leave together
   * before a slow node has sent them all on.
   */
  async sendBatches(): Promise<void> {
    const { clock } = this.services;
    const caller = new Caller(this.services, () => this.target, BATCH_SIZE);
    const sendAll = async (leaveAfterMs: number): Promise<void> => {
      const sent = Array.from({ length: BATCH_SIZE }, () => {
        this.batchedCount += 1;
        const id = `batched-${this.options.index}-${this.batchedCount}`;
        return caller.send(id, RouteName.Browse, { leaveAfterMs });
      });
      await Promise.all(sent);
    };
    for (const stayMs of BATCH_STAYS_MS) {
      await sendAll(Infinity);
      await sendAll(stayMs);
      await clock.sleep(BATCH_PAUSE_MS);
    }
    caller.close();
  }

  /** @param frozen - whether to suspend the node process or to resume it */
  freeze(frozen: boolean): void {
    this.node?.freeze(frozen);
  }

  /**
   * Tells the node that its settings file changed.
   *
   * @param isOnceStarted - whether to do nothing while Node.js itself may still be starting
   */
  reloadSettings(isOnceStarted = false): void {
    if (!isOnceStarted || this.node?.canRunCode === true) {
      this.node?.signal('SIGHUP');
    }
  }

  /** Sends a request to the node under which each backend server that runs it ends. */
  async sendCrashingRequest(): Promise<void> {
    const caller = new Caller(this.services, () => this.target, 1);
    const content = `${CRASHING_PREFIX}-${this.options.index}`;
    this.crashingCount += 1;
    await caller.send(`${content}-${this.crashingCount}`, RouteName.Browse, {
      content,
      deadlineMs: CRASHING_DEADLINE_MS,
    });
    caller.close();
  }

  /** Kills the node and closes everything else on the host. */
  async close(): Promise<void> {
    this.closed = true;
    this.freeze(false);
    await this.killNode();
    [this.toNode, this.toBackendServer, this.toStore, this.toGate].forEach((relay) =>
      relay.close(),
    );
    await this.backendServer.close();
    this.log.end();
  }

  private addressOf(port: number): string {
    return `${this.options.ip}:${port}`;
  }

  /** Stops the node gracefully and starts it again; acts at each interval until it has ended. */
  private async restartWhile(intervalMs: number, act: () => void): Promise<void> {
    let isStopping = true;
    const stopped = this.stopNode().then(() => {
      isStopping = false;
    });
    while (isStopping) {
      act();
      await Promise.race([stopped, this.services.clock.sleep(intervalMs)]);
    }
    this.startNode();
  }

  private spawnNode(): void {
    const { hasGateRelay, hasSlowSends, memoryLimitMb, program } = this.options;
    if (hasGateRelay) {
      // An earlier process may still be ending.
      this.toGate.stopListening();
      runInBackground(this.toGate.listen(this.addresses.inbound));
    }
    const hooks = [
      ...(hasGateRelay ? [GATE_RELAY_HOOK] : []),
      ...(hasSlowSends ? [SLOW_SEND_HOOK] : []),
    ];
    const { log, services, settingsFile } = this;
    this.processNumber += 1;
    const { processNumber } = this;
    const node = new NodeProcess(
      services.clock,
      { program, hooks, settingsFile, log, memoryLimitMb },
      () => this.handleExit(node, processNumber),
    );
    this.node = node;
  }

  private handleExit(node: NodeProcess, processNumber: number): void {
    const { record } = this.services;
    record.peakMemoryMb = Math.max(record.peakMemoryMb, node.peakMemoryMb);
    if (this.node === node) {
      this.toGate.stopListening();
    }
    if (!node.isEndExpected || node.isOverMemoryLimit) {
      runInBackground(this.replaceEndedNode(node, processNumber));
    }
  }

  /** Records that a node process ended by itself, and starts another one, as the platform does. */
  private async replaceEndedNode(node: NodeProcess, processNumber: number): Promise<void> {
    const { clock, record } = this.services;
    const { index: host } = this.options;
    const fromMs = clock.monotonicMs();
    await clock.sleep(RESTART_DELAY_MS);
    const detail = `process ${processNumber} of this host ended with ${node.describeEnd()}`;
    if (node.isOverMemoryLimit) {
      record.memoryExcesses.push({ host, detail });
    } else if (!node.isEndedBeforeCode) {
      record.unexpectedExits.push({ host, detail });
    }
    this.startNode();
    const untilMs = clock.monotonicMs();
    record.disturbances.push({ kind: DisturbanceKind.Failure, host, fromMs, untilMs });
  }
}
