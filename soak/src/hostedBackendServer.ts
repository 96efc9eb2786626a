/** Runs the backend server of one host, replaces it and reports it to the node. */
import { heartbeatDocument } from '@lentillb/standins';
import type { Relay } from '@lentillb/standins';
import { request } from 'undici';
import { runInBackground } from 'lentillb/sidecar';
import { Bounds } from './platformDocuments.js';
import { SoakBackendServer } from './soakBackendServer.js';
import type { SoakServices } from './soakBackendServer.js';
import type { HostOptions } from './soakHost.js';
import { DisturbanceKind } from './soakRecord.js';

/** The host, the addresses of the relay at which its node finds the backend server, and for heartbeats. */
type HostedServerOptions = Pick<HostOptions, 'index' | 'service' | 'slots' | 'zone'> &
  Readonly<Record<'address' | 'controlAddress', string>>;

const HEARTBEAT_MS = 300;
/** The maximum duration of a call to the node's control address. */
const CONTROL_TIMEOUT_MS = 1_500;
/**
 * The time for which a departed backend server keeps listening, to record requests that still reach
 * it.
 */
const CLOSE_DELAY_MS = Bounds.drainMs + 2_000;
/** The request limit that a backend server states, about a quarter of what it gets otherwise. */
const LIMIT_PER_SECOND = 6;
/** The time after which a backend server that ended is replaced, in milliseconds. */
const REPLACEMENT_DELAY_MS = 800;

/** The backend server of a host, and those that it replaced. */
export class HostedBackendServer {
  /** The address and port that the last backend server listens on. */
  address = '';

  private current: SoakBackendServer | undefined;

  private heartbeatSequence = 0;

  private startedCount = 0;

  private closed = false;

  /** All backend servers so far; an overlapping fault may replace one that nothing else closes. */
  private readonly started: SoakBackendServer[] = [];

  /**
   * @param services - the clock, the record and the source of random numbers
   * @param options - what the backend server is, and the addresses around it
   * @param relay - forwards connections to the backend server
   */
  constructor(
    private readonly services: SoakServices,
    private readonly options: HostedServerOptions,
    private readonly relay: Relay,
  ) {}

  /** Starts a backend server in place of the present one, if any. */
  async start(): Promise<void> {
    const { index, service } = this.options;
    this.startedCount += 1;
    const started = new SoakBackendServer(
      this.services,
      { id: `b-${index}-${this.startedCount}`, service, host: index },
      () => runInBackground(this.endBackendServer(started)),
    );
    this.started.push(started);
    await started.listen();
    this.address = started.address;
    this.current = started;
  }

  /** Closes the backend server without notice to the node and replaces it at once. */
  async replace(): Promise<void> {
    const { current } = this;
    await this.start();
    await current?.close();
  }

  /** Drains the backend server, reports its departure to the node, and replaces it. */
  async release(): Promise<void> {
    const { current } = this;
    if (current === undefined) {
      return;
    }
    current.draining = true;
    await this.sendHeartbeat(current);
    const isConfirmed = await this.callControlAddress('DELETE', current.id);
    const confirmedAtMs = isConfirmed ? this.services.clock.monotonicMs() : undefined;
    await this.replaceDeparted(current, () => confirmedAtMs);
  }

  /**
   * Lets the backend server do something for a while.
   *
   * @param behaviour - whether a few requests run far longer than usual, or some answers are spoiled
   * @param durationMs - for how long, in milliseconds
   */
  async behave(behaviour: 'hasLongRuns' | 'hasSpoiledAnswers', durationMs: number): Promise<void> {
    const { current } = this;
    if (current !== undefined) {
      current[behaviour] = true;
      await this.services.clock.sleep(durationMs);
      current[behaviour] = false;
    }
  }

  /**
   * Lets the backend server state a request limit for a while.
   *
   * @param durationMs - for how long, in milliseconds
   */
  async stateLimit(durationMs: number): Promise<void> {
    const { current } = this;
    if (current === undefined) {
      return;
    }
    const { clock, record } = this.services;
    current.stateLimit(LIMIT_PER_SECOND);
    await clock.sleep(durationMs);
    current.stateLimit(undefined);
    record.limitPeriods.push({
      host: this.options.index,
      backendServerId: current.id,
      perSecond: LIMIT_PER_SECOND,
      fromMs: current.statedAtMs ?? Infinity,
      untilMs: clock.monotonicMs(),
    });
  }

  /** Lets the backend server leave without a word but in its answers, and replaces it. */
  async leaveByStatement(): Promise<void> {
    const { current } = this;
    if (current === undefined) {
      return;
    }
    current.stateDeparture();
    await this.replaceDeparted(current, () => current.statedAtMs);
  }

  /** Replaces a backend server once it has listened for a while after its departure. */
  private async replaceDeparted(
    departed: SoakBackendServer,
    confirmedAtMs: () => number | undefined,
  ): Promise<void> {
    const { clock, record } = this.services;
    await clock.sleep(CLOSE_DELAY_MS);
    const atMs = confirmedAtMs();
    if (atMs !== undefined) {
      const { index: host } = this.options;
      record.departures.push({ host, backendServerId: departed.id, confirmedAtMs: atMs });
    }
    await this.start();
    await departed.close();
  }

  /** Ends a backend server at once, and replaces it after a while. */
  private async endBackendServer(running: SoakBackendServer): Promise<void> {
    if (this.current !== running || this.closed) {
      return;
    }
    const { clock, record } = this.services;
    const fromMs = clock.monotonicMs();
    this.current = undefined;
    this.relay.close();
    await running.close();
    await clock.sleep(REPLACEMENT_DELAY_MS);
    record.disturbances.push({
      kind: DisturbanceKind.Failure,
      host: this.options.index,
      fromMs,
      untilMs: clock.monotonicMs(),
    });
    if (!this.closed) {
      await this.relay.listen(this.options.address);
    }
    // An overlapping fault may have replaced it.
    if (!this.closed && this.current === undefined) {
      await this.start();
    }
  }

  /** Reports the backend server to the node until it is closed. */
  async sendHeartbeats(): Promise<void> {
    while (!this.closed) {
      if (this.current !== undefined) {
        await this.sendHeartbeat(this.current);
      }
      await this.services.clock.sleep(HEARTBEAT_MS);
    }
  }

  private async sendHeartbeat(backendServer: SoakBackendServer): Promise<void> {
    const { service, slots, zone } = this.options;
    this.heartbeatSequence += 1;
    const body = heartbeatDocument({
      service,
      zone,
      address: this.options.address,
      capacity: slots,
      state: backendServer.draining ? 'draining' : 'ready',
      sequence: this.heartbeatSequence,
      born: backendServer.startedAt.getTime(),
    });
    await this.callControlAddress('PUT', backendServer.id, body);
  }

  /** Calls the node's control address; a failed call is not retried before the next heartbeat. */
  private async callControlAddress(
    method: 'PUT' | 'DELETE',
    id: string,
    body?: string,
  ): Promise<boolean> {
    try {
      const answer = await request(`http://${this.options.controlAddress}/instances/${id}`, {
        method,
        body,
        signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  /** Closes all backend servers. */
  async close(): Promise<void> {
    this.closed = true;
    await Promise.all(this.started.map((backendServer) => backendServer.close()));
  }
}
