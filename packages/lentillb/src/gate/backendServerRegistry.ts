/** The backend servers of this host: what they announced, and for how long it holds. */
import { create } from '@bufbuild/protobuf';
import { BackendServerSchema, BackendServerState } from '@lentillb/protocol';
import { Pool } from 'undici';
import { AdmissionQueue } from '../calls/admissionQueue.js';
import { BoundedClient } from '../calls/boundedClient.js';
import type { Services } from '../kernel/services.js';
import { EventKind } from '../timeline/event.js';

/** What a backend server can say of itself. */
export const ServerState = { Ready: 'ready', Draining: 'draining' } as const;
export type ServerState = (typeof ServerState)[keyof typeof ServerState];

/** What a backend server announces to the node of its host. */
export interface ServerAnnouncement {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly slots: number;
  readonly state: ServerState;
}

/** A backend server of this host. */
export interface LocalServer extends ServerAnnouncement {
  readonly readyAt: Date;
  /** When the announcement lapses unless renewed, in monotonic milliseconds. */
  readonly leaseEndMs: number;
  readonly admission: AdmissionQueue;
  readonly pool: Pool;
}

/** How many calls may wait for each slot of a backend server. */
const QUEUE_PER_SLOT = 1;
/** How often lapsed announcements are looked for, in milliseconds. */
const SWEEP_INTERVAL_MS = 250;
/** Idle connections are closed well before the backend server would close them, in milliseconds. */
const KEEP_ALIVE_MS = 3_000;
const CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_CONNECTIONS = 64;

const wireStates: Record<ServerState, BackendServerState> = {
  [ServerState.Ready]: BackendServerState.READY,
  [ServerState.Draining]: BackendServerState.DRAINING,
};

const stateEvents: Record<ServerState, EventKind> = {
  [ServerState.Ready]: EventKind.BackendServerAnnounced,
  [ServerState.Draining]: EventKind.BackendServerDraining,
};

type Needs = Pick<Services, 'announcer' | 'clock' | 'settings' | 'tableStore' | 'timeline'>;

function sameAnnouncement(left: ServerAnnouncement, right: ServerAnnouncement): boolean {
  return (
    left.service === right.service &&
    left.address === right.address &&
    left.port === right.port &&
    left.slots === right.slots &&
    left.state === right.state
  );
}

/** Keeps the backend servers of this host. */
export class BackendServerRegistry {
  private readonly servers = new Map<string, LocalServer>();

  private readonly services: Needs;

  constructor(services: Needs) {
    this.services = services;
  }

  /** @returns the backend servers whose announcement holds */
  all(): readonly LocalServer[] {
    return [...this.servers.values()].filter((server) => this.holds(server));
  }

  /**
   * @param id - the id of a backend server
   * @returns the backend server, where its announcement holds
   */
  get(id: string): LocalServer | undefined {
    const server = this.servers.get(id);
    return server !== undefined && this.holds(server) ? server : undefined;
  }

  /**
   * Takes an announcement, or its renewal.
   *
   * @param announced - what the backend server says
   * @returns the backend server as it is kept
   */
  announce(announced: ServerAnnouncement): LocalServer {
    const { clock, settings, timeline } = this.services;
    const leaseEndMs = clock.monotonicMs() + settings.leaseMs;
    const held = this.servers.get(announced.id);
    if (held !== undefined && sameAnnouncement(held, announced)) {
      const renewed = { ...held, leaseEndMs };
      this.servers.set(announced.id, renewed);
      return renewed;
    }
    const moved =
      held !== undefined && (held.address !== announced.address || held.port !== announced.port);
    if (moved) {
      held.pool.close();
    }
    const kept = moved ? undefined : held;
    const server: LocalServer = {
      ...announced,
      leaseEndMs,
      readyAt: kept?.readyAt ?? clock.now(),
      pool: kept?.pool ?? this.connect(announced),
      admission: kept?.admission ?? this.createAdmission(announced.id),
    };
    this.servers.set(announced.id, server);
    timeline.record(stateEvents[announced.state], {
      backendServer: announced.id,
      service: announced.service,
    });
    this.publish();
    return server;
  }

  /**
   * Takes a backend server out. Calls in flight go on.
   *
   * @param id - the id of the backend server
   * @param detail - why it is gone
   * @returns whether it was there
   */
  remove(id: string, detail: string): boolean {
    const server = this.servers.get(id);
    if (server === undefined) {
      return false;
    }
    this.servers.delete(id);
    server.pool.close();
    this.services.timeline.record(EventKind.BackendServerGone, {
      backendServer: id,
      service: server.service,
      detail,
    });
    this.publish();
    return true;
  }

  /** @param signal - ends the sweeping */
  async sweep(signal: AbortSignal): Promise<void> {
    const { clock } = this.services;
    while (!signal.aborted) {
      await clock.sleep(SWEEP_INTERVAL_MS, signal);
      this.servers.forEach((server) => {
        if (!this.holds(server)) {
          this.remove(server.id, 'its lease lapsed without a renewal');
        }
      });
    }
  }

  /** Closes all connections to backend servers. */
  async close(): Promise<void> {
    await Promise.all([...this.servers.values()].map(({ pool }) => pool.destroy()));
  }

  /** A lease is checked when it is used: a paused process must not believe in it. */
  private holds({ leaseEndMs }: LocalServer): boolean {
    return this.services.clock.monotonicMs() < leaseEndMs;
  }

  private connect({ service, address, port }: ServerAnnouncement): Pool {
    const rule = this.services.tableStore.current?.service(service);
    return new Pool(`http://${address}:${port}`, {
      connections: rule?.connections ?? DEFAULT_CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      factory: (origin, options) => new BoundedClient(origin, options),
    });
  }

  private createAdmission(id: string): AdmissionQueue {
    return new AdmissionQueue(this.services.clock, () => {
      const places = this.slotsOf(id);
      return { places, queue: places * QUEUE_PER_SLOT };
    });
  }

  /** The fewer of the slots announced and those the rules allow. */
  private slotsOf(id: string): number {
    const server = this.servers.get(id);
    const rule = this.services.tableStore.current?.service(server?.service ?? '');
    return Math.min(server?.slots ?? 0, rule?.slots ?? Number.POSITIVE_INFINITY);
  }

  private publish(): void {
    const backendServers = this.all().map(({ id, service, state, readyAt }) =>
      create(BackendServerSchema, {
        id,
        service,
        slots: this.slotsOf(id),
        state: wireStates[state],
        readyAtMs: BigInt(readyAt.getTime()),
      }),
    );
    this.services.announcer.announceBackendServers(backendServers);
  }
}
