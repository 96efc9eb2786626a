/** Tracks the backend server on this host by its heartbeats. */
import type { Clock } from '../kernel/clock.js';
import type { AnnouncedBackendServer } from '../directory/announcement.js';
import { BackendServerState } from '../directory/announcement.js';
import { afterPendingInput } from '../utils/pendingInput.js';

/** A heartbeat of a backend server. */
export interface Heartbeat {
  readonly id: string;
  readonly service: string;
  /** The address and port that it listens on. */
  readonly address: string;
  readonly slots: number;
  readonly draining: boolean;
  /** The remaining warm-up time, in milliseconds. */
  readonly warmupLeftMs: number;
  /** The sequence number, which increases with each heartbeat of a run. */
  readonly sequence: number;
  /** The start of this run, in Unix milliseconds. */
  readonly startedAtMs: number;
  /** The version of the service that it runs; undefined if it states none. */
  readonly version?: string;
}

/** The possible effects of a heartbeat or a departure. */
export const HeartbeatEffect = {
  /** The announced state is unchanged. */
  Unchanged: 'unchanged',
  /** The backend server was replaced, or its announced state changed. */
  Changed: 'changed',
  /** A later heartbeat, or the departure of this run, arrived first. */
  Outdated: 'outdated',
} as const;
export type HeartbeatEffect = (typeof HeartbeatEffect)[keyof typeof HeartbeatEffect];

/**
 * The time after the start of this node within which a running backend server has sent a heartbeat, in
 * milliseconds: an interval of 1.5 s, and the second in which it must be acknowledged.
 */
const ASSUMPTION_TIMEOUT_MS = 2_500;

/** The sequence number of a restored run, lower than that of any real heartbeat. */
const ASSUMED_SEQUENCE = -1;

/**
 * The maximum delay of a heartbeat from a departed run, in milliseconds: two heartbeat intervals.
 */
const MAX_HEARTBEAT_DELAY_MS = 3_000;

interface Departure {
  /** The latest known start of the departed run, in Unix milliseconds. */
  readonly startedAtMs: number;
  /** The confirmation time, in Unix milliseconds; all runs that started earlier have departed. */
  readonly confirmedAtMs: number;
  /**
   * The time until which wall-clock time distinguishes a later run from an earlier run that this
   * node has not heard of, in milliseconds of the monotonic clock.
   */
  readonly clockTrustedUntilMs: number;
}

interface BackendServerRun {
  readonly heartbeat: Heartbeat;
  readonly state: BackendServerState;
  readonly warmUpEndsAtMs: number;
}

function isEarlierRun(heartbeat: Heartbeat, current: Heartbeat): boolean {
  return heartbeat.id === current.id
    ? heartbeat.startedAtMs < current.startedAtMs
    : heartbeat.startedAtMs < current.startedAtMs && current.startedAtMs > 0;
}

function isSameRun(heartbeat: Heartbeat, current: Heartbeat): boolean {
  return heartbeat.id === current.id && heartbeat.startedAtMs === current.startedAtMs;
}

/** Tracks the current run of the backend server and whether it accepts requests. */
export class LocalBackendServer {
  private run: BackendServerRun | undefined;

  /** Whether the departures that an earlier run of this node confirmed are still being looked up. */
  private restoring = true;

  /** The run that an earlier process of this node announced; undefined if none is known. */
  private inherited: Pick<Heartbeat, 'id' | 'startedAtMs'> | undefined;

  /** The confirmed departures by backend server identity. */
  private readonly departed = new Map<string, Departure>();

  /** The time from which heartbeats could arrive, in milliseconds of the monotonic clock. */
  private readonly listeningSinceMs: number;

  /**
   * @param clock - the clock for warm-up and time-outs
   * @param onChange - called after the announced state has changed
   */
  constructor(
    private readonly clock: Clock,
    private readonly onChange: () => void,
  ) {
    this.listeningSinceMs = clock.monotonicMs();
  }

  /** The last heartbeat of the current run, if any. */
  get heartbeat(): Heartbeat | undefined {
    return this.run?.heartbeat;
  }

  /** Whether requests may be sent to the backend server. */
  get ready(): boolean {
    return !this.restoring && this.run?.state === BackendServerState.Ready;
  }

  /**
   * Whether a heartbeat of the current run has arrived at this node. Until then, the run is known from
   * a record that may be older than a departure that this node confirmed before it was restarted.
   */
  get confirmed(): boolean {
    return this.run !== undefined && this.run.heartbeat.sequence !== ASSUMED_SEQUENCE;
  }

  /** Whether the backend server is still warming up. */
  get warmingUp(): boolean {
    return this.run !== undefined && this.clock.monotonicMs() < this.run.warmUpEndsAtMs;
  }

  /** Whether an earlier process of this node may have sent requests to the current run. */
  get isInherited(): boolean {
    const current = this.run?.heartbeat;
    return (
      current !== undefined &&
      this.inherited !== undefined &&
      current.id === this.inherited.id &&
      current.startedAtMs === this.inherited.startedAtMs
    );
  }

  /** The state to announce to other nodes; undefined before the first heartbeat. */
  get announced(): AnnouncedBackendServer | undefined {
    if (this.run === undefined) {
      return undefined;
    }
    const { heartbeat, state } = this.run;
    const { id, service, slots, startedAtMs, version } = heartbeat;
    return { id, service, slots, startedAtMs, state, ...(version && { version }) };
  }

  /**
   * Processes a heartbeat.
   *
   * @param heartbeat - the heartbeat that arrived
   * @returns the effect of the heartbeat
   */
  accept(heartbeat: Heartbeat): HeartbeatEffect {
    const current = this.run;
    if (this.isOutdated(heartbeat)) {
      return HeartbeatEffect.Outdated;
    }
    const state = heartbeat.draining ? BackendServerState.Leaving : BackendServerState.Ready;
    if (heartbeat.draining) {
      this.recordDeparture(heartbeat.id, heartbeat.startedAtMs, heartbeat.startedAtMs);
    }
    const warmUpEndsAtMs = this.clock.monotonicMs() + heartbeat.warmupLeftMs;
    this.run = { heartbeat, state, warmUpEndsAtMs };
    const changed =
      current === undefined ||
      !isSameRun(heartbeat, current.heartbeat) ||
      current.state !== state ||
      current.heartbeat.slots !== heartbeat.slots ||
      current.heartbeat.service !== heartbeat.service ||
      current.heartbeat.version !== heartbeat.version;
    if (changed) {
      this.onChange();
    }
    return changed ? HeartbeatEffect.Changed : HeartbeatEffect.Unchanged;
  }

  /**
   * Records that a backend server has departed for good.
   *
   * @param id - the identity of the backend server
   * @returns the effect of the departure
   */
  markDeparted(id: string): HeartbeatEffect {
    const current = this.run;
    const isKnown = current !== undefined && current.heartbeat.id === id;
    // The run may be unknown to this node; its delayed heartbeat must not open the gate.
    const startedAtMs = isKnown ? current.heartbeat.startedAtMs : -Infinity;
    this.recordDeparture(id, startedAtMs, this.clock.now().getTime());
    return isKnown ? this.markLeaving(current) : HeartbeatEffect.Unchanged;
  }

  /**
   * Restores the state that this node announced before a restart. A backend server that was ready
   * gets requests that may be repeated at once, because heartbeats are seconds apart, and the others
   * from its first heartbeat on. If none arrives in time, it is marked as leaving.
   *
   * @param announced - the backend server as it was announced
   * @param address - the address and port of the backend server on this host
   */
  restore(announced: AnnouncedBackendServer, address: string): void {
    this.inherited = announced;
    if (announced.state === BackendServerState.Ready && this.run === undefined) {
      this.assumeReady(announced, address);
      return;
    }
    if (announced.state !== BackendServerState.Ready) {
      this.recordDeparture(announced.id, announced.startedAtMs, announced.startedAtMs);
      if (this.run !== undefined && this.run.heartbeat.id === announced.id) {
        this.markDeparted(announced.id);
      }
    }
  }

  /**
   * Allows requests from now on. Until the departures confirmed before a restart are known, a delayed
   * heartbeat could make a backend server ready that has already departed.
   */
  finishRestoring(): void {
    if (this.restoring) {
      this.restoring = false;
      this.onChange();
    }
  }

  /**
   * Records that the current run stated in an answer that it is leaving. Its heartbeats may say so
   * later, or never.
   *
   * @param id - the identity of the run that stated it
   * @returns the effect of the statement
   */
  recordStatedDeparture(id: string): HeartbeatEffect {
    const current = this.run;
    if (current === undefined || current.heartbeat.id !== id) {
      return HeartbeatEffect.Outdated;
    }
    const { startedAtMs } = current.heartbeat;
    this.recordDeparture(id, startedAtMs, startedAtMs);
    return this.markLeaving(current);
  }

  /** Closes the gate because another backend server uses the address; a heartbeat reopens it. */
  recordMisdirectedRequest(): void {
    if (this.run !== undefined) {
      this.markLeaving(this.run);
    }
  }

  private assumeReady(announced: AnnouncedBackendServer, address: string): void {
    const { id, service, slots, startedAtMs, version } = announced;
    if (this.hasDeparted(id, startedAtMs)) {
      return;
    }
    const assumed: Heartbeat = {
      id,
      service,
      address,
      slots,
      draining: false,
      warmupLeftMs: 0,
      sequence: ASSUMED_SEQUENCE,
      startedAtMs,
      version,
    };
    this.run = { heartbeat: assumed, state: BackendServerState.Ready, warmUpEndsAtMs: -Infinity };
    this.onChange();
    const listenedMs = this.clock.monotonicMs() - this.listeningSinceMs;
    afterPendingInput(this.clock, Math.max(0, ASSUMPTION_TIMEOUT_MS - listenedMs), () => {
      if (this.run?.heartbeat === assumed) {
        this.markLeaving(this.run);
      }
    });
  }

  private markLeaving(current: BackendServerRun): HeartbeatEffect {
    if (current.state === BackendServerState.Leaving) {
      return HeartbeatEffect.Unchanged;
    }
    this.run = { ...current, state: BackendServerState.Leaving };
    this.onChange();
    return HeartbeatEffect.Changed;
  }

  private recordDeparture(id: string, startedAtMs: number, confirmedAtMs: number): void {
    const previous = this.departed.get(id);
    this.departed.set(id, {
      startedAtMs: Math.max(startedAtMs, previous?.startedAtMs ?? -Infinity),
      confirmedAtMs: Math.max(confirmedAtMs, previous?.confirmedAtMs ?? -Infinity),
      clockTrustedUntilMs: this.clock.monotonicMs() + MAX_HEARTBEAT_DELAY_MS,
    });
  }

  private hasDeparted(id: string, startedAtMs: number): boolean {
    const departure = this.departed.get(id);
    if (departure === undefined) {
      return false;
    }
    // The wall clock may be wrong, so a run that keeps sending heartbeats is accepted in the end.
    const isClockTrusted = this.clock.monotonicMs() < departure.clockTrustedUntilMs;
    return startedAtMs <= (isClockTrusted ? departure.confirmedAtMs : departure.startedAtMs);
  }

  private isOutdated(heartbeat: Heartbeat): boolean {
    if (this.hasDeparted(heartbeat.id, heartbeat.startedAtMs)) {
      // The run announced its departure, so only further draining heartbeats are accepted.
      return !(heartbeat.draining && this.run?.heartbeat.id === heartbeat.id);
    }
    const current = this.run?.heartbeat;
    if (current === undefined) {
      return false;
    }
    return isSameRun(heartbeat, current)
      ? heartbeat.sequence <= current.sequence
      : isEarlierRun(heartbeat, current);
  }
}
