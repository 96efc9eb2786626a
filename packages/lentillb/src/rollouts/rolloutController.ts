/** Decides on the stages of one rollout order while this node is its controller. */
import type { Result } from 'ts-results-es';
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import type { StatusStore, StoreFailure } from '../store/keyedStore.js';
import { runInBackground } from '../utils/background.js';
import type { EvidenceReport } from './evidence.js';
import { EvidenceLedger } from './evidenceLedger.js';
import type { RolloutStatement } from './rollout.js';
import { RolloutStage, stageNames } from './rollout.js';
import type { StatusOutcome } from './rolloutStatus.js';
import { RolloutState, RolloutStatus, StatusEffect } from './rolloutStatus.js';
import { planStage } from './stagePlan.js';
import { judge } from './verdict.js';

/** The time between two attempts to write to the store, in milliseconds. */
const WRITE_INTERVAL_MS = 300;
/**
 * The time for which a controller waits for the store before the canary begins, in milliseconds. The
 * store may hold the outcome of the order, if all nodes were restarted.
 */
const MAX_TAKE_UP_MS = 1_000;

/** The age up to which a report shows that a gate reaches this node, in milliseconds: four reports. */
const MAX_REPORT_AGE_MS = 2_000;

/** What the controller knows of the backend servers of the service. */
export interface RolloutServers {
  /** The slots of the target version as a share of those of the base version. */
  readonly slotShare: number;
  /** The hosts with the base version. */
  readonly baseHosts: readonly string[];
  /** Those of them that respond. */
  readonly baseHostsInReach: readonly string[];
  /** The number of announced backend servers of both versions, also of those that do not respond. */
  readonly announced: number;
}

/** The services that a controller depends on. */
export interface RolloutControllerServices {
  readonly clock: Clock;
  readonly store: StatusStore;
  readonly log: DecisionLog;
  /** Returns the current statement about the service. */
  readonly current: () => RolloutStatement;
  readonly servers: () => RolloutServers;
  /** Called with a new stage. */
  readonly onStage: (stage: RolloutStage) => void;
}

const outcomes = {
  [RolloutStage.Completed]: RolloutState.Completed,
  [RolloutStage.Reverted]: RolloutState.Reverted,
} as const;

const finalStages: Readonly<Record<RolloutState, RolloutStage | undefined>> = {
  [RolloutState.InProgress]: undefined,
  [RolloutState.Completed]: RolloutStage.Completed,
  [RolloutState.Reverted]: RolloutStage.Reverted,
};

/** The controller of one rollout order. */
export class RolloutController {
  private readonly ledger: EvidenceLedger;

  private readonly status: RolloutStatus;

  private isWriting = false;

  private isTakenUp = false;

  private nextWriteAtMs = -Infinity;

  /** When this node first acted as the controller. */
  private startedAtMs: number | undefined;

  /** Whether the store holds the record of a later order of the service. */
  private isReplaced = false;

  /**
   * @param services - the services that the controller depends on
   * @param key - the key of the order and of its status record
   * @param isNew - whether this node saw the order arrive
   */
  constructor(
    private readonly services: RolloutControllerServices,
    key: string,
    private readonly isNew: boolean,
  ) {
    const { clock, store } = services;
    this.ledger = new EvidenceLedger(clock);
    this.status = new RolloutStatus({ clock, store }, key, services.current().targetVersion);
  }

  /** @param report - a report of a gate about the order of this controller */
  acceptEvidence(report: EvidenceReport): void {
    this.ledger.accept(report);
  }

  /**
   * Decides on the next stage. Called regularly while this node is the controller.
   *
   * @param elapsedMs - the time since the order, in milliseconds
   * @param stageMs - the time since the stage began, in milliseconds
   */
  decide(elapsedMs: number, stageMs: number): void {
    const { clock, current, servers } = this.services;
    const nowMs = clock.monotonicMs();
    this.startedAtMs ??= nowMs;
    const { baseVersion, durationMs, stage, targetVersion } = current();
    if (this.isReplaced || stage >= RolloutStage.Completed) {
      return;
    }
    if (!this.isTakenUp) {
      this.write(() => this.status.takeUp(this.isNew));
      if (nowMs - this.startedAtMs < MAX_TAKE_UP_MS) {
        return;
      }
    }
    const { announced, baseHosts, baseHostsInReach, slotShare } = servers();
    const reporting = this.ledger.countReporting(MAX_REPORT_AGE_MS);
    const next = planStage({
      stage,
      verdict: judge(this.ledger, { baseVersion, targetVersion }),
      elapsedMs,
      durationMs,
      stageMs,
      isInForce: baseVersion === targetVersion,
      slotShare,
      isConnected: reporting * 2 > announced,
      isDrained: this.isDrained(baseVersion, baseHosts),
      isDrainedInReach: this.isDrained(baseVersion, baseHostsInReach),
    });
    if (next === RolloutStage.Completed || next === RolloutStage.Reverted) {
      this.write(() => this.status.conclude(outcomes[next]));
    } else if (next !== stage) {
      this.enter(next);
    }
  }

  /** Whether every gate of some hosts with the base version knows of the shift and runs no request. */
  private isDrained(baseVersion: string, hosts: readonly string[]): boolean {
    const gates = new Map(
      this.ledger.gatesOf(baseVersion).map(({ host, report }) => [host, report]),
    );
    return hosts.every((host) => {
      const report = gates.get(host);
      return report !== undefined && report.stage >= RolloutStage.Shift && report.inFlight === 0;
    });
  }

  private enter(stage: RolloutStage): void {
    const { current, log, onStage } = this.services;
    const { baseVersion, offset, service, targetVersion } = current();
    const base = this.ledger.of(baseVersion);
    const target = this.ledger.of(targetVersion);
    log.record(Importance.Notable, 'rollout-stage-decided', {
      service,
      offset,
      stage: stageNames[stage],
      baseVersion,
      targetVersion,
      baseAnswers: base.answers,
      baseBad: base.bad,
      targetAnswers: target.answers,
      targetBad: target.bad,
    });
    onStage(stage);
  }

  /** Writes to the store unless a write is under way or the last one was attempted just now. */
  private write(attempt: () => Promise<Result<StatusOutcome, StoreFailure>>): void {
    const { clock } = this.services;
    if (!this.isWriting && clock.monotonicMs() >= this.nextWriteAtMs) {
      this.isWriting = true;
      this.nextWriteAtMs = clock.monotonicMs() + WRITE_INTERVAL_MS;
      runInBackground(this.finishWrite(attempt()));
    }
  }

  private async finishWrite(attempt: Promise<Result<StatusOutcome, StoreFailure>>): Promise<void> {
    const { current, log } = this.services;
    const { offset, service, targetVersion } = current();
    const result = await attempt;
    this.isWriting = false;
    if (result.isErr()) {
      const { kind, message } = result.error;
      log.record(Importance.Notable, 'rollout-status-not-written', { service, kind, message });
      return;
    }
    const { effect, state } = result.value;
    this.isTakenUp = true;
    this.isReplaced = effect === StatusEffect.Replaced;
    log.record(Importance.Notable, 'rollout-status', {
      service,
      offset,
      targetVersion,
      state,
      effect,
    });
    const stage = finalStages[state];
    if (stage !== undefined && !this.isReplaced && current().offset === offset) {
      this.enter(stage);
    }
  }
}
