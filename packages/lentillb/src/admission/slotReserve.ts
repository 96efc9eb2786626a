/**
 * Computes how many slots less urgent requests must leave to calls. While all slots are busy, the next
 * call waits until one becomes free. Where others run for long, that may take longer than a call can
 * wait, so fewer slots are given to them. The number follows from what arrived lately: without calls,
 * or where slots become free often enough, it is 0.
 */

/** The requests that compete for the slots of one backend server; times are in milliseconds. */
export interface Competition {
  /** The number of requests that the backend server runs concurrently. */
  readonly slots: number;
  /** The calls that arrive per millisecond. */
  readonly callsPerMs: number;
  /** The mean service time of calls. */
  readonly callMs: number;
  /** The time within which a call must be answered. */
  readonly callTargetMs: number;
  /** The mean service time of the requests that calls compete with. */
  readonly otherMs: number;
}

/**
 * How many of the less urgent requests one call is worth. A call that fails costs 0.3 of the value of
 * the run that made it, and another attempt; an idle slot costs one request of the lowest value.
 */
const CALL_WORTH = 3;
/** The factor on the mean service time of calls that leaves time for long ones. */
const SERVICE_MARGIN_FACTOR = 2;

/**
 * Estimates the share of calls that wait too long where others fill all slots that are not reserved. A
 * call waits if others in progress hold all reserved slots. While calls wait, every slot that becomes
 * free goes to one of them, so their queue shrinks at the rate at which others free slots, and at that
 * of the slots which calls hold beyond those that their arrivals keep busy.
 */
function lateShare(
  { callMs, callTargetMs, callsPerMs, otherMs, slots }: Competition,
  reserved: number,
  waitingShare: number,
): number {
  const busyWithCalls = callsPerMs * callMs;
  const heldByCalls = Math.min(slots, Math.max(reserved, busyWithCalls));
  const shrinkingPerMs = (heldByCalls - busyWithCalls) / callMs + (slots - heldByCalls) / otherMs;
  const waitLimitMs = Math.max(0, callTargetMs - callMs * SERVICE_MARGIN_FACTOR);
  return waitingShare * Math.min(1, Math.exp(-shrinkingPerMs * waitLimitMs));
}

/**
 * Computes the number of slots to leave to calls, at which the late calls and the idle slots cost least
 * together.
 *
 * @param competition - the requests that compete
 * @returns the number, below that of the slots
 */
export function slotsToReserve(competition: Competition): number {
  const { callMs, callsPerMs, otherMs, slots } = competition;
  if (callsPerMs <= 0 || otherMs <= callMs) {
    return 0;
  }
  const busyWithCalls = callsPerMs * callMs;
  // The number of calls in progress is distributed as by Poisson.
  let exactShare = Math.exp(-busyWithCalls);
  let belowShare = 0;
  let idleSlots = 0;
  let best = 0;
  let leastCost = Infinity;
  for (let reserved = 0; reserved < slots; reserved += 1) {
    const late = lateShare(competition, reserved, 1 - belowShare);
    const cost = late * callsPerMs * CALL_WORTH + idleSlots / otherMs;
    if (cost < leastCost) {
      best = reserved;
      leastCost = cost;
    }
    // One more reserved slot is idle while at most this number of calls is in progress.
    belowShare += exactShare;
    idleSlots += belowShare;
    exactShare *= busyWithCalls / (reserved + 1);
  }
  return best;
}
