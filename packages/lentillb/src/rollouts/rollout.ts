/** Defines rollout orders, the stages of a rollout, and the statements by which nodes share them. */

/** The order to replace the version of a service. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  /** The time in which the rollout should end, in milliseconds. */
  readonly durationMs: number;
  /** The offset of the order's record in the operator's topic, which identifies the order. */
  readonly offset: number;
}

/** The stages of a rollout. They only rise; of two that nodes hold, the higher one counts. */
export const RolloutStage = {
  /** Only the base version gets requests. */
  None: 0,
  /** The target version gets a small share of the requests. */
  Canary: 1,
  /** The target version gets a larger share, on other backend servers and, in large services, more. */
  WideCanary: 2,
  /**
   * The target version gets a quarter for a short time, on so few backend servers that these have the full
   * load, because a version may be bad under load only.
   */
  Ramp: 3,
  /** Only the target version gets requests; requests at the base version end. */
  Shift: 4,
  /** The target version was found bad, and only the base version gets requests. */
  Halted: 5,
  /** The store holds `completed`: the target version is the version of the service. */
  Completed: 6,
  /** The store holds `reverted`: the base version remains the version of the service. */
  Reverted: 7,
} as const;
export type RolloutStage = (typeof RolloutStage)[keyof typeof RolloutStage];

/** What nodes tell each other about the rollout of a service. */
export interface RolloutStatement extends RolloutOrder {
  /** The version that served before; empty if its backend servers state none. */
  readonly baseVersion: string;
  readonly stage: RolloutStage;
  /** The time since the order, in milliseconds, when the controller made the statement. */
  readonly elapsedMs: number;
  /** The host of the controller that made the statement. */
  readonly controller: string;
}

/** The names of the stages in log lines and metrics. */
export const stageNames: Readonly<Record<RolloutStage, string>> = {
  [RolloutStage.None]: 'none',
  [RolloutStage.Canary]: 'canary',
  [RolloutStage.WideCanary]: 'wide-canary',
  [RolloutStage.Ramp]: 'ramp',
  [RolloutStage.Shift]: 'shift',
  [RolloutStage.Halted]: 'halted',
  [RolloutStage.Completed]: 'completed',
  [RolloutStage.Reverted]: 'reverted',
};

/**
 * The share of requests that the target version gets in each stage. Canary shares stay below the tenth of
 * all requests that a bad version may get; the ramp uses what they have left of it.
 */
export const targetShares: Readonly<Record<RolloutStage, number>> = {
  [RolloutStage.None]: 0,
  [RolloutStage.Canary]: 0.05,
  [RolloutStage.WideCanary]: 0.08,
  [RolloutStage.Ramp]: 0.25,
  [RolloutStage.Shift]: 1,
  [RolloutStage.Halted]: 0,
  [RolloutStage.Completed]: 1,
  [RolloutStage.Reverted]: 0,
};

/**
 * @param stage - a stage of a rollout
 * @returns whether the store holds the outcome, so that the stage is the last one
 */
export function isFinal(stage: RolloutStage): boolean {
  return stage >= RolloutStage.Completed;
}

/**
 * @param stage - a stage of a rollout
 * @returns whether both versions may get requests
 */
export function isCanary(stage: RolloutStage): boolean {
  return stage >= RolloutStage.Canary && stage <= RolloutStage.Ramp;
}
