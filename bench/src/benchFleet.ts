/** Real nodes over loopback in this process, the log in memory. */
import { readFileSync } from 'node:fs';
import { RunningNode } from '@lentillb/node';
import { MemoryLog } from '@lentillb/standins';
import { Deadline, encodePublication, LogStream, readSettings, SystemClock } from 'lentillb';
import { DelayingDialer } from './delayingDialer.js';

const RETENTION_MS = 60 * 60 * 1_000;
const APPENDS_PER_SECOND = 300;
const APPEND_TIMEOUT_MS = 5_000;
const POLL_MS = 20;
const SETTLE_TIMEOUT_MS = 60_000;
const LOOPBACK = /^\s*lo:\s*(\d+)/m;

const FREE_PORTS = { callPort: 0, gatePort: 0, peerPort: 0, adminPort: 0, localPort: 0 };

/** Where a node stands. */
export interface Station {
  readonly host: string;
  readonly zone: string;
}

/** What a fleet is made of. */
export interface BenchFleetOptions {
  readonly nodes: number;
  readonly zones: number;
  /** How long a message takes between zones, in milliseconds. */
  readonly zoneDelayMs: number;
  readonly seed: number;
}

/** @returns bytes that went over the loopback interface so far, headers included */
export function loopbackBytes(): number {
  return Number(LOOPBACK.exec(readFileSync('/proc/net/dev', 'utf8'))?.[1] ?? 0);
}

/** Many nodes in one process. */
export class BenchFleet {
  readonly clock = new SystemClock();

  readonly log = new MemoryLog({
    clock: this.clock,
    retentionMs: RETENTION_MS,
    appendsPerSecond: APPENDS_PER_SECOND,
  });

  readonly nodes = new Map<string, RunningNode>();

  /** The version appended last. */
  version = 0;

  private text = '';

  private readonly zoneOfPort = new Map<number, string>();

  private started = 0;

  /** @param options - what the fleet is made of */
  constructor(private readonly options: BenchFleetOptions) {}

  /** Starts all nodes and waits until each knows all others. */
  async start(): Promise<void> {
    const stations = Array.from({ length: this.options.nodes }, (_, index) => ({
      host: `host-${index}`,
      zone: `zone-${index % this.options.zones}`,
    }));
    for (const station of stations) {
      await this.add(station);
    }
    await this.until(() => this.settled());
  }

  /**
   * Starts a node.
   *
   * @param station - where it stands
   * @returns the node
   */
  async add({ host, zone }: Station): Promise<RunningNode> {
    const { seed, zoneDelayMs } = this.options;
    this.started += 1;
    const given = { host, zone, logUrl: 'http://127.0.0.1:9', logLevel: 'fatal', ...FREE_PORTS };
    const settings = readSettings({ ...given, seed: seed + this.started }, {}).unwrap();
    const delay = (port: number): number => (this.zoneOfPort.get(port) === zone ? 0 : zoneDelayMs);
    const replacements = { log: this.log, peerDialer: new DelayingDialer(this.clock, delay) };
    const node = await RunningNode.start(settings, { replacements });
    this.zoneOfPort.set(node.ports.peerPort, zone);
    this.nodes.set(host, node);
    return node;
  }

  /**
   * Appends a version as an operator's publication would.
   *
   * @param text - the rules
   * @returns the version
   */
  async append(text: string): Promise<number> {
    const data = encodePublication({
      publishId: `bench-${this.version}`,
      base: this.version,
      author: 'bench',
      before: this.text,
      after: text,
    });
    const deadline = Deadline.after(this.clock, APPEND_TIMEOUT_MS);
    this.version = (await this.log.append(LogStream.Configuration, data, deadline)).unwrap();
    this.text = text;
    return this.version;
  }

  /** @returns whether every node knows all others */
  settled(): boolean {
    return [...this.nodes.values()].every(
      ({ services }) => services.fleet.present().length === this.nodes.size,
    );
  }

  /**
   * @param condition - what to wait for
   * @throws Error where it does not come in time
   */
  async until(condition: () => boolean): Promise<void> {
    const startMs = this.clock.monotonicMs();
    while (!condition()) {
      if (this.clock.monotonicMs() - startMs > SETTLE_TIMEOUT_MS) {
        throw new Error('the fleet did not settle in time');
      }
      await this.clock.sleep(POLL_MS);
    }
  }

  /** Ends all nodes. */
  async stop(): Promise<void> {
    await Promise.all([...this.nodes.values()].map((node) => node.stop()));
  }
}
