/** Plans the stages of a rollout by its time and by the verdict on the target version. */
import { RolloutStage } from './rollout.js';
import { Verdict } from './verdict.js';

/** What the plan depends on. */
export interface RolloutSituation {
  readonly stage: RolloutStage;
  readonly verdict: Verdict;
  /** The time since the order, in milliseconds. */
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** The time since the stage began, in milliseconds. */
  readonly stageMs: number;
  /** Whether the target version serves already, so that there is nothing to replace. */
  readonly isInForce: boolean;
  /** The slots of the target version as a share of those of the base version. */
  readonly slotShare: number;
  /** Whether more than half of the gates of the service report to this node. */
  readonly isConnected: boolean;
  /** Whether every gate of the base version knows of the shift and runs no request. */
  readonly isDrained: boolean;
  /** Whether every gate of the base version does that responds to this node. */
  readonly isDrainedInReach: boolean;
}

// The shares of the duration of an order at which its stages may begin, or must have ended.
const WIDE_CANARY_SHARE = 0.15;
/** Versions that turn bad late do so within the canary, so it takes the larger part of the time. */
const RAMP_SHARE = 0.55;
/** From here on a few answers suffice, and fewer backend servers. */
const LATE_RAMP_SHARE = 0.7;
const LAST_SHIFT_SHARE = 0.85;
/** The length of the ramp. */
const RAMP_LENGTH_SHARE = 0.1;
/** From here on gates that do not respond are not awaited; their hosts may have been killed. */
const COMPLETE_IN_REACH_SHARE = 0.8;
/** From here on requests at the base version are not awaited, so that the outcome is written in time. */
const COMPLETE_SHARE = 0.92;
/** From here on a rollout is reverted though few gates report, so that it ends. */
const ABANDON_SHARE = 1.2;
/** The slots of the target version that a shift needs, as a share of those of the base version. */
const MIN_SLOT_SHARE = 0.7;

/** The least time of the ramp as a share of the duration, by verdict and by the slots there are. */
function rampShare({ slotShare, verdict }: RolloutSituation): number {
  if (verdict === Verdict.Unclear || verdict === Verdict.Bad) {
    return Infinity;
  }
  return verdict === Verdict.Certain && slotShare >= MIN_SLOT_SHARE ? RAMP_SHARE : LATE_RAMP_SHARE;
}

function planBeforeShift(situation: RolloutSituation): RolloutStage {
  const { durationMs, elapsedMs, slotShare, stage, stageMs, verdict } = situation;
  const timeShare = elapsedMs / durationMs;
  // Without evidence the rollout is not completed, and no time is left to complete it.
  if (timeShare >= LAST_SHIFT_SHARE) {
    return RolloutStage.Halted;
  }
  if (slotShare === 0) {
    return stage;
  }
  if (stage === RolloutStage.None) {
    return RolloutStage.Canary;
  }
  if (stage === RolloutStage.Ramp) {
    const hasPassed = stageMs >= durationMs * RAMP_LENGTH_SHARE && verdict !== Verdict.Unclear;
    return hasPassed ? RolloutStage.Shift : stage;
  }
  if (timeShare >= rampShare(situation)) {
    return RolloutStage.Ramp;
  }
  const mayWiden = verdict !== Verdict.Unclear && timeShare >= WIDE_CANARY_SHARE;
  return mayWiden ? RolloutStage.WideCanary : stage;
}

/**
 * Plans the next stage. `Completed` and `Reverted` take effect only once the store holds them.
 *
 * @param situation - the state of the rollout
 * @returns the stage to enter, or the current one
 */
export function planStage(situation: RolloutSituation): RolloutStage {
  const { durationMs, elapsedMs, isConnected, isDrained, isDrainedInReach, isInForce } = situation;
  const { slotShare, stage, verdict } = situation;
  if (stage >= RolloutStage.Completed) {
    return stage;
  }
  if (stage === RolloutStage.Halted) {
    return RolloutStage.Reverted;
  }
  if (isInForce) {
    return RolloutStage.Completed;
  }
  if (verdict === Verdict.Bad) {
    return RolloutStage.Halted;
  }
  // A controller that is cut off with a few gates leaves the rollout to those that hear the others.
  const timeShare = elapsedMs / durationMs;
  if (!isConnected && slotShare > 0) {
    return timeShare >= ABANDON_SHARE ? RolloutStage.Halted : stage;
  }
  if (stage < RolloutStage.Shift) {
    return planBeforeShift(situation);
  }
  if (slotShare === 0) {
    return RolloutStage.Halted;
  }
  const isEnded =
    isDrained ||
    (isDrainedInReach && timeShare >= COMPLETE_IN_REACH_SHARE) ||
    timeShare >= COMPLETE_SHARE;
  return isEnded ? RolloutStage.Completed : stage;
}
