import { Deadline } from 'lentillb';
import type { Release } from 'lentillb/calls/admissionQueue.js';
import { AdmissionQueue, AdmissionRefusal } from 'lentillb/calls/admissionQueue.js';
import { Cancellation, CancelReason } from 'lentillb/calls/cancellation.js';
import type { Priority } from 'lentillb/rules/ruleForms.js';
import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const DEADLINE_MS = 1_000;

let clock: ManualClock;
let told: string[];

beforeEach(() => {
  clock = new ManualClock();
  told = [];
});

/** Asks for a place and notes the answer under a name. */
function ask(
  queue: AdmissionQueue,
  name: string,
  priority: Priority = 'normal',
  cancellation = new Cancellation(),
): Promise<Release | undefined> {
  const deadline = Deadline.after(clock, DEADLINE_MS);
  return queue.admit({ priority, deadline, cancellation }).then((result) => {
    told.push(`${name} ${result.isOk() ? 'admitted' : result.error}`);
    return result.isOk() ? result.value : undefined;
  });
}

function queueOf(places: number, queue: number): AdmissionQueue {
  return new AdmissionQueue(clock, () => ({ places, queue }));
}

describe('admission queue', () => {
  it('should admit up to its places and then let a bounded number wait', async () => {
    const queue = queueOf(1, 1);
    ask(queue, 'a');
    ask(queue, 'b');
    ask(queue, 'c');
    await clock.advance(1);
    expect(told.sort()).toEqual(['a admitted', 'c full']);
    expect([queue.inFlight, queue.waiting]).toEqual([1, 1]);
  });

  it('should admit the most important that waits, then the one that waited longest', async () => {
    const queue = queueOf(1, 9);
    const release = await ask(queue, 'first');
    const names: [string, Priority][] = [
      ['low', 'low'],
      ['normal', 'normal'],
      ['high', 'high'],
      ['high again', 'high'],
    ];
    const others = names.map(([name, priority]) =>
      ask(queue, name, priority).then((next) => next?.()),
    );
    release?.();
    await Promise.all(others);
    expect(told).toEqual([
      'first admitted',
      'high admitted',
      'high again admitted',
      'normal admitted',
      'low admitted',
    ]);
  });

  it('should make room for a more important call, never for an equal one', async () => {
    const queue = queueOf(1, 1);
    ask(queue, 'first');
    ask(queue, 'low', 'low');
    ask(queue, 'high', 'high');
    ask(queue, 'high again', 'high');
    await clock.advance(1);
    expect(told.sort()).toEqual(['first admitted', 'high again full', 'low full']);
  });

  it('should refuse at the deadline what still waits, and not before', async () => {
    const queue = queueOf(1, 5);
    ask(queue, 'first');
    ask(queue, 'late');
    await clock.advance(DEADLINE_MS - 1);
    expect(told).toEqual(['first admitted']);
    await clock.advance(1);
    expect(told[1]).toBe(`late ${AdmissionRefusal.DeadlinePassed}`);
    expect(queue.waiting).toBe(0);
  });

  it('should forget a caller that goes away', async () => {
    const queue = queueOf(1, 5);
    const cancellation = new Cancellation();
    const release = await ask(queue, 'first');
    ask(queue, 'gone', 'normal', cancellation);
    cancellation.cancel(CancelReason.CallerGone);
    release?.();
    await clock.advance(1);
    expect(told).toEqual(['first admitted', `gone ${AdmissionRefusal.Cancelled}`]);
    expect(queue.inFlight).toBe(0);
  });

  it('should give a place back only once', async () => {
    const queue = queueOf(1, 0);
    const release = await ask(queue, 'first');
    release?.();
    release?.();
    expect(queue.inFlight).toBe(0);
  });

  it('should never hold more than its places, nor lose one, whatever happens', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 3 }),
        fc.integer({ min: 0, max: 3 }),
        fc.array(fc.constantFrom('ask', 'release', 'wait', 'cancel'), { maxLength: 40 }),
        async (places, length, steps) => {
          clock = new ManualClock();
          const queue = queueOf(places, length);
          const held: Release[] = [];
          const cancellations: Cancellation[] = [];
          for (const step of steps) {
            if (step === 'ask') {
              const cancellation = new Cancellation();
              cancellations.push(cancellation);
              ask(queue, 'x', 'normal', cancellation).then((release) => {
                if (release !== undefined) {
                  held.push(release);
                }
              });
            } else if (step === 'release') {
              held.shift()?.();
            } else if (step === 'cancel') {
              cancellations.pop()?.cancel(CancelReason.CallerGone);
            } else {
              await clock.advance(DEADLINE_MS / 2);
            }
            expect(queue.inFlight).toBeLessThanOrEqual(places);
            expect(queue.waiting).toBeLessThanOrEqual(length);
          }
          await clock.advance(DEADLINE_MS);
          held.forEach((release) => release());
          expect([queue.inFlight, queue.waiting]).toEqual([0, 0]);
        },
      ),
      { seed: 31, numRuns: 100 },
    );
  });
});
