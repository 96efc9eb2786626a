/* eslint-disable max-classes-per-file -- the nodes and the world that they run in refer to each other */
import fc from 'fast-check';
import { SeededRandomness } from 'lentillb';
import { decodeAnnouncement } from 'lentillb/directory/announcement.js';
import { EventClock } from 'lentillb/emulation/eventClock.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { Gossip } from 'lentillb/peers/gossip.js';
import { LocalBackendServer } from 'lentillb/serving/localBackendServer.js';
import { DepartureRestorer } from 'lentillb/sidecar/departureRestorer.js';
import { MeshState } from 'lentillb/sidecar/meshState.js';
import { StoreAnnouncer } from 'lentillb/sidecar/storeAnnouncer.js';
import { EraCheckedStore } from 'lentillb/store/eraCheckedStore.js';
import { StoreEraTracker } from 'lentillb/store/storeEraTracker.js';
import { runInBackground } from 'lentillb/utils/background.js';
import { Err, Ok } from 'ts-results-es';
import { expect, it } from 'vitest';
import { MemoryKeyedStore } from '../support/memoryKeyedStore.js';

const SEED = 23;
const DEFAULT_RUNS = 25;
/** The number of property-based runs; LENTILLB_MODEL_RUNS raises it for long runs. */
const RUNS = Number(process.env.LENTILLB_MODEL_RUNS ?? DEFAULT_RUNS);
const ZONES: Readonly<Record<string, string>> = { a1: 'a', a2: 'a', a3: 'a', b1: 'b', b2: 'b' };
const HOSTS = Object.keys(ZONES);
/** The port of the first host's node; those of the others follow. */
const FIRST_PORT = 7_001;
/** The time after its return within which the store must have every live host, in milliseconds. */
const RESTORE_MS = 2_000;
/** The time after which all nodes and the store must know every departure, in milliseconds. */
const SETTLE_MS = 9_000;

/** The control part of a node, on a network and a store in memory. */
class ControlNode {
  readonly era = new StoreEraTracker();

  readonly backendServer: LocalBackendServer;

  readonly state: MeshState;

  private readonly announcer: StoreAnnouncer;

  private readonly gossip: Gossip;

  private running = true;

  constructor(
    private readonly world: World,
    readonly host: string,
  ) {
    const { clock } = world;
    const zone = ZONES[host] as string;
    const randomness = new SeededRandomness(HOSTS.indexOf(host) + 1);
    const log = new DecisionLog(clock, { info: () => undefined, warn: () => undefined });
    const { era } = this;
    const store = new EraCheckedStore(world.store, era);
    this.backendServer = new LocalBackendServer(clock, () => this.announcer?.update());
    this.state = new MeshState(
      { clock, randomness, store, era, log },
      { host, zone, configurationKey: 'c', decodeConfiguration: () => Err('none') },
      {
        askPeers: () => this.gossip.learnFromPeers(),
        onHostsLoaded: () => this.startAnnouncing(),
        onStoreRead: () => this.gossip.broadcast(),
        onOwnRecord: ({ backendServer }) => {
          if (backendServer !== undefined) {
            this.backendServer.restore(backendServer, host);
          }
          this.announcer.update();
        },
      },
    );
    const { configuration, directory, role, status } = this.state;
    const peerAddress = `127.0.0.1:${FIRST_PORT + HOSTS.indexOf(host)}`;
    const identity = { host, zone, gateAddress: '127.0.0.1:1', peerAddress };
    this.announcer = new StoreAnnouncer(
      { clock, randomness, store, directory, log, era },
      identity,
      () => {
        const { announced } = this.backendServer;
        return announced && { backendServer: announced, interruptedRuns: [] };
      },
      (announcement) => this.state.isStored(announcement),
    );
    this.gossip = new Gossip(
      {
        clock,
        randomness,
        configuration,
        status,
        directory,
        role,
        era,
        log,
        gateLoad: () => undefined,
        transport: {
          send: (to, message) => {
            clock.after(1, () => world.nodeAt(to)?.gossip.receive(identity.peerAddress, message));
          },
        },
        fetchState: (from) => {
          const announcements = world.nodeAt(from)?.state.directory.announcements;
          return Promise.resolve(
            announcements === undefined ? Err('gone') : Ok({ change: undefined, announcements }),
          );
        },
      },
      identity,
      { onState: (state) => this.state.acceptState(state), onGateLoad: () => undefined },
    );
    this.restorer = new DepartureRestorer({ clock, store, directory, role, era, log }, zone);
    runInBackground(this.gossip.run());
    this.state.start();
  }

  readonly restorer: DepartureRestorer;

  get isRunning(): boolean {
    return this.running;
  }

  stop(): void {
    this.running = false;
    this.gossip.stop();
    this.state.stop();
  }

  private startAnnouncing(): void {
    this.backendServer.finishRestoring();
    this.announcer.start();
  }
}

/** The hosts, their backend servers and the store. */
class World {
  readonly clock = new EventClock();

  readonly store = new MemoryKeyedStore(this.clock);

  readonly nodes = new Map<string, ControlNode>();

  /** The backend servers whose departure was confirmed, by host. */
  readonly departed = new Set<string>();

  private sequence = 0;

  nodeAt(peerAddress: string): ControlNode | undefined {
    const port = Number(peerAddress.split(':')[1]);
    return this.nodes.get(HOSTS[port - FIRST_PORT] as string);
  }

  start(host: string): void {
    this.nodes.set(host, new ControlNode(this, host));
  }

  stop(host: string): void {
    this.nodes.get(host)?.stop();
    this.nodes.delete(host);
  }

  heartbeat(host: string, draining = false): void {
    if (!this.nodes.has(host) || (this.departed.has(host) && !draining)) {
      return;
    }
    if (draining) {
      this.departed.add(host);
    }
    this.sequence += 1;
    this.deliver(host, this.sequence, draining);
  }

  /** Delivers a heartbeat that a backend server sent before it drained. */
  deliverLateHeartbeat(host: string): void {
    this.deliver(host, 1, false);
  }

  private deliver(host: string, sequence: number, draining: boolean): void {
    this.nodes.get(host)?.backendServer.accept({
      id: `i-${host}`,
      service: 's',
      address: host,
      slots: 4,
      draining,
      warmupLeftMs: 0,
      sequence,
      startedAtMs: 1_000,
    });
    this.expectNoDepartedServerReady();
  }

  storedState(host: string): string | undefined {
    const value = this.store.newestValue(host);
    return value === undefined
      ? undefined
      : decodeAnnouncement(Buffer.from(value)).unwrap().backendServer?.state;
  }

  expectNoDepartedServerReady(): void {
    this.nodes.forEach(({ backendServer, host }) => {
      expect(this.departed.has(host) && backendServer.ready).toBe(false);
    });
  }
}

const hostIndex = fc.nat(HOSTS.length - 1);
const step = fc.oneof(
  fc.record({ kind: fc.constant('drain' as const), host: hostIndex }),
  fc.record({ kind: fc.constant('restart' as const), host: hostIndex }),
  fc.record({ kind: fc.constant('remove' as const), host: hostIndex }),
  fc.record({ kind: fc.constant('outage' as const), lost: fc.nat(6), forMs: fc.nat(1_500) }),
);

it('should undo no confirmed departure and lose no live host when the store goes back', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 1, maxLength: 5 }),
      fc.nat(2_000),
      async (steps, pauseMs) => {
        const world = new World();
        const { clock, store } = world;
        let nowMs = 0;
        const advance = async (durationMs: number): Promise<void> => {
          const endMs = nowMs + durationMs;
          while (nowMs < endMs) {
            nowMs = Math.min(endMs, nowMs + 500);
            await clock.runUntil(nowMs);
            HOSTS.forEach((host) => world.heartbeat(host));
            world.expectNoDepartedServerReady();
          }
        };
        HOSTS.forEach((host) => world.start(host));
        await advance(6_000);
        for (const one of steps) {
          if (one.kind === 'outage') {
            store.available = false;
            await advance(one.forMs);
            store.goBack(one.lost);
            store.available = true;
            await advance(RESTORE_MS);
            world.nodes.forEach(({ host }) => expect(world.storedState(host)).toBeDefined());
          } else if (one.kind === 'drain') {
            world.heartbeat(HOSTS[one.host] as string, true);
          } else if (one.kind === 'remove') {
            world.heartbeat(HOSTS[one.host] as string, true);
            await advance(1_500 + pauseMs);
            world.stop(HOSTS[one.host] as string);
          } else if (world.nodes.has(HOSTS[one.host] as string)) {
            world.stop(HOSTS[one.host] as string);
            await advance(pauseMs);
            world.start(HOSTS[one.host] as string);
            world.deliverLateHeartbeat(HOSTS[one.host] as string);
          }
          await advance(pauseMs + 1_500);
        }
        await advance(SETTLE_MS);
        world.departed.forEach((host) => {
          expect(world.storedState(host)).toBe('leaving');
          world.nodes.forEach(({ state }) => {
            expect(state.directory.announcementOf(host)?.backendServer?.state).toBe('leaving');
          });
        });
        [...world.nodes.keys()].forEach((host) => world.stop(host));
        await clock.runUntil(nowMs + 10_000);
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
});
