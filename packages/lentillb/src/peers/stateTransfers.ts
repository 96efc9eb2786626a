/**
 * Fetches the state of other nodes. A version that another node has named is fetched once it is due,
 * from another node if the first one does not answer.
 */
import type { Result } from 'ts-results-es';
import type { ConfigurationHolder } from '../configuration/configurationHolder.js';
import type { ConfigurationStatus } from '../configuration/configurationStatus.js';
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import { runInBackground } from '../utils/background.js';
import { TransferProgress } from '../utils/transferProgress.js';
import type { NodeState } from './nodeState.js';

/** Minimum time between the end of one transfer and the start of the next, in milliseconds. */
const TRANSFER_INTERVAL_MS = 400;
/** How long a transfer may take before another node is asked as well, in milliseconds. */
const PATIENCE_MS = 300;

/** Fetches the state of another node, or returns why that failed. */
export type StateFetcher = (
  peerAddress: string,
  heldVersion: number,
  progress: TransferProgress,
) => Promise<Result<NodeState, string>>;

/** The services that transfers depend on. */
export interface StateTransferServices {
  readonly clock: Clock;
  readonly configuration: ConfigurationHolder;
  readonly status: ConfigurationStatus;
  readonly fetchState: StateFetcher;
  readonly log: DecisionLog;
}

/** A node that has a version which this one lacks. */
interface VersionHolder {
  readonly address: string;
  readonly inOwnZone: boolean;
}

/** Fetches the state of other nodes. */
export class StateTransfers {
  /** When each transfer under way was started, by the address of the other node. */
  private readonly startTimesMs = new Map<string, number>();

  private receivedBytes = 0;

  private endedAtMs = -Infinity;

  /** The end of the last transfer that failed, brought a configuration or was to bring one. */
  private versionEndedAtMs = -Infinity;

  private holder: VersionHolder | undefined;

  /** The time of the next attempt to fetch the newer version, and a function that cancels it. */
  private attempt: { readonly dueAtMs: number; readonly cancel: () => void } | undefined;

  private stopped = false;

  /**
   * @param services - the services that transfers depend on
   * @param onState - called with each state that was fetched, and the address of its node
   */
  constructor(
    private readonly services: StateTransferServices,
    private readonly onState: (state: NodeState, from: string) => void,
  ) {}

  /** The number of transfers under way. */
  get underWay(): number {
    return this.startTimesMs.size;
  }

  /** The bytes of all transfers that have ended. */
  get totalBytes(): number {
    return this.receivedBytes;
  }

  /** Ends all attempts that are scheduled. */
  stop(): void {
    this.stopped = true;
    this.attempt?.cancel();
  }

  /**
   * Fetches the state of a node, unless a transfer is under way or has just ended.
   *
   * @param from - the address and port of the node
   */
  request(from: string): void {
    if (this.untilAllowedMs(from) <= 0) {
      runInBackground(this.fetch(from));
    }
  }

  /**
   * Fetches the newer version that a node has named, unless this node gets it otherwise before.
   *
   * @param holder - the node that has it
   * @param graceMs - how long the version may be missing before it is fetched, in milliseconds
   */
  catchUp(holder: VersionHolder, graceMs: number): void {
    const { newerVersion } = this.services.status;
    if (newerVersion === undefined) {
      return;
    }
    if (holder.inOwnZone || this.holder?.inOwnZone !== true) {
      this.holder = holder;
    }
    this.scheduleAttempt(newerVersion.sinceMs + graceMs);
  }

  /**
   * Fetches the state of a node.
   *
   * @param from - the address and port of the node
   * @returns whether the state was fetched
   */
  async fetch(from: string): Promise<boolean> {
    const { clock, configuration, fetchState, log, status } = this.services;
    const wanted = status.newerVersion;
    this.startTimesMs.set(from, clock.monotonicMs());
    const progress = new TransferProgress(clock);
    const fetched = await fetchState(from, configuration.version, progress);
    this.startTimesMs.delete(from);
    this.receivedBytes += progress.bytes;
    this.endedAtMs = clock.monotonicMs();
    if (wanted !== undefined || fetched.isErr() || fetched.value.change !== undefined) {
      this.versionEndedAtMs = this.endedAtMs;
    }
    const transfer = {
      durationMs: Math.round(progress.durationMs),
      bytes: progress.bytes,
      underWay: this.underWay,
    };
    if (fetched.isErr()) {
      const reason = fetched.error;
      log.record(Importance.Notable, 'state-not-fetched', { from, reason, ...transfer });
      return false;
    }
    const state = fetched.value;
    const { length: hosts } = state.announcements;
    const { baseVersion, version = 0 } = state.change ?? {};
    const fields = { from, baseVersion, version, hosts, ...transfer };
    log.record(Importance.Notable, 'state-fetched', fields);
    this.onState(state, from);
    if (wanted !== undefined && this.holder?.address === from && version < wanted.version) {
      status.forgetVersion(wanted.version);
    }
    // Another version may have come into force during the transfer, so that the change does not fit.
    const isUnfit = version > configuration.version && baseVersion !== configuration.version;
    return isUnfit && baseVersion !== 0 ? this.fetch(from) : true;
  }

  private scheduleAttempt(dueAtMs: number): void {
    if (this.stopped || (this.attempt !== undefined && this.attempt.dueAtMs <= dueAtMs)) {
      return;
    }
    this.attempt?.cancel();
    const { clock } = this.services;
    const attempt = (): void => {
      this.attempt = undefined;
      this.attemptCatchUp();
    };
    const delayMs = dueAtMs - clock.monotonicMs();
    if (delayMs <= 0) {
      attempt();
      return;
    }
    this.attempt = { dueAtMs, cancel: clock.after(delayMs, attempt) };
  }

  private attemptCatchUp(): void {
    const { clock, status } = this.services;
    const { holder } = this;
    if (status.newerVersion === undefined || holder === undefined) {
      this.holder = undefined;
      return;
    }
    // A transfer of hosts does not hold back a version that is named shortly after it.
    const waitMs = this.untilAllowedMs(holder.address, this.versionEndedAtMs);
    if (waitMs <= 0) {
      runInBackground(this.fetch(holder.address));
    }
    // If the transfer fails or hangs, the version is fetched from the node that named it last.
    this.scheduleAttempt(clock.monotonicMs() + Math.max(waitMs, PATIENCE_MS));
  }

  private untilAllowedMs(from: string, endedAtMs = this.endedAtMs): number {
    const nowMs = this.services.clock.monotonicMs();
    const lastStartMs = Math.max(-Infinity, ...this.startTimesMs.values());
    const isAsked = this.startTimesMs.has(from);
    const allowedAtMs = Math.max(
      endedAtMs + TRANSFER_INTERVAL_MS,
      lastStartMs + PATIENCE_MS,
      isAsked ? nowMs + PATIENCE_MS : -Infinity,
    );
    return allowedAtMs - nowMs;
  }
}
