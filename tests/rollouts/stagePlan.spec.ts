import { RolloutStage } from 'lentillb/rollouts/rollout.js';
import type { RolloutSituation } from 'lentillb/rollouts/stagePlan.js';
import { planStage } from 'lentillb/rollouts/stagePlan.js';
import { Verdict } from 'lentillb/rollouts/verdict.js';
import { describe, expect, it } from 'vitest';

const SITUATION: RolloutSituation = {
  stage: RolloutStage.WideCanary,
  verdict: Verdict.Certain,
  elapsedMs: 10_000,
  durationMs: 16_000,
  stageMs: 2_000,
  isInForce: false,
  slotShare: 1,
  isConnected: true,
  isDrained: false,
  isDrainedInReach: false,
};
const RAMPING: RolloutSituation = { ...SITUATION, stage: RolloutStage.Ramp };
const SHIFTING: RolloutSituation = { ...SITUATION, stage: RolloutStage.Shift };

describe('plan of the stages', () => {
  it.each([
    ['ramp once the version is good', SITUATION, RolloutStage.Ramp],
    ['stay in the ramp for a while', { ...RAMPING, stageMs: 1_000 }, RolloutStage.Ramp],
    ['shift after the ramp', RAMPING, RolloutStage.Shift],
    ['wait for more answers', { ...SITUATION, verdict: Verdict.Good }, RolloutStage.WideCanary],
    ['stay while cut off', { ...SITUATION, isConnected: false }, RolloutStage.WideCanary],
    ['stay without enough servers', { ...SITUATION, slotShare: 0.5 }, RolloutStage.WideCanary],
    [
      'halt for a bad version, also while cut off',
      { ...SITUATION, isConnected: false, verdict: Verdict.Bad },
      RolloutStage.Halted,
    ],
    ['await requests at old servers', SHIFTING, RolloutStage.Shift],
    ['complete when none is left', { ...SHIFTING, isDrained: true }, RolloutStage.Completed],
    [
      'not complete while cut off',
      { ...SHIFTING, isDrained: true, isConnected: false },
      RolloutStage.Shift,
    ],
    [
      'complete in time though some are left',
      { ...SHIFTING, elapsedMs: 15_000 },
      RolloutStage.Completed,
    ],
    ['return when all new servers are lost', { ...SHIFTING, slotShare: 0 }, RolloutStage.Halted],
    ['revert once halted', { ...SITUATION, stage: RolloutStage.Halted }, RolloutStage.Reverted],
  ])('should %s', (_, situation, expected) => {
    expect(planStage(situation)).toBe(expected);
  });
});
