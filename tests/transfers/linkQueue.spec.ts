import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { Cancellation, CancelReason } from 'lentillb/calls/cancellation.js';
import { WaitLimit } from 'lentillb/admission/slotQueue.js';
import { runInBackground } from 'lentillb/utils/background.js';
import { LinkQueue } from 'lentillb/transfers/linkQueue.js';
import type { BodyTransfer } from 'lentillb/transfers/linkQueue.js';
import { beforeEach, describe, expect, it } from 'vitest';
import { createSilentLog } from '../support/slotQueue.js';
import { ManualClock } from '../support/manualClock.js';

const LINK_MEGABITS = 7;
const BYTES = 60_000;
/** The time that a body takes on the link, in milliseconds. */
const BODY_MS = BYTES / (LINK_MEGABITS * 125);
const TARGET_MS = 2_100;
const SERVICE_MS = 240;

let clock: ManualClock;
let link: LinkQueue;

function transfer(key: string, fields: Partial<BodyTransfer> = {}): BodyTransfer {
  return {
    key,
    route: 'upload',
    bytes: BYTES,
    senderMegabits: LINK_MEGABITS,
    customerPriority: 1,
    priority: 2,
    targetAtMs: clock.monotonicMs() + TARGET_MS,
    deadlineAtMs: clock.monotonicMs() + TARGET_MS,
    waitLimit: WaitLimit.OnTime,
    expectedMs: SERVICE_MS,
    cancellation: new Cancellation(),
    ...fields,
  };
}

/** Reserves the link, and sends the body once it may be sent. */
async function reserveAndSend(
  key: string,
  outcomes: string[],
  fields: Partial<BodyTransfer> = {},
): Promise<void> {
  const reserved = await link.reserve(transfer(key, fields));
  outcomes.push(`${key} ${reserved.isOk() ? 'sent' : 'refused'}`);
  if (reserved.isOk()) {
    clock.after(BODY_MS, () => link.complete(key));
  }
}

function send(key: string, outcomes: string[], fields: Partial<BodyTransfer> = {}): void {
  runInBackground(reserveAndSend(key, outcomes, fields));
}

beforeEach(() => {
  clock = new ManualClock();
  const services = { clock, log: createSilentLog(clock), metrics: new MetricsRegistry() };
  link = new LinkQueue(services, LINK_MEGABITS);
});

describe('the link of a host', () => {
  it('should carry one body after the other, and refuse at once those that would be late', async () => {
    // A burst of twice what the link carries: 29 bodies a second, each of which takes 69 ms.
    const outcomes: string[] = [];
    const startedAtMs = clock.monotonicMs();
    for (let index = 0; index < 145; index += 1) {
      const count = outcomes.length;
      send(`r${index}`, outcomes);
      await clock.advance(1_000 / 29);
      // At most one body arrives meanwhile, and a refusal does not wait.
      expect(outcomes.length - count).toBeLessThanOrEqual(2);
    }
    const sent = outcomes.filter((outcome) => outcome.endsWith('sent')).length;
    const elapsedMs = clock.monotonicMs() - startedAtMs;
    expect(sent).toBeGreaterThan((elapsedMs / BODY_MS) * 0.9);
    expect(outcomes.length - sent).toBeGreaterThan(20);
    // The last one that was accepted still arrives in time.
    await clock.advance(TARGET_MS - SERVICE_MS);
    expect(link.waitingCount).toBe(0);
  });

  it('should let more urgent bodies go first', async () => {
    const outcomes: string[] = [];
    send('first', outcomes);
    send('less urgent', outcomes);
    send('of another customer', outcomes, { customerPriority: 0 });
    await clock.advance(3 * BODY_MS + 1);
    expect(outcomes).toEqual(['first sent', 'of another customer sent', 'less urgent sent']);
  });

  // Guards against zones that exchange their bodies while all of them are short of room.
  it('should refuse a body of another zone unless its link is free', async () => {
    const outcomes: string[] = [];
    send('foreign', outcomes, { crossesZones: true });
    send('own', outcomes);
    send('second foreign', outcomes, { crossesZones: true });
    await clock.advance(0);
    expect(outcomes).toEqual(['foreign sent', 'second foreign refused']);
    await clock.advance(BODY_MS);
    expect(outcomes.at(-1)).toBe('own sent');
  });

  it('should carry bodies of narrow senders at the same time', async () => {
    const outcomes: string[] = [];
    send('a', outcomes, { senderMegabits: 3 });
    send('b', outcomes, { senderMegabits: 3 });
    send('c', outcomes, { senderMegabits: 3 });
    await clock.advance(0);
    expect(outcomes).toEqual(['a sent', 'b sent']);
  });

  it('should go on when a sender has ended before its body arrived', async () => {
    const reserved: string[] = [];
    await link.reserve(transfer('gone'));
    send('next', reserved);
    await clock.advance(1_000);
    expect(reserved).toEqual(['next sent']);
  });

  it('should forget a body whose caller has left', async () => {
    const outcomes: string[] = [];
    const cancellation = new Cancellation();
    send('first', outcomes);
    send('left', outcomes, { cancellation });
    cancellation.cancel(CancelReason.CallerGone);
    await clock.advance(0);
    expect(outcomes).toEqual(['first sent', 'left refused']);
    expect(link.waitingCount).toBe(0);
  });

  it('should report how long bodies of a route lately took to arrive', async () => {
    const outcomes: string[] = [];
    send('first', outcomes);
    send('second', outcomes);
    await clock.advance(2 * BODY_MS + 1);
    expect(link.recentMs('upload')).toBeCloseTo(1.5 * BODY_MS, 0);
    await clock.advance(4_000);
    expect(link.recentMs('upload')).toBe(0);
  });
});
