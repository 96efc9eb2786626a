import { SeededRandomness } from 'lentillb';
import { Admission, ServiceTimeSample, WaitLimit } from 'lentillb/admission/slotQueue.js';
import type { SlotQueue } from 'lentillb/admission/slotQueue.js';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';
import { createSlotQueue } from '../support/slotQueue.js';
import type { RecordedRequest } from '../support/slotRequests.js';
import { createRecordedRequest } from '../support/slotRequests.js';

const SERVICE_MS = 60;

/** Creates a queue that has one service time sample. */
async function measuredQueue(clock: ManualClock, slots: number): Promise<SlotQueue> {
  const queue = createSlotQueue(clock);
  queue.resize(slots);
  const sample = createRecordedRequest({ deadlineAtMs: Infinity, targetAtMs: Infinity });
  queue.admit(sample.request);
  await clock.advance(SERVICE_MS);
  sample.slot?.release(ServiceTimeSample.Exact);
  return queue;
}

describe('slot queue', () => {
  it('should grant a free slot at once', async () => {
    const queue = createSlotQueue(new ManualClock());
    queue.resize(1);
    const first = createRecordedRequest();
    expect(queue.admit(first.request).admission).toBe(Admission.Granted);
    expect(first.slot).toBeDefined();
    expect(queue.load).toEqual({ slots: 1, running: 1, queued: 0 });
  });

  it('should refuse a request on arrival if it cannot be answered on time', async () => {
    const clock = new ManualClock();
    const queue = await measuredQueue(clock, 1);
    const nowMs = clock.monotonicMs();
    queue.admit(createRecordedRequest().request);
    const urgent = createRecordedRequest({ targetAtMs: nowMs + SERVICE_MS * 2 });
    const decision = queue.admit(urgent.request);
    expect(decision.admission).toBe(Admission.Refused);
    expect(decision.waitMs).toBeGreaterThan(0);
    expect(queue.load.queued).toBe(0);
  });

  it('should queue a request that can be answered on time', async () => {
    const clock = new ManualClock();
    const queue = await measuredQueue(clock, 1);
    queue.admit(createRecordedRequest().request);
    const patient = createRecordedRequest({ targetAtMs: clock.monotonicMs() + SERVICE_MS * 3 });
    expect(queue.admit(patient.request).admission).toBe(Admission.Queued);
  });

  it('should queue a late request only if it can finish within half of its remaining time', async () => {
    const clock = new ManualClock();
    const queue = await measuredQueue(clock, 1);
    queue.admit(createRecordedRequest().request);
    const nowMs = clock.monotonicMs();
    const waitLimit = WaitLimit.UntilDeadline;
    const short = createRecordedRequest({
      waitLimit,
      targetAtMs: nowMs,
      deadlineAtMs: nowMs + 200,
    });
    const long = createRecordedRequest({
      waitLimit,
      targetAtMs: nowMs,
      deadlineAtMs: nowMs + 400,
    });
    expect(queue.admit(short.request).admission).toBe(Admission.Refused);
    expect(queue.admit(long.request).admission).toBe(Admission.Queued);
  });

  it('should grant slots by priority, then by target latency, then by target time', async () => {
    const clock = new ManualClock();
    const queue = await measuredQueue(clock, 1);
    const running = createRecordedRequest();
    queue.admit(running.request);
    const nowMs = clock.monotonicMs();
    const fields = { targetAtMs: nowMs + 2_000, deadlineAtMs: nowMs + 4_000 };
    const least = createRecordedRequest({ ...fields, priority: 2 });
    const later = createRecordedRequest({ ...fields, priority: 1, targetLatencyMs: 250 });
    const sooner = createRecordedRequest({
      ...fields,
      priority: 1,
      targetLatencyMs: 250,
      targetAtMs: nowMs + 1_000,
    });
    const call = createRecordedRequest({ ...fields, priority: 1, targetLatencyMs: 60 });
    const most = createRecordedRequest({ ...fields, priority: 0 });
    [least, later, sooner, call, most].forEach(({ request }) => queue.admit(request));
    const order = [running, most, call, sooner, later, least];
    order.slice(1).forEach((expected, index) => {
      expect(expected.slot).toBeUndefined();
      order[index]?.slot?.release(ServiceTimeSample.Exact);
      expect(expected.slot).toBeDefined();
    });
  });

  it('should let a call inside a run go first if more urgent requests stay on time', async () => {
    const clock = new ManualClock();
    const queue = await measuredQueue(clock, 1);
    const running = createRecordedRequest();
    queue.admit(running.request);
    const nowMs = clock.monotonicMs();
    const deadlineAtMs = nowMs + SERVICE_MS * 20;
    const urgent = [1, 2].map(() =>
      createRecordedRequest({
        priority: 0,
        targetLatencyMs: SERVICE_MS * 10,
        targetAtMs: nowMs + SERVICE_MS * 10,
        deadlineAtMs,
      }),
    );
    urgent.forEach(({ request }) => queue.admit(request));
    const pressing = createRecordedRequest({
      priority: 1,
      targetLatencyMs: SERVICE_MS * 3,
      targetAtMs: nowMs + SERVICE_MS * 3,
      deadlineAtMs,
    });
    expect(queue.admit(pressing.request).admission).toBe(Admission.Queued);
    await clock.advance(SERVICE_MS);
    running.slot?.release(ServiceTimeSample.Exact);
    expect(pressing.slot).toBeDefined();
  });

  it('should not let a call inside a run make a more urgent request late', async () => {
    const clock = new ManualClock();
    const queue = await measuredQueue(clock, 1);
    const running = createRecordedRequest();
    queue.admit(running.request);
    const nowMs = clock.monotonicMs();
    const deadlineAtMs = nowMs + SERVICE_MS * 20;
    const call = {
      priority: 1,
      targetLatencyMs: SERVICE_MS * 2.5,
      targetAtMs: nowMs + SERVICE_MS * 2.5,
      deadlineAtMs,
    };
    const early = createRecordedRequest(call);
    const urgent = createRecordedRequest({
      priority: 0,
      targetLatencyMs: SERVICE_MS * 3,
      targetAtMs: nowMs + SERVICE_MS * 3,
      deadlineAtMs,
    });
    const refused = createRecordedRequest(call);
    expect(queue.admit(early.request).admission).toBe(Admission.Queued);
    expect(queue.admit(urgent.request).admission).toBe(Admission.Queued);
    expect(queue.admit(refused.request).admission).toBe(Admission.Refused);
    await clock.advance(SERVICE_MS / 2);
    running.slot?.release(ServiceTimeSample.None);
    expect(urgent.slot).toBeDefined();
    expect(early.slot).toBeUndefined();
  });

  it('should drop a queued request that can no longer be answered in time', async () => {
    const clock = new ManualClock();
    const queue = await measuredQueue(clock, 1);
    const running = createRecordedRequest();
    queue.admit(running.request);
    const nowMs = clock.monotonicMs();
    const waiting = createRecordedRequest({ targetAtMs: nowMs + 200, deadlineAtMs: nowMs + 200 });
    queue.admit(waiting.request);
    await clock.advance(190);
    running.slot?.release(ServiceTimeSample.Exact);
    expect(waiting.dropped).toBe(true);
    expect(waiting.slot).toBeUndefined();
  });

  it('should drop a queued request as soon as more urgent ones leave it no slot in time', async () => {
    const clock = new ManualClock();
    const queue = await measuredQueue(clock, 1);
    queue.admit(createRecordedRequest().request);
    const nowMs = clock.monotonicMs();
    const least = createRecordedRequest({
      waitLimit: WaitLimit.UntilDeadline,
      targetAtMs: nowMs,
      deadlineAtMs: nowMs + SERVICE_MS * 5,
    });
    const patient = createRecordedRequest({
      waitLimit: WaitLimit.UntilDeadline,
      targetAtMs: nowMs,
      deadlineAtMs: nowMs + SERVICE_MS * 20,
    });
    queue.admit(least.request);
    queue.admit(patient.request);
    const urgent = [1, 2, 3, 4].map(() =>
      createRecordedRequest({
        priority: 0,
        targetAtMs: nowMs + SERVICE_MS * 10,
        deadlineAtMs: nowMs + SERVICE_MS * 10,
      }),
    );
    urgent.slice(1).forEach(({ request }) => queue.admit(request));
    expect(least.dropped).toBe(false);
    urgent.slice(0, 1).forEach(({ request }) => queue.admit(request));
    expect(least.dropped).toBe(true);
    expect(patient.dropped).toBe(false);
    expect(queue.load.queued).toBe(urgent.length + 1);
  });

  it('should queue an urgent request though less urgent ones fill the queue', async () => {
    const clock = new ManualClock();
    const queue = await measuredQueue(clock, 1);
    queue.admit(createRecordedRequest().request);
    const fields = { targetAtMs: Infinity, deadlineAtMs: Infinity };
    const filling: RecordedRequest[] = [];
    let last = createRecordedRequest(fields);
    while (queue.admit(last.request).admission === Admission.Queued) {
      filling.push(last);
      last = createRecordedRequest(fields);
    }
    const { queued } = queue.load;
    const urgent = createRecordedRequest({ ...fields, priority: 1 });
    expect(queue.admit(urgent.request).admission).toBe(Admission.Queued);
    expect(queue.load.queued).toBe(queued);
    expect(filling.filter(({ dropped }) => dropped)).toHaveLength(1);
  });

  // A server that hangs when full would never answer requests beside those of an earlier process.
  it('should use slots that an earlier process may occupy only as answers arrive', async () => {
    const clock = new ManualClock();
    const queue = createSlotQueue(clock);
    queue.resize(9, true);
    const fields = { targetAtMs: 60_000, deadlineAtMs: 60_000 };
    const requests = Array.from({ length: 9 }, () => createRecordedRequest(fields));
    requests.forEach(({ request }) => queue.admit(request));
    expect(queue.load.running).toBe(3);
    requests[0]?.slot?.release(ServiceTimeSample.Exact);
    expect(queue.load.running).toBe(4);
    requests[1]?.slot?.release(ServiceTimeSample.None);
    expect(queue.load.running).toBe(4);
    await clock.advance(2_000);
    expect(queue.load.running).toBe(7);
    queue.resize(9, true);
    expect(queue.load).toMatchObject({ running: 7, queued: 0 });
  });

  it('should remove a cancelled request from the queue', async () => {
    const clock = new ManualClock();
    const queue = await measuredQueue(clock, 1);
    const running = createRecordedRequest();
    queue.admit(running.request);
    const nowMs = clock.monotonicMs();
    const waiting = createRecordedRequest({ targetAtMs: nowMs + 400, deadlineAtMs: nowMs + 500 });
    const { cancel } = queue.admit(waiting.request);
    cancel();
    running.slot?.release(ServiceTimeSample.Exact);
    expect(waiting.slot).toBeUndefined();
    expect(waiting.dropped).toBe(false);
  });

  it('should drop all queued requests when the backend server leaves', async () => {
    const clock = new ManualClock();
    const queue = await measuredQueue(clock, 1);
    queue.admit(createRecordedRequest().request);
    const nowMs = clock.monotonicMs();
    const waiting = createRecordedRequest({ targetAtMs: nowMs + 400, deadlineAtMs: nowMs + 500 });
    queue.admit(waiting.request);
    queue.dropAll();
    expect(waiting.dropped).toBe(true);
  });

  it('should keep nearly all slots serving on-time requests at twice the capacity', async () => {
    const clock = new ManualClock();
    const slots = 10;
    const queue = await measuredQueue(clock, slots);
    const randomness = new SeededRandomness(7);
    const arrivalsPerMs = (2 * slots) / SERVICE_MS;
    const startMs = clock.monotonicMs();
    const runMs = 3_000;
    let onTime = 0;
    let late = 0;
    let dropped = 0;
    let mostRunning = 0;
    const arrive = (): void => {
      const nowMs = clock.monotonicMs();
      const targetAtMs = nowMs + 200;
      queue.admit(
        createRecordedRequest({
          targetAtMs,
          deadlineAtMs: nowMs + 500,
          onDropped: () => {
            dropped += 1;
          },
          onGranted: (slot) => {
            mostRunning = Math.max(mostRunning, queue.load.running);
            clock.after(SERVICE_MS * (0.5 + randomness.fraction()), () => {
              slot.release(ServiceTimeSample.Exact);
              if (clock.monotonicMs() <= targetAtMs) {
                onTime += 1;
              } else {
                late += 1;
              }
            });
          },
        }).request,
      );
    };
    let dueMs = startMs;
    while (dueMs < startMs + runMs) {
      clock.after(dueMs - startMs, arrive);
      dueMs += -Math.log(1 - randomness.fraction()) / arrivalsPerMs;
    }
    await clock.advance(runMs + 500);
    const capacity = (runMs / SERVICE_MS) * slots;
    expect(mostRunning).toBeLessThanOrEqual(slots);
    expect(onTime).toBeGreaterThan(capacity * 0.9);
    expect(late).toBeLessThan(capacity * 0.05);
    expect(dropped).toBeLessThan(capacity * 0.02);
  });

  it('should expect long service times once requests are cut off at their deadline', async () => {
    const clock = new ManualClock();
    const queue = await measuredQueue(clock, 4);
    const cutOff = createRecordedRequest({ deadlineAtMs: Infinity, targetAtMs: Infinity });
    queue.admit(cutOff.request);
    await clock.advance(SERVICE_MS * 9);
    cutOff.slot?.release(ServiceTimeSample.AtLeast);
    const { serviceTimeKey } = cutOff.request;
    expect(queue.recentServiceTimes(1_000)).toEqual([[serviceTimeKey, SERVICE_MS * 5]]);
    const short = createRecordedRequest({ deadlineAtMs: Infinity, targetAtMs: Infinity });
    queue.admit(short.request);
    await clock.advance(SERVICE_MS);
    short.slot?.release(ServiceTimeSample.AtLeast);
    expect(queue.recentServiceTimes(1_000)).toEqual([[serviceTimeKey, SERVICE_MS * 5]]);
    await clock.advance(2_000);
    expect(queue.recentServiceTimes(1_000)).toEqual([]);
  });
});
