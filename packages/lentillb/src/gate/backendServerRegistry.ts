/** Registers the backend servers of this host while their leases are valid. */
import { create } from '@bufbuild/protobuf';
import { BackendServerSchema, BackendServerState } from '@lentillb/protocol';
import { Pool } from 'undici';
import { AdmissionQueue } from '../calls/admissionQueue.js';
import { HeadLimitedClient } from '../calls/headLimitedClient.js';
import type { Services } from '../kernel/services.js';
import { EventKind } from '../timeline/event.js';

/** The states that a backend server can announce. */
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

/** A registered backend server with its lease, admission queue and connections. */
export interface LocalServer extends ServerAnnouncement {
  readonly readyAt: Date;
  /** The monotonic time at which the lease expires unless renewed, in milliseconds. */
  readonly leaseEndMs: number;
  readonly admission: AdmissionQueue;
  readonly pool: Pool;
}

/** The maximum number of calls that may wait for each slot of a backend server. */
const MAX_WAITING_PER_SLOT = 1;
/** The interval between checks for expired leases, in milliseconds. */
const LEASE_CHECK_INTERVAL_MS = 250;
/**
 * The time after which idle connections are closed, in milliseconds, well before the backend
 * server would close them.
 */
const KEEP_ALIVE_TIMEOUT_MS = 3_000;
const CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_CONNECTIONS = 64;

const protocolStates: Record<ServerState, BackendServerState> = {
  [ServerState.Ready]: BackendServerState.READY,
  [ServerState.Draining]: BackendServerState.DRAINING,
};

const stateEvents: Record<ServerState, EventKind> = {
  [ServerState.Ready]: EventKind.BackendServerAnnounced,
  [ServerState.Draining]: EventKind.BackendServerDraining,
};

type Dependencies = Pick<Services, 'announcer' | 'clock' | 'settings' | 'tableStore' | 'timeline'>;

function isSameAnnouncement(left: ServerAnnouncement, right: ServerAnnouncement): boolean {
  return (
    left.service === right.service &&
    left.address === right.address &&
    left.port === right.port &&
    left.slots === right.slots &&
    left.state === right.state
  );
}

/** Registers, renews and removes the backend servers of this host. */
export class BackendServerRegistry {
  private readonly servers = new Map<string, LocalServer>();

  private readonly services: Dependencies;

  constructor(services: Dependencies) {
    this.services = services;
  }

  /** @returns the backend servers with a valid lease */
  all(): readonly LocalServer[] {
    return [...this.servers.values()].filter((server) => this.isLeaseValid(server));
  }

  /**
   * @param id - the id of a backend server
   * @returns the backend server; undefined if it is unknown or its lease has expired
   */
  get(id: string): LocalServer | undefined {
    const server = this.servers.get(id);
    return server !== undefined && this.isLeaseValid(server) ? server : undefined;
  }

  /**
   * Registers a backend server, or renews its lease if the announcement is unchanged.
   *
   * @param announcement - the announcement of the backend server
   * @returns the registered backend server
   */
  announce(announcement: ServerAnnouncement): LocalServer {
    const { clock, settings, timeline } = this.services;
    const leaseEndMs = clock.monotonicMs() + settings.leaseMs;
    const existing = this.servers.get(announcement.id);
    if (existing !== undefined && isSameAnnouncement(existing, announcement)) {
      const renewed = { ...existing, leaseEndMs };
      this.servers.set(announcement.id, renewed);
      return renewed;
    }
    const addressChanged =
      existing !== undefined &&
      (existing.address !== announcement.address || existing.port !== announcement.port);
    if (addressChanged) {
      existing.pool.close();
    }
    const reusable = addressChanged ? undefined : existing;
    const server: LocalServer = {
      ...announcement,
      leaseEndMs,
      readyAt: reusable?.readyAt ?? clock.now(),
      pool: reusable?.pool ?? this.createPool(announcement),
      admission: reusable?.admission ?? this.createAdmission(announcement.id),
    };
    this.servers.set(announcement.id, server);
    timeline.record(stateEvents[announcement.state], {
      backendServer: announcement.id,
      service: announcement.service,
    });
    this.publish();
    return server;
  }

  /**
   * Removes a backend server. Calls in flight continue.
   *
   * @param id - the id of the backend server
   * @param detail - the reason for the removal
   * @returns whether the backend server was registered
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

  /**
   * Removes backend servers with an expired lease at every interval.
   *
   * @param signal - stops the checks when aborted
   */
  async removeExpired(signal: AbortSignal): Promise<void> {
    const { clock } = this.services;
    while (!signal.aborted) {
      await clock.sleep(LEASE_CHECK_INTERVAL_MS, signal);
      this.servers.forEach((server) => {
        if (!this.isLeaseValid(server)) {
          this.remove(server.id, 'its lease expired without a renewal');
        }
      });
    }
  }

  /** Closes all connections to backend servers. */
  async close(): Promise<void> {
    await Promise.all([...this.servers.values()].map(({ pool }) => pool.destroy()));
  }

  /**
   * Checks a lease at every use, because no periodic check runs while the process is paused: after
   * a pause an expired lease must not count as valid.
   */
  private isLeaseValid({ leaseEndMs }: LocalServer): boolean {
    return this.services.clock.monotonicMs() < leaseEndMs;
  }

  private createPool({ service, address, port }: ServerAnnouncement): Pool {
    const rule = this.services.tableStore.current?.service(service);
    return new Pool(`http://${address}:${port}`, {
      connections: rule?.connections ?? DEFAULT_CONNECTIONS,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
      factory: (origin, options) => new HeadLimitedClient(origin, options),
    });
  }

  private createAdmission(id: string): AdmissionQueue {
    return new AdmissionQueue(this.services.clock, () => {
      const slots = this.effectiveSlots(id);
      return { maxConcurrent: slots, maxWaiting: slots * MAX_WAITING_PER_SLOT };
    });
  }

  /** Returns the smaller of the announced slots and the slots that the rules allow. */
  private effectiveSlots(id: string): number {
    const server = this.servers.get(id);
    const rule = this.services.tableStore.current?.service(server?.service ?? '');
    return Math.min(server?.slots ?? 0, rule?.slots ?? Number.POSITIVE_INFINITY);
  }

  private publish(): void {
    const backendServers = this.all().map(({ id, service, state, readyAt }) =>
      create(BackendServerSchema, {
        id,
        service,
        slots: this.effectiveSlots(id),
        state: protocolStates[state],
        readyAtMs: BigInt(readyAt.getTime()),
      }),
    );
    this.services.announcer.announceBackendServers(backendServers);
  }
}
