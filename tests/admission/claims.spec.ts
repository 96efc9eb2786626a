import { SlotClaims } from 'lentillb/admission/slotClaims.js';
import { slotsToReserve } from 'lentillb/admission/slotReserve.js';
import type { SlotRequest } from 'lentillb/admission/slotQueue.js';
import { Admission, ServiceTimeSample, SlotQueue } from 'lentillb/admission/slotQueue.js';
import { StatedLimit } from 'lentillb/admission/statedLimit.js';
import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';
import { noClaims } from '../support/slotLoad.js';
import { createSilentLog, createSlotQueue } from '../support/slotQueue.js';
import { createRecordedRequest } from '../support/slotRequests.js';

const UPLOAD = { serviceTimeKey: 'upload', customer: 'c', targetLatencyMs: 2_100, priority: 2 };
const CALL = { serviceTimeKey: 'call', targetLatencyMs: 234, priority: 1 };

let clock: ManualClock;
let queue: SlotQueue;

beforeEach(() => {
  clock = new ManualClock();
  queue = createSlotQueue(clock);
  queue.resize(1);
});

/** Admits a request that has its whole target latency left, or less. */
function admit(fields: Partial<SlotRequest>, elapsedMs = 0) {
  const targetAtMs = clock.monotonicMs() + (fields.targetLatencyMs ?? 0) - elapsedMs;
  const recorded = createRecordedRequest({
    ...fields,
    targetAtMs,
    deadlineAtMs: targetAtMs + 5_000,
  });
  return { recorded, decision: queue.admit(recorded.request) };
}

/** Returns the order in which requests that wait get the only slot. */
function grantOrder(
  running: ReturnType<typeof admit>,
  waiting: readonly ReturnType<typeof admit>[],
) {
  const order: number[] = [];
  let current = running.recorded;
  while (order.length < waiting.length) {
    current.slot?.release(ServiceTimeSample.None);
    const next = waiting.findIndex(
      ({ recorded }, index) => recorded.slot !== undefined && !order.includes(index),
    );
    if (next < 0) {
      break;
    }
    order.push(next);
    current = (waiting[next] as ReturnType<typeof admit>).recorded;
  }
  return order;
}

describe('claims on slots', () => {
  it('should put calls first, then the priority of the customer before that of the route', () => {
    const running = admit(UPLOAD);
    const waiting = [
      admit({ ...UPLOAD, customerPriority: 1, priority: 0 }),
      admit({ ...UPLOAD, customerPriority: 0, priority: 2 }),
      admit({ ...CALL, priority: 3 }),
    ];
    expect(grantOrder(running, waiting)).toEqual([2, 1, 0]);
  });

  it('should keep the order of before where no request has a customer', () => {
    const limit = new StatedLimit(clock, createSilentLog(clock));
    const before = new SlotQueue(clock, () => false, limit, noClaims);
    const orders = [queue, before].map((tested) => {
      queue = tested;
      queue.resize(1);
      const others = { ...UPLOAD, customer: undefined };
      const running = admit(others);
      const waiting = [
        admit({ ...others, priority: 1 }, 400),
        admit({ ...CALL, priority: 2 }),
        admit({ ...others, priority: 1 }),
        admit({ ...others, priority: 0 }),
      ];
      return grantOrder(running, waiting);
    });
    expect(orders[0]).toHaveLength(4);
    expect(orders[0]).toEqual(orders[1]);
  });

  it('should put requests that were refused before first within their rank', () => {
    const running = admit(UPLOAD);
    const waiting = [
      admit(UPLOAD),
      admit(UPLOAD, 5),
      admit(UPLOAD, 400),
      admit({ ...UPLOAD, priority: 1 }),
    ];
    expect(grantOrder(running, waiting)).toEqual([3, 2, 1, 0]);
  });

  it('should state a wait to refused callers that spreads their returns, where customers compete', async () => {
    const sample = admit({ ...UPLOAD, customer: undefined }).recorded;
    await clock.advance(600);
    sample.slot?.release(ServiceTimeSample.Exact);
    const waits = [undefined, 'c'].map((customer) => {
      const refused = { ...UPLOAD, customer, serviceTimeKey: 'slow' };
      for (let count = 0; count < 60; count += 1) {
        const { admission, waitMs } = admit(refused).decision;
        if (admission === Admission.Refused) {
          return waitMs;
        }
      }
      return undefined;
    });
    const spreadMs = (UPLOAD.targetLatencyMs + 5_000) / 3 / 1.5;
    expect(waits[0]).toBeGreaterThan(spreadMs);
    expect(waits[1]).toBeCloseTo(spreadMs);
  });

  it('should not take a request with a customer, or a slow route without one, for a call', () => {
    const claims = new SlotClaims(clock, () => 50);
    const { request } = createRecordedRequest();
    expect(claims.rank({ ...request, ...UPLOAD }, 9).isCall).toBe(false);
    expect(claims.rank({ ...request, ...CALL, customer: 'c' }, 9).isCall).toBe(false);
    const slow = { ...CALL, serviceTimeKey: 'status', targetLatencyMs: 1_500 };
    expect(claims.rank({ ...request, ...slow }, 9).isCall).toBe(false);
    expect(claims.rank({ ...request, ...CALL }, 9).isCall).toBe(true);
  });

  it('should leave slots to calls while they arrive, and give them back afterwards', async () => {
    const slots = 4;
    queue.resize(slots);
    // Uploads that run for 2 s free a slot too seldom for a call that is due after 234 ms.
    const uploads = Array.from({ length: 2 }, () => admit(UPLOAD).recorded);
    await clock.advance(2_000);
    uploads.forEach(({ slot }) => slot?.release(ServiceTimeSample.Exact));
    for (let count = 0; count < 40; count += 1) {
      const { recorded } = admit(CALL);
      await clock.advance(50);
      recorded.slot?.release(ServiceTimeSample.Exact);
    }
    const patient = { ...UPLOAD, targetLatencyMs: 60_000 };
    const burst = Array.from({ length: slots }, () => admit(patient).decision);
    expect(burst.at(-1)?.admission).toBe(Admission.Queued);
    expect(admit(CALL).decision.admission).toBe(Admission.Granted);
    const { running } = queue.load;
    await clock.advance(12_000);
    expect(queue.load.running).toBeGreaterThan(running);
  });

  it('should reserve nothing where slots become free often enough for calls', () => {
    const competition = { slots: 9, callMs: 50, callTargetMs: 234, otherMs: 237 };
    expect(slotsToReserve({ ...competition, callsPerMs: 0 })).toBe(0);
    expect(slotsToReserve({ ...competition, callsPerMs: 0.015 })).toBe(0);
    expect(slotsToReserve({ ...competition, callsPerMs: 0.015, otherMs: 2_000 })).toBeGreaterThan(
      0,
    );
    expect(slotsToReserve({ ...competition, callsPerMs: 5, otherMs: 2_000 })).toBeLessThan(9);
  });
});
