/** The backend server beside this node, as its heartbeats describe it. */
import type { Clock } from '../kernel/clock.js';
import type { AnnouncedBackendServer } from '../directory/announcement.js';
import { BackendServerState } from '../directory/announcement.js';

/** One heartbeat of a backend server. */
export interface Heartbeat {
  readonly id: string;
  readonly service: string;
  /** Where it listens, as address and port. */
  readonly address: string;
  readonly slots: number;
  readonly draining: boolean;
  /** How much longer it is slow after its start, in milliseconds. */
  readonly warmupLeftMs: number;
  /** Rises from heartbeat to heartbeat of one run. */
  readonly sequence: number;
  /** When this run started, in Unix milliseconds. */
  readonly startedAtMs: number;
}

/** What a heartbeat or a departure meant. */
export const HeartbeatVerdict = {
  /** The state that others see is unchanged. */
  Unchanged: 'unchanged',
  /** The backend server, or what it says of itself, changed. */
  Changed: 'changed',
  /** A later heartbeat, or the departure of this run, came before it. */
  Outdated: 'outdated',
} as const;
export type HeartbeatVerdict = (typeof HeartbeatVerdict)[keyof typeof HeartbeatVerdict];

/** How long an announced run is taken to be there without a heartbeat, in milliseconds: longer than two. */
const ASSUMPTION_TIMEOUT_MS = 3_200;

/** Lower than every sequence of a real heartbeat. */
const ASSUMED_SEQUENCE = -1;

/** How late a heartbeat of a run that left may still arrive, in milliseconds: two heartbeats. */
const MAX_HEARTBEAT_DELAY_MS = 3_000;

interface Departure {
  /** The start of the run that left, as far as this node heard of it, in Unix milliseconds. */
  readonly startedAtMs: number;
  /** When it was confirmed, in Unix milliseconds: no run that started earlier is still there. */
  readonly confirmedAtMs: number;
  /** Until when the time of day is trusted to tell a later run from one not heard of. */
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

/** Knows which run of the backend server is current, and whether it takes requests. */
export class LocalBackendServer {
  private run: BackendServerRun | undefined;

  /** Departures that were confirmed, by identity. */
  private readonly departed = new Map<string, Departure>();

  /**
   * @param clock - the clock that warming up goes by
   * @param onChange - called after what others see changed
   */
  constructor(
    private readonly clock: Clock,
    private readonly onChange: () => void,
  ) {}

  /** The current run's last heartbeat, if any. */
  get heartbeat(): Heartbeat | undefined {
    return this.run?.heartbeat;
  }

  /** Whether requests may be sent to it. */
  get ready(): boolean {
    return this.run?.state === BackendServerState.Ready;
  }

  /** Whether it is still slow after its start. */
  get cold(): boolean {
    return this.run !== undefined && this.clock.monotonicMs() < this.run.warmUpEndsAtMs;
  }

  /** What others are told of it. */
  get announced(): AnnouncedBackendServer | undefined {
    if (this.run === undefined) {
      return undefined;
    }
    const { heartbeat, state } = this.run;
    const { id, service, slots, startedAtMs } = heartbeat;
    return { id, service, slots, startedAtMs, state };
  }

  /**
   * Takes a heartbeat in.
   *
   * @param heartbeat - what the backend server said
   * @returns what it meant
   */
  accept(heartbeat: Heartbeat): HeartbeatVerdict {
    const current = this.run;
    if (this.isOutdated(heartbeat)) {
      return HeartbeatVerdict.Outdated;
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
      current.heartbeat.service !== heartbeat.service;
    if (changed) {
      this.onChange();
    }
    return changed ? HeartbeatVerdict.Changed : HeartbeatVerdict.Unchanged;
  }

  /**
   * Notes that a backend server leaves for good.
   *
   * @param id - its identity
   * @returns what it meant
   */
  depart(id: string): HeartbeatVerdict {
    const current = this.run;
    const isKnown = current !== undefined && current.heartbeat.id === id;
    // It may be a run that this node has not heard of yet: its delayed heartbeat must not open the gate.
    const startedAtMs = isKnown ? current.heartbeat.startedAtMs : -Infinity;
    this.recordDeparture(id, startedAtMs, this.clock.now().getTime());
    return isKnown ? this.markLeaving(current) : HeartbeatVerdict.Unchanged;
  }

  /**
   * Takes over what an earlier run of this node announced. One that was ready is served at once,
   * since heartbeats are seconds apart; it is closed again unless a heartbeat confirms it.
   *
   * @param announced - the backend server as it was announced
   * @param address - where the backend server of this host listens
   */
  recall(announced: AnnouncedBackendServer, address: string): void {
    if (announced.state === BackendServerState.Ready && this.run === undefined) {
      this.assumeReady(announced, address);
      return;
    }
    if (announced.state !== BackendServerState.Ready) {
      this.recordDeparture(announced.id, announced.startedAtMs, announced.startedAtMs);
      if (this.run !== undefined && this.run.heartbeat.id === announced.id) {
        this.depart(announced.id);
      }
    }
  }

  /** Notes that another backend server listens at its address; a heartbeat opens the gate again. */
  recordMisdirectedRequest(): void {
    if (this.run !== undefined) {
      this.markLeaving(this.run);
    }
  }

  private assumeReady(announced: AnnouncedBackendServer, address: string): void {
    const { id, service, slots, startedAtMs } = announced;
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
    };
    this.run = { heartbeat: assumed, state: BackendServerState.Ready, warmUpEndsAtMs: -Infinity };
    this.onChange();
    this.clock.after(ASSUMPTION_TIMEOUT_MS, () => {
      if (this.run?.heartbeat === assumed) {
        this.markLeaving(this.run);
      }
    });
  }

  private markLeaving(current: BackendServerRun): HeartbeatVerdict {
    if (current.state === BackendServerState.Leaving) {
      return HeartbeatVerdict.Unchanged;
    }
    this.run = { ...current, state: BackendServerState.Leaving };
    this.onChange();
    return HeartbeatVerdict.Changed;
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
    // The time of day may be wrong: a run that goes on sending heartbeats is there all the same.
    const isClockTrusted = this.clock.monotonicMs() < departure.clockTrustedUntilMs;
    return startedAtMs <= (isClockTrusted ? departure.confirmedAtMs : departure.startedAtMs);
  }

  private isOutdated(heartbeat: Heartbeat): boolean {
    if (this.hasDeparted(heartbeat.id, heartbeat.startedAtMs)) {
      // The run announced its departure; only its further drain heartbeats are in order.
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
