/** A fleet of nodes in this process, connected over loopback, with an in-memory log. */
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
 * Creates a rule file with one service.
 *
 * @param name - the name of the service, which makes the file differ from others
 * @returns the rule file
 */
export function ruleFileFor(name: string): string {
  return `service ${name} port any slots 2 connections 16 ramp 0s drain 5s # Bench: ${name}\n`;
}

/** The host and availability zone of a node. */
export interface NodeLocation {
  readonly host: string;
  readonly zone: string;
}

/** Options of an in-process fleet. */
export interface InProcessFleetOptions {
  /** The number of nodes. */
  readonly nodes: number;
  /** The number of availability zones; nodes are assigned to them in turn. */
  readonly zones: number;
  /** The one-way delay of messages between availability zones, in milliseconds. */
  readonly zoneDelayMs: number;
  /** The seed of the first node; each later one gets the next number. */
  readonly seed: number;
  /** How long the log retains records, in milliseconds; one hour by default. */
  readonly retentionMs?: number;
  /** Services that replace those of the plug-ins. */
  readonly replacements?: Partial<Services>;
}

/** @returns bytes transferred over the loopback interface since boot, headers included */
export function loopbackBytes(): number {
  return Number(LOOPBACK_BYTES_PATTERN.exec(readFileSync('/proc/net/dev', 'utf8'))?.[1] ?? 0);
}

/** Runs many nodes in one process and simulates partitions and failures between them. */
export class InProcessFleet {
  readonly clock = new SystemClock();

  readonly log: MemoryLog;

  /** The running nodes by host. */
  readonly nodes = new Map<string, RunningNode>();

  /** Availability zones that can reach neither other zones nor the log. */
  readonly partitionedZones = new Set<string>();

  /** The version of the configuration appended last. */
  latestVersion = 0;

  /** The largest number of log requests that were open at the same time. */
  maxOpenLogRequests = 0;

  private openLogRequests = 0;

  private text = '';

  private readonly killedHosts = new Set<string>();

  private readonly silencedHosts = new Set<string>();

  private readonly unreachablePorts = new Set<number>();

  private readonly zoneOfPort = new Map<number, string>();

  private startedNodes = 0;

  /** @param options - sizes, delays and replaced services */
  constructor(private readonly options: InProcessFleetOptions) {
    this.log = new MemoryLog({
      clock: this.clock,
      retentionMs: options.retentionMs ?? RETENTION_MS,
      appendsPerSecond: APPENDS_PER_SECOND,
    });
  }

  /** Starts all nodes and waits until each one's membership view lists all nodes. */
  async start(): Promise<void> {
    for (const location of this.nodeLocations()) {
      await this.add(location);
    }
    await this.waitUntil(() => this.membershipConverged());
  }

  /** @returns the hosts and availability zones of the initial nodes */
  nodeLocations(): readonly NodeLocation[] {
    const { nodes, zones } = this.options;
    return Array.from({ length: nodes }, (_, index) => ({
      host: `host-${index}`,
      zone: `zone-${index % zones}`,
    }));
  }

  /**
   * Starts a node and adds it to the fleet.
   *
   * @param location - the host and availability zone of the node
   * @param peers - comma-separated addresses of nodes to contact when the log is unavailable
   * @returns the running node
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
   * Appends a configuration to the log, in the same form as an operator's publication.
   *
   * @param text - the rule file
   * @returns the version of the configuration
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
   * Appends a configuration and waits until every node enforces it.
   *
   * @param text - the rule file
   * @param latencies - records the time from append to enforcement of each node
   */
  async appendAndMeasure(text: string, latencies: LatencyHistogram): Promise<void> {
    const startMs = this.clock.monotonicMs();
    const awaitedVersion = this.latestVersion + 1;
    const enforcements = [...this.nodes.values()].map(
      ({ services }) =>
        new Promise<void>((resolve) => {
          const unsubscribe = services.versionStore.subscribe((state) => {
            if (state.version >= awaitedVersion) {
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
   * @param nodes - the nodes to check; all running nodes by default
   * @returns whether all of them enforce the version appended last
   */
  hasConverged(nodes: Iterable<RunningNode> = this.nodes.values()): boolean {
    return [...nodes].every(
      ({ services }) => services.versionStore.state?.version === this.latestVersion,
    );
  }

  /** @returns whether the membership view of every node has as many hosts as nodes are running */
  membershipConverged(): boolean {
    return [...this.nodes.values()].every(
      ({ services }) => services.fleet.present().length === this.nodes.size,
    );
  }

  /**
   * Waits until a condition holds.
   *
   * @param condition - the condition, polled at a fixed interval
   * @returns the elapsed time in milliseconds
   * @throws Error if the condition does not hold within a minute
   */
  async waitUntil(condition: () => boolean): Promise<number> {
    const startMs = this.clock.monotonicMs();
    while (!condition()) {
      if (this.clock.monotonicMs() - startMs > SETTLE_TIMEOUT_MS) {
        throw new Error('the fleet did not reach the expected state in time (SETTLE_TIMEOUT_MS)');
      }
      await this.clock.sleep(POLL_INTERVAL_MS);
    }
    return this.clock.monotonicMs() - startMs;
  }

  /**
   * Stops a node gracefully and removes it from the fleet.
   *
   * @param host - the host of the node
   */
  async remove(host: string): Promise<void> {
    const node = this.nodes.get(host);
    this.nodes.delete(host);
    await node?.stop();
  }

  /**
   * Closes the links of a node without announcing that it leaves, as a killed process does.
   *
   * @param host - the host of the node
   */
  kill(host: string): void {
    const node = this.nodes.get(host);
    this.nodes.delete(host);
    if (node !== undefined) {
      // Drops all messages that the node still sends while it shuts down.
      this.unreachablePorts.add(node.ports.peerPort);
      this.killedHosts.add(host);
      const { linkKeeper, peerListener } = node.services;
      Promise.all([linkKeeper.close(), peerListener.close()])
        .then(() => node.stop())
        .catch(() => undefined);
    }
  }

  /**
   * Drops all messages from and to a node without closing its connections.
   *
   * @param host - the host of the node
   */
  silence(host: string): void {
    const port = this.nodes.get(host)?.ports.peerPort;
    if (port !== undefined) {
      this.unreachablePorts.add(port);
      this.silencedHosts.add(host);
    }
  }

  /** Stops all nodes. */
  async stop(): Promise<void> {
    await Promise.all([...this.nodes.values()].map((node) => node.stop()));
  }

  /** Returns the log for nodes of a zone: it is unavailable while the zone is partitioned. */
  private logFor(zone: string): Log {
    const partitionFailure: LogFailure = {
      kind: LogFailureKind.Unavailable,
      message: 'the zone is partitioned',
    };
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
