/** Simulates a fleet during a rollout, in simulated time and without a network. */
import { Outcome } from 'lentillb/calls/callHeaders.js';
import type { Announcement } from 'lentillb/directory/announcement.js';
import { Directory } from 'lentillb/directory/directory.js';
import type { GateEndpoint } from 'lentillb/directory/directory.js';
import { EventClock } from 'lentillb/emulation/eventClock.js';
import { SeededRandomness } from 'lentillb/kernel/randomness.js';
import type { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { rankControllers } from 'lentillb/rollouts/controllerRanking.js';
import { Rollouts } from 'lentillb/rollouts/rollouts.js';
import type { ForwardedRequest, GateReply } from 'lentillb/serving/messages.js';
import { runInBackground } from 'lentillb/utils/background.js';
import { Ok } from 'ts-results-es';
import type { GuardedGate } from 'lentillb/rollouts/versionGate.js';
import { MemoryStatusStore } from './memoryStatusStore.js';

export const SERVICE = 'lodge';
const ZONES = ['a', 'b', 'c'];
const LINK_MS = 2;
const ATTEMPTS = 3;

/** What a backend server does with a request. */
export interface Behaviour {
  readonly status: number;
  readonly serviceMs: number;
}

/** The circumstances of a request. */
export interface ServedRequest {
  readonly version: string;
  readonly host: string;
  readonly route: string;
  readonly inFlight: number;
  /** The time since the start of the fleet, in milliseconds. */
  readonly atMs: number;
  /** A random number from 0 to 1. */
  readonly draw: number;
}

interface FleetNode {
  readonly announcement: Announcement;
  readonly rollouts: Rollouts;
  readonly gate: GuardedGate;
  /** Nodes reach those of the same group only. */
  group: number;
  alive: boolean;
  inFlight: number;
}

/** The requests of the service that ran, and those that were refused. */
export interface FleetCounts {
  readonly runs: {
    readonly host: string;
    readonly version: string;
    readonly atMs: number;
    readonly bad: boolean;
  }[];
  refused: number;
}

export class RolloutFleet {
  readonly clock = new EventClock();

  readonly store = new MemoryStatusStore(this.clock);

  readonly counts: FleetCounts = { runs: [], refused: 0 };

  private readonly randomness: SeededRandomness;

  private readonly nodes = new Map<string, FleetNode>();

  private orders = 0;

  constructor(
    private readonly behave: (request: ServedRequest) => Behaviour,
    { base = 8, seed = 7, target = 8 } = {},
  ) {
    this.randomness = new SeededRandomness(seed);
    const versions = [...Array<string>(base).fill('v1'), ...Array<string>(target).fill('v2')];
    const announcements = versions.map((version, index): Announcement => {
      const host = `10.0.0.${index + 1}`;
      const startedAtMs = version === 'v1' ? 1_000 : 50_000;
      return {
        host,
        zone: ZONES[index % ZONES.length] ?? 'a',
        gateAddress: `${host}:1`,
        peerAddress: `${host}:2`,
        incarnation: 1,
        sequence: 1,
        backendServer: {
          id: host,
          service: SERVICE,
          slots: 9,
          state: 'ready',
          startedAtMs,
          version,
        },
      };
    });
    announcements.forEach((announcement) => this.add(announcement, announcements, seed));
  }

  /** Hosts that control the rollout, by rank. */
  get controllers(): readonly string[] {
    const announcements = [...this.nodes.values()].map((node) => node.announcement);
    return rankControllers(announcements, SERVICE).map(({ host }) => host);
  }

  /** The share of all requests that ran on the target version until a time. */
  exposed(untilMs = Infinity): { readonly target: number; readonly bound: number } {
    const runs = this.counts.runs.filter(({ atMs }) => atMs <= untilMs);
    const target = runs.filter(({ version }) => version === 'v2').length;
    return { target, bound: runs.length * 0.1 + 50 };
  }

  order(targetVersion: string, duration: number): void {
    this.orders += 1;
    const value = Buffer.from(
      JSON.stringify({ service: SERVICE, targetVersion, durationMs: duration }),
    );
    const record = { key: `rollout/${SERVICE}`, value, offset: this.orders };
    this.controllers.forEach((host) => this.nodes.get(host)?.rollouts.acceptRecords([record]));
  }

  setGroup(host: string, group: number): void {
    this.node(host).group = group;
  }

  kill(host: string): void {
    const node = this.node(host);
    node.alive = false;
    node.rollouts.stop();
  }

  /** Sends a request to a gate, whatever the rules of entries are; returns whether it has run. */
  async runsAt(host: string): Promise<boolean> {
    const request = { service: SERVICE, route: 'get', requestId: '' } as ForwardedRequest;
    const reply = this.node(host).gate.serve(request);
    await this.clock.runUntil(this.clock.monotonicMs() + 100);
    return (await reply).result.isOk();
  }

  /** Sends requests at a rate until a time; returns once it has come. */
  async load(perSecond: number, untilMs: number, routes = ['get', 'put']): Promise<void> {
    let index = 0;
    for (let atMs = this.clock.monotonicMs(); atMs < untilMs; atMs += 1_000 / perSecond) {
      const route = routes[index % routes.length] ?? '';
      index += 1;
      this.clock.after(atMs - this.clock.monotonicMs(), () => runInBackground(this.request(route)));
    }
    await this.clock.runUntil(untilMs);
  }

  private node(host: string): FleetNode {
    const node = this.nodes.get(host);
    if (node === undefined) {
      throw new Error(`no host ${host}`);
    }
    return node;
  }

  private reaches(from: string, to: string): boolean {
    const [left, right] = [this.node(from), this.node(to)];
    return left.alive && right.alive && left.group === right.group;
  }

  private add(announcement: Announcement, all: readonly Announcement[], seed: number): void {
    const { host, peerAddress } = announcement;
    const directory = new Directory();
    all.forEach((one) => directory.merge(one));
    const { clock } = this;
    const rollouts = new Rollouts(
      {
        clock,
        randomness: new SeededRandomness(seed * 1_000 + this.nodes.size),
        log: { record: () => undefined } as unknown as DecisionLog,
        metrics: new MetricsRegistry(),
        directory,
        statusStore: this.store,
        backendServer: { heartbeat: announcement.backendServer, warmingUp: false },
        send: (address, bytes) => {
          const to = address.split(':')[0] ?? '';
          if (this.reaches(host, to)) {
            clock.after(LINK_MS, () => this.node(to).rollouts.receive(peerAddress, bytes));
          }
        },
        isSilent: (other) => !this.reaches(host, other),
        isLeaving: () => false,
        onIntroduced: () => undefined,
        reject: (_, reason) => {
          throw new Error(reason);
        },
      },
      announcement,
      {
        keyPrefix: 'rollout/',
        decodeOrder: (bytes) => Ok(JSON.parse(Buffer.from(bytes).toString('utf8'))),
      },
    );
    const gate = rollouts.guard({ serve: (request) => this.run(host, request) });
    this.nodes.set(host, { announcement, rollouts, gate, group: 0, alive: true, inFlight: 0 });
    rollouts.acceptRecords([]);
    rollouts.start();
  }

  private async run(host: string, { route }: ForwardedRequest): Promise<GateReply> {
    const node = this.node(host);
    const version = node.announcement.backendServer?.version ?? '';
    const atMs = this.clock.monotonicMs();
    node.inFlight += 1;
    const draw = this.randomness.fraction();
    const { inFlight } = node;
    const { serviceMs, status } = this.behave({ version, host, route, inFlight, atMs, draw });
    this.counts.runs.push({ host, version, atMs, bad: status >= 500 });
    await this.clock.sleep(serviceMs);
    node.inFlight -= 1;
    return {
      result: Ok({ status, headers: {}, body: Buffer.alloc(0) }),
      report: { load: 0, serviceMs },
    };
  }

  private async request(route: string): Promise<void> {
    const alive = [...this.nodes.values()].filter((node) => node.alive);
    const entry = alive[this.randomness.integer(alive.length)] as FleetNode;
    const { host } = entry.announcement;
    const routed = { request: { service: SERVICE }, transmissions: 0 };
    const excluded = new Set<string>();
    const endpoints = this.endpointsOf();
    for (; routed.transmissions < ATTEMPTS; routed.transmissions += 1) {
      const candidates = entry.rollouts
        .filter(routed, endpoints)
        .filter((one) => !excluded.has(one.host) && this.reaches(host, one.host));
      const chosen = candidates[this.randomness.integer(Math.max(1, candidates.length))];
      if (chosen === undefined) {
        break;
      }
      const request = { service: SERVICE, route, requestId: '' } as ForwardedRequest;
      const { result } = await this.node(chosen.host).gate.serve(request);
      if (result.isOk() || result.error.outcome !== Outcome.NotRun) {
        return;
      }
      excluded.add(chosen.host);
    }
    this.counts.refused += 1;
  }

  private endpointsOf(): readonly GateEndpoint[] {
    return [...this.nodes.values()].map(({ announcement }) => announcement as GateEndpoint);
  }
}
