/** Requests for slots, for tests of admission. */
import type { Slot, SlotRequest } from 'lentillb/serving/slotQueue.js';
import { Patience } from 'lentillb/serving/slotQueue.js';

/** A request that records what became of it. */
export interface RecordedRequest {
  readonly request: SlotRequest;
  slot: Slot | undefined;
  dropped: boolean;
}

/**
 * @param fields - what differs from a request of the least urgent kind with time enough
 * @returns a request that records what became of it
 */
export function recordedRequest(fields: Partial<SlotRequest> = {}): RecordedRequest {
  const recorded: { slot: Slot | undefined; dropped: boolean } = {
    slot: undefined,
    dropped: false,
  };
  const request: SlotRequest = {
    workKey: 'browse',
    priority: 2,
    targetLatencyMs: 200,
    targetAtMs: 200,
    deadlineAtMs: 500,
    patience: Patience.OnTime,
    onGranted: (slot) => {
      recorded.slot = slot;
    },
    onDropped: () => {
      recorded.dropped = true;
    },
    ...fields,
  };
  return Object.assign(recorded, { request });
}
