/** Creates queues for slots, for tests of admission. */
import type { Clock } from 'lentillb';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { SlotQueue } from 'lentillb/admission/slotQueue.js';
import { StatedLimit } from 'lentillb/admission/statedLimit.js';

/** @returns a log that discards its lines */
export function createSilentLog(clock: Clock): DecisionLog {
  return new DecisionLog(clock, { info: () => undefined, warn: () => undefined });
}

/**
 * @param clock - the clock for deadlines and service times
 * @param statedLimit - the request limit of the backend server; none by default
 * @returns a queue without slots, for a backend server that is warm
 */
export function createSlotQueue(
  clock: Clock,
  statedLimit = new StatedLimit(clock, createSilentLog(clock)),
): SlotQueue {
  return new SlotQueue(clock, () => false, statedLimit);
}
