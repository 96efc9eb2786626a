/** Real nodes over loopback in this process, the log in memory. */
import { readFileSync } from 'node:fs';
import { RunningNode } from '@lentillb/node';
import { MemoryLog } from '@lentillb/standins';
import type { Log, LogFailure, Services } from 'lentillb';
import {
  Deadline,
  encodePublication,
  LogFailureKind,
  LogStream,
  readSettings,
  SystemClock,
} from 'lentillb';
import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import { DelayingDialer } from './delayingDialer.js';
import type { LatencyHistogram } from './latencyHistogram.js';

const RETENTION_MS = 60 * 60 * 1_000;
const APPENDS_PER_SECOND = 300;
const APPEND_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 20;
const SETTLE_TIMEOUT_MS = 60_000;
const LOOPBACK_BYTES_PATTERN = /^\s*lo:\s*(\d+)/m;

const FREE_PORTS = { callPort: 0, gatePort: 0, peerPort: 0, adminPort: 0, localPort: 0 };

/**
 * @param name - what makes the rules different from others
 * @returns a small rule file
 */
export function ruleFileFor(name: string): string {
  return `service ${name} port any slots 2 connections 16 ramp 0s drain 5s # Bench: ${name}\n`;
}

/** Where a node stands. */
export interface NodeLocation {
  readonly host: string;
  readonly zone: string;
}

/** What a fleet is made of. */
export interface InProcessFleetOptions {
  readonly nodes: number;
  readonly zones: number;
  /** How long a message takes between zones, in milliseconds. */
  readonly zoneDelayMs: number;
  readonly seed: number;
  readonly retentionMs?: number;
  /** Services in place of those of the plug-ins. */
  readonly replacements?: Partial<Services>;
}

/** @returns bytes that went over the loopback interface so far, headers included */
export function loopbackBytes(): number {
  return Number(LOOPBACK_BYTES_PATTERN.exec(readFileSync('/proc/net/dev', 'utf8'))?.[1] ?? 0);
}

/** Many nodes in one process. */
export class InProcessFleet {
  readonly clock = new SystemClock();

  readonly log: MemoryLog;

  readonly nodes = new Map<string, RunningNode>();

  /** Zones that are cut off from the others and from the log. */
  readonly partitionedZones = new Set<string>();

  /** The version appended last. */
  latestVersion = 0;

  /** The most requests that were open at the log at once. */
  maxOpenLogRequests = 0;

  private openLogRequests = 0;

  private text = '';

  private readonly killedHosts = new Set<string>();

  private readonly silencedHosts = new Set<string>();

  private readonly unreachablePorts = new Set<number>();

  private readonly zoneOfPort = new Map<number, string>();

  private startedNodes = 0;

  /** @param options - what the fleet is made of */
  constructor(private readonly options: InProcessFleetOptions) {
    this.log = new MemoryLog({
      clock: this.clock,
      retentionMs: options.retentionMs ?? RETENTION_MS,
      appendsPerSecond: APPENDS_PER_SECOND,
    });
  }

  /** Starts all nodes and waits until each knows all others. */
  async start(): Promise<void> {
    for (const location of this.nodeLocations()) {
      await this.add(location);
    }
    await this.waitUntil(() => this.membershipConverged());
  }

  /** @returns where the nodes of the fleet stand */
  nodeLocations(): readonly NodeLocation[] {
    const { nodes, zones } = this.options;
    return Array.from({ length: nodes }, (_, index) => ({
      host: `host-${index}`,
      zone: `zone-${index % zones}`,
    }));
  }

  /**
   * Starts a node.
   *
   * @param station - where it stands
   * @param peers - addresses to try when the log is down
   * @returns the node
   */
  async add({ host, zone }: NodeLocation, peers = ''): Promise<RunningNode> {
    const { replacements, seed, zoneDelayMs } = this.options;
    this.startedNodes += 1;
    const nodeFlags = { host, zone, peers, logUrl: 'http://127.0.0.1:9', logLevel: 'fatal' };
    const flags = { ...nodeFlags, ...FREE_PORTS, seed: seed + this.startedNodes };
    const settings = readSettings(flags, {}).unwrap();
    this.killedHosts.delete(host);
    const sameZone = (port: number): boolean => this.zoneOfPort.get(port) === zone;
    const peerDialer = new DelayingDialer(this.clock, {
      delayMs: (port) => (sameZone(port) ? 0 : zoneDelayMs),
      isReachable: (port) =>
        !this.unreachablePorts.has(port) &&
        !this.silencedHosts.has(host) &&
        !(this.killedHosts.has(host) && this.nodes.get(host) === undefined) &&
        (sameZone(port) ||
          !(
            this.partitionedZones.has(zone) ||
            this.partitionedZones.has(this.zoneOfPort.get(port) ?? '')
          )),
    });
    const log = this.logFor(zone);
    const node = await RunningNode.start(settings, {
      replacements: { log, peerDialer, ...replacements },
    });
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
      publishId: `bench-${this.latestVersion}`,
      base: this.latestVersion,
      author: 'bench',
      before: this.text,
      after: text,
    });
    const deadline = Deadline.after(this.clock, APPEND_TIMEOUT_MS);
    this.latestVersion = (await this.log.append(LogStream.Configuration, data, deadline)).unwrap();
    this.text = text;
    return this.latestVersion;
  }

  /**
   * Appends a version and waits until every node enforces it.
   *
   * @param text - the rules
   * @param latencies - takes how long each node took
   */
  async appendAndMeasure(text: string, latencies: LatencyHistogram): Promise<void> {
    const startMs = this.clock.monotonicMs();
    const latestVersion = this.latestVersion + 1;
    const enforcements = [...this.nodes.values()].map(
      ({ services }) =>
        new Promise<void>((resolve) => {
          const unsubscribe = services.versionStore.subscribe((state) => {
            if (state.version >= latestVersion) {
              latencies.record(this.clock.monotonicMs() - startMs);
              unsubscribe();
              resolve();
            }
          });
        }),
    );
    await this.append(text);
    await Promise.all(enforcements);
  }

  /**
   * @param nodes - some nodes, else all
   * @returns whether they enforce the version appended last
   */
  hasConverged(nodes: Iterable<RunningNode> = this.nodes.values()): boolean {
    return [...nodes].every(
      ({ services }) => services.versionStore.state?.version === this.latestVersion,
    );
  }

  /** @returns whether every node knows just the nodes there are */
  membershipConverged(): boolean {
    return [...this.nodes.values()].every(
      ({ services }) => services.fleet.present().length === this.nodes.size,
    );
  }

  /**
   * @param condition - what to wait for
   * @returns how long it took, in milliseconds
   * @throws Error where it does not come in time
   */
  async waitUntil(condition: () => boolean): Promise<number> {
    const startMs = this.clock.monotonicMs();
    while (!condition()) {
      if (this.clock.monotonicMs() - startMs > SETTLE_TIMEOUT_MS) {
        throw new Error('the fleet did not settle in time');
      }
      await this.clock.sleep(POLL_INTERVAL_MS);
    }
    return this.clock.monotonicMs() - startMs;
  }

  /**
   * Stops a node gracefully.
   *
   * @param host - its host
   */
  async remove(host: string): Promise<void> {
    const node = this.nodes.get(host);
    this.nodes.delete(host);
    await node?.stop();
  }

  /**
   * Ends the links of a node without a word, as a killed process does.
   *
   * @param host - its host
   */
  kill(host: string): void {
    const node = this.nodes.get(host);
    this.nodes.delete(host);
    if (node !== undefined) {
      // Nothing it still says is heard.
      this.unreachablePorts.add(node.ports.peerPort);
      this.killedHosts.add(host);
      const { linkKeeper, peerListener } = node.services;
      Promise.all([linkKeeper.close(), peerListener.close()])
        .then(() => node.stop())
        .catch(() => undefined);
    }
  }

  /**
   * Lets nothing through from or to a node, without ending its connections.
   *
   * @param host - its host
   */
  silence(host: string): void {
    const port = this.nodes.get(host)?.ports.peerPort;
    if (port !== undefined) {
      this.unreachablePorts.add(port);
      this.silencedHosts.add(host);
    }
  }

  /** Ends all nodes. */
  async stop(): Promise<void> {
    await Promise.all([...this.nodes.values()].map((node) => node.stop()));
  }

  /** The log as nodes of a zone reach it. */
  private logFor(zone: string): Log {
    const partitionFailure: LogFailure = { kind: LogFailureKind.Unavailable, message: 'cut off' };
    const forward = async <Value>(
      request: () => Promise<Result<Value, LogFailure>>,
    ): Promise<Result<Value, LogFailure>> => {
      if (this.partitionedZones.has(zone)) {
        return Err(partitionFailure);
      }
      this.openLogRequests += 1;
      this.maxOpenLogRequests = Math.max(this.maxOpenLogRequests, this.openLogRequests);
      const answer = await request();
      this.openLogRequests -= 1;
      return this.partitionedZones.has(zone) ? Err(partitionFailure) : answer;
    };
    return {
      append: (...args) => forward(() => this.log.append(...args)),
      read: (...args) => forward(() => this.log.read(...args)),
      range: (...args) => forward(() => this.log.range(...args)),
      close: async () => undefined,
    };
  }
}
