/** Creates requests for slots, for tests of admission. */
import type { Slot, SlotRequest } from 'lentillb/admission/slotQueue.js';
import { WaitLimit } from 'lentillb/admission/slotQueue.js';

/** A request for a slot and its outcome. */
export interface RecordedRequest {
  readonly request: SlotRequest;
  slot: Slot | undefined;
  dropped: boolean;
}

/**
 * @param fields - the fields that differ from a lowest-priority request with enough time left
 * @returns a request that records its outcome
 */
export function createRecordedRequest(fields: Partial<SlotRequest> = {}): RecordedRequest {
  const result: { slot: Slot | undefined; dropped: boolean } = {
    slot: undefined,
    dropped: false,
  };
  const request: SlotRequest = {
    serviceTimeKey: 'browse',
    customerPriority: 0,
    priority: 2,
    targetLatencyMs: 200,
    targetAtMs: 200,
    deadlineAtMs: 500,
    waitLimit: WaitLimit.OnTime,
    onGranted: (slot) => {
      result.slot = slot;
    },
    onDropped: () => {
      result.dropped = true;
    },
    ...fields,
  };
  return Object.assign(result, { request });
}
