/**
 * Fetches the state of other nodes. A version that another node has named is fetched once it is due,
 * from another node if the first one sends nothing. A transfer whose version this node has by then is
 * cancelled, so that it takes nothing more from the link of the host.
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
import type { StateRequest } from './stateClient.js';

/** Minimum time between the end of one transfer and the start of the next, in milliseconds. */
const TRANSFER_INTERVAL_MS = 400;
/** The time without a byte after which another node is asked as well, in milliseconds. */
const PATIENCE_MS = 300;

/** Fetches the state of another node, or returns why that failed. */
export type StateFetcher = (
  peerAddress: string,
  heldVersion: number,
  request: StateRequest,
) => Promise<Result<NodeState, string>>;

/** The services that transfers depend on. */
export interface StateTransferServices {
  readonly clock: Clock;
  readonly configuration: ConfigurationHolder;
  readonly status: ConfigurationStatus;
  readonly fetchState: StateFetcher;
  readonly log: DecisionLog;
}

/** The callbacks for transfers. */
export interface StateTransferListener {
  /** Called with each state that was fetched, and the address of its node. */
  readonly onState: (state: NodeState, from: string) => void;
  /** Called when a part of a version arrives. */
  readonly onVersionProgress: () => void;
}

/** A node that has a version which this one lacks. */
interface VersionHolder {
  readonly address: string;
  readonly inOwnZone: boolean;
  /** The version that it has named. */
  readonly version: number;
}

/** A node from which a version may be fetched. */
interface VersionSource {
  readonly holder: VersionHolder;
  /** The time from which it may, in milliseconds of the monotonic clock. */
  readonly dueAtMs: number;
}

/** A transfer under way. */
interface Transfer {
  /** The address and port of the other node. */
  readonly from: string;
  readonly progress: TransferProgress;
  /** The newer version that it is to bring; undefined if it is to bring the whole state. */
  readonly wantedVersion: number | undefined;
}

/** Fetches the state of other nodes. */
export class StateTransfers {
  /** The transfers under way. */
  private readonly transfers = new Set<Transfer>();

  private receivedBytes = 0;

  private endedAtMs = -Infinity;

  /** The end of the last transfer that failed, brought a configuration or was to bring one. */
  private versionEndedAtMs = -Infinity;

  /** The node of the own zone, and the one of other zones, that has named the newest version. */
  private sources: readonly VersionSource[] = [];

  /** The time of the next attempt to fetch the newer version, and a function that cancels it. */
  private attempt: { readonly dueAtMs: number; readonly cancel: () => void } | undefined;

  private stopped = false;

  /**
   * @param services - the services that transfers depend on
   * @param listener - the callbacks for transfers
   */
  constructor(
    private readonly services: StateTransferServices,
    private readonly listener: StateTransferListener,
  ) {
    services.configuration.subscribe(({ version }) => this.cancelUpTo(version));
  }

  /** The number of transfers under way. */
  get underWay(): number {
    return this.transfers.size;
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
   * Fetches the state of a node, unless another transfer is under way and not silent, or has just ended.
   *
   * @param from - the address and port of the node
   */
  request(from: string): void {
    const isAsked = [...this.transfers].some((transfer) => transfer.from === from);
    if (!isAsked && this.untilAllowedMs(this.endedAtMs, [...this.transfers]) <= 0) {
      runInBackground(this.fetchAll(from));
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
    const dueAtMs = newerVersion.sinceMs + graceMs;
    const known = this.sources.find((source) => source.holder.inOwnZone === holder.inOwnZone);
    if (known === undefined || holder.version >= known.holder.version) {
      this.sources = [...this.sources.filter((source) => source !== known), { holder, dueAtMs }];
    }
    this.scheduleAttempt(dueAtMs);
  }

  /**
   * Fetches the whole state of a node: its configuration and all hosts that it knows.
   *
   * @param from - the address and port of the node
   * @returns whether the state was fetched
   */
  fetchAll(from: string): Promise<boolean> {
    return this.fetch(from, undefined);
  }

  private async fetch(from: string, wantedVersion: number | undefined): Promise<boolean> {
    const { clock, configuration, fetchState, log, status } = this.services;
    const withHosts = wantedVersion === undefined;
    const lacksVersion = configuration.version === 0 || status.newerVersion !== undefined;
    const onBytes = lacksVersion ? this.listener.onVersionProgress : undefined;
    const progress = new TransferProgress(clock, onBytes);
    const transfer = { from, progress, wantedVersion };
    this.transfers.add(transfer);
    const fetched = await fetchState(from, configuration.version, { progress, withHosts });
    this.transfers.delete(transfer);
    this.receivedBytes += progress.bytes;
    if (progress.isCancelled) {
      return false;
    }
    this.endedAtMs = clock.monotonicMs();
    if (!withHosts || fetched.isErr() || fetched.value.change !== undefined) {
      this.versionEndedAtMs = this.endedAtMs;
    }
    const measured = { ...progress.fields, underWay: this.underWay };
    if (fetched.isErr()) {
      const reason = fetched.error;
      log.record(Importance.Notable, 'state-not-fetched', { from, reason, ...measured });
      return false;
    }
    const state = fetched.value;
    const { length: hosts } = state.announcements;
    const { baseVersion, version = 0 } = state.change ?? {};
    const fields = { from, baseVersion, version, hosts, ...measured };
    log.record(Importance.Notable, 'state-fetched', fields);
    this.listener.onState(state, from);
    if (
      wantedVersion !== undefined &&
      configuration.version < wantedVersion &&
      version < wantedVersion
    ) {
      status.forgetVersion(wantedVersion);
      this.sources = this.sources.filter(({ holder }) => holder.address !== from);
    }
    // Another version may have come into force during the transfer, so that the change does not fit.
    const isUnfit = version > configuration.version && baseVersion !== configuration.version;
    return isUnfit && baseVersion !== 0 ? this.fetch(from, wantedVersion) : true;
  }

  /** Cancels the transfers that are to bring a version which is in force. */
  private cancelUpTo(version: number): void {
    this.transfers.forEach(({ progress, wantedVersion }) => {
      if (wantedVersion !== undefined && wantedVersion <= version) {
        progress.cancel();
      }
    });
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
    const { clock, configuration } = this.services;
    this.sources = this.sources.filter(({ holder }) => holder.version > configuration.version);
    if (this.sources.length === 0) {
      return;
    }
    // A transfer of hosts holds back no version that is named during it or shortly after it.
    const ofVersions = [...this.transfers].filter(
      ({ wantedVersion }) => wantedVersion !== undefined,
    );
    const source = this.findFirstDue(ofVersions);
    const waitMs =
      source === undefined
        ? PATIENCE_MS
        : Math.max(
            source.dueAtMs - clock.monotonicMs(),
            this.untilAllowedMs(this.versionEndedAtMs, ofVersions),
          );
    if (source !== undefined && waitMs <= 0) {
      runInBackground(this.fetch(source.holder.address, source.holder.version));
    }
    // If the transfer fails or is silent, the version is fetched from another node that has named it.
    this.scheduleAttempt(clock.monotonicMs() + Math.max(waitMs, PATIENCE_MS));
  }

  /** Returns the source that is due first among those that no transfer under way asks. */
  private findFirstDue(transfers: readonly Transfer[]): VersionSource | undefined {
    return this.sources
      .filter(({ holder }) => !transfers.some(({ from }) => from === holder.address))
      .sort((left, right) => left.dueAtMs - right.dueAtMs)[0];
  }

  /** The time until another transfer may begin, in milliseconds; not above 0 if it may begin now. */
  private untilAllowedMs(endedAtMs: number, transfers: readonly Transfer[]): number {
    const sinceEndMs = this.services.clock.monotonicMs() - endedAtMs;
    const silentMs = Math.min(Infinity, ...transfers.map(({ progress }) => progress.silentMs));
    return Math.max(TRANSFER_INTERVAL_MS - sinceEndMs, PATIENCE_MS - silentMs);
  }
}
