/**
 * Keeps the status record of a rollout in the store. Every write is on condition that the topic has not
 * changed since it was read, so that two controllers cannot write different outcomes.
 */
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import * as z from 'zod/mini';
import type { Clock } from '../kernel/clock.js';
import { Deadline } from '../kernel/deadline.js';
import type { StatusStore, StoreFailure } from '../store/keyedStore.js';
import { StoreFailureKind } from '../store/keyedStore.js';

/** The states of a rollout that the operator sees. */
export const RolloutState = {
  InProgress: 'in_progress',
  Completed: 'completed',
  Reverted: 'reverted',
} as const;
export type RolloutState = (typeof RolloutState)[keyof typeof RolloutState];

/** The outcomes of a write. */
export const StatusEffect = {
  /** The store holds the state. */
  Held: 'held',
  /** The store holds another outcome of the same rollout, which counts. */
  Decided: 'decided',
  /** The store holds the record of another rollout order. */
  Replaced: 'replaced',
} as const;
export type StatusEffect = (typeof StatusEffect)[keyof typeof StatusEffect];

/** The state in the store after a write. */
export interface StatusOutcome {
  readonly effect: StatusEffect;
  readonly state: RolloutState;
}

/** Timeout of one call, in milliseconds. */
const CALL_TIMEOUT_MS = 700;
/** How often a write is attempted whose condition fails; other services share the topic. */
const MAX_ATTEMPTS = 4;

const recordSchema = z.object({
  state: z.enum(RolloutState),
  'target-version': z.string(),
});

type StatusRecord = z.infer<typeof recordSchema>;

function decode(value: Uint8Array | undefined): StatusRecord | undefined {
  try {
    return recordSchema.safeParse(JSON.parse(Buffer.from(value ?? []).toString('utf8'))).data;
  } catch {
    return undefined;
  }
}

/** The status record of one rollout order. */
export class RolloutStatus {
  /** Whether the store has held `in_progress` of this order, so that another record replaces it. */
  private isTakenUp = false;

  /**
   * @param services - the clock and the store
   * @param key - the key of the record
   * @param targetVersion - the target version of the order
   */
  constructor(
    private readonly services: { readonly clock: Clock; readonly store: StatusStore },
    private readonly key: string,
    private readonly targetVersion: string,
  ) {}

  /**
   * Writes that the order has been taken up, unless the store says so.
   *
   * @param isNew - whether this node saw the order arrive, so that an outcome in the store belongs to an
   *   earlier order with the same target version
   * @returns the state in the store, or why it is not known
   */
  takeUp(isNew: boolean): Promise<Result<StatusOutcome, StoreFailure>> {
    return this.writeUntilHeld(RolloutState.InProgress, (current) => {
      const isOwn = current?.['target-version'] === this.targetVersion;
      if (isOwn && current.state === RolloutState.InProgress) {
        return StatusEffect.Held;
      }
      return isOwn && !isNew ? StatusEffect.Decided : undefined;
    });
  }

  /**
   * Writes the outcome of the rollout.
   *
   * @param state - the outcome
   * @returns the state in the store, or why it is not known
   */
  conclude(
    state: Exclude<RolloutState, 'in_progress'>,
  ): Promise<Result<StatusOutcome, StoreFailure>> {
    return this.writeUntilHeld(state, (current) => {
      if (current?.['target-version'] !== this.targetVersion) {
        return this.isTakenUp ? StatusEffect.Replaced : undefined;
      }
      if (current.state === state) {
        return StatusEffect.Held;
      }
      return current.state === RolloutState.InProgress ? undefined : StatusEffect.Decided;
    });
  }

  /** Reads the record, and writes a state unless the record decides otherwise. */
  private async writeUntilHeld(
    state: RolloutState,
    effectOf: (current: StatusRecord | undefined) => StatusEffect | undefined,
  ): Promise<Result<StatusOutcome, StoreFailure>> {
    const { clock, store } = this.services;
    const body = JSON.stringify({ state, 'target-version': this.targetVersion });
    let failure: StoreFailure = { kind: StoreFailureKind.Moved, message: 'no attempt was made' };
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const read = await store.readStatus(Deadline.after(clock, CALL_TIMEOUT_MS));
      if (read.isErr()) {
        return read;
      }
      const { nextOffset, records } = read.value;
      const current = decode(records.find(({ key }) => key === this.key)?.value);
      const effect = effectOf(current);
      if (effect !== undefined) {
        this.isTakenUp ||= effect === StatusEffect.Held;
        return Ok({ effect, state: current?.state ?? state });
      }
      const deadline = Deadline.after(clock, CALL_TIMEOUT_MS);
      const written = await store.writeStatus(this.key, Buffer.from(body), nextOffset, deadline);
      if (written.isOk()) {
        this.isTakenUp = true;
        return Ok({ effect: StatusEffect.Held, state });
      }
      failure = written.error;
      if (failure.kind !== StoreFailureKind.Moved) {
        return Err(failure);
      }
    }
    return Err(failure);
  }
}
