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
let results: string[];

beforeEach(() => {
  clock = new ManualClock();
  results = [];
});

/** Requests a permit and records the result under a name. */
function requestPermit(
  queue: AdmissionQueue,
  name: string,
  priority: Priority = 'normal',
  cancellation = new Cancellation(),
): Promise<Release | undefined> {
  const deadline = Deadline.after(clock, DEADLINE_MS);
  return queue.admit({ priority, deadline, cancellation }).then((result) => {
    results.push(`${name} ${result.isOk() ? 'admitted' : result.error}`);
    return result.isOk() ? result.value : undefined;
  });
}

function createQueue(maxConcurrent: number, maxWaiting: number): AdmissionQueue {
  return new AdmissionQueue(clock, () => ({ maxConcurrent, maxWaiting }));
}

describe('admission queue', () => {
  it('should admit calls up to its limit and then let a bounded number wait', async () => {
    const queue = createQueue(1, 1);
    requestPermit(queue, 'a');
    requestPermit(queue, 'b');
    requestPermit(queue, 'c');
    await clock.advance(1);
    expect(results.sort()).toEqual(['a admitted', 'c full']);
    expect([queue.inFlight, queue.waiting]).toEqual([1, 1]);
  });

  it('should admit waiting calls by priority, then in order of arrival', async () => {
    const queue = createQueue(1, 9);
    const release = await requestPermit(queue, 'first');
    const calls: [string, Priority][] = [
      ['low', 'low'],
      ['normal', 'normal'],
      ['high', 'high'],
      ['high again', 'high'],
    ];
    const waitingCalls = calls.map(([name, priority]) =>
      requestPermit(queue, name, priority).then((next) => next?.()),
    );
    release?.();
    await Promise.all(waitingCalls);
    expect(results).toEqual([
      'first admitted',
      'high admitted',
      'high again admitted',
      'normal admitted',
      'low admitted',
    ]);
  });

  it('should evict a waiting call for one of higher priority, but not of equal priority', async () => {
    const queue = createQueue(1, 1);
    requestPermit(queue, 'first');
    requestPermit(queue, 'low', 'low');
    requestPermit(queue, 'high', 'high');
    requestPermit(queue, 'high again', 'high');
    await clock.advance(1);
    expect(results.sort()).toEqual(['first admitted', 'high again full', 'low full']);
  });

  it('should reject a waiting call at its deadline, and not before', async () => {
    const queue = createQueue(1, 5);
    requestPermit(queue, 'first');
    requestPermit(queue, 'late');
    await clock.advance(DEADLINE_MS - 1);
    expect(results).toEqual(['first admitted']);
    await clock.advance(1);
    expect(results[1]).toBe(`late ${AdmissionRefusal.DeadlinePassed}`);
    expect(queue.waiting).toBe(0);
  });

  it('should remove a waiting call whose caller disconnects', async () => {
    const queue = createQueue(1, 5);
    const cancellation = new Cancellation();
    const release = await requestPermit(queue, 'first');
    requestPermit(queue, 'gone', 'normal', cancellation);
    cancellation.cancel(CancelReason.CallerGone);
    release?.();
    await clock.advance(1);
    expect(results).toEqual(['first admitted', `gone ${AdmissionRefusal.Cancelled}`]);
    expect(queue.inFlight).toBe(0);
  });

  it('should release a permit only once', async () => {
    const queue = createQueue(1, 0);
    const release = await requestPermit(queue, 'first');
    release?.();
    release?.();
    expect(queue.inFlight).toBe(0);
  });

  it('should never exceed its limit nor leak a permit in any order of events', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 3 }),
        fc.integer({ min: 0, max: 3 }),
        fc.array(fc.constantFrom('ask', 'release', 'wait', 'cancel'), { maxLength: 40 }),
        async (places, length, steps) => {
          clock = new ManualClock();
          const queue = createQueue(places, length);
          const releases: Release[] = [];
          const cancellations: Cancellation[] = [];
          for (const step of steps) {
            if (step === 'ask') {
              const cancellation = new Cancellation();
              cancellations.push(cancellation);
              requestPermit(queue, 'x', 'normal', cancellation).then((release) => {
                if (release !== undefined) {
                  releases.push(release);
                }
              });
            } else if (step === 'release') {
              releases.shift()?.();
            } else if (step === 'cancel') {
              cancellations.pop()?.cancel(CancelReason.CallerGone);
            } else {
              await clock.advance(DEADLINE_MS / 2);
            }
            expect(queue.inFlight).toBeLessThanOrEqual(places);
            expect(queue.waiting).toBeLessThanOrEqual(length);
          }
          await clock.advance(DEADLINE_MS);
          releases.forEach((release) => release());
          expect([queue.inFlight, queue.waiting]).toEqual([0, 0]);
        },
      ),
      { seed: 31, numRuns: 100 },
    );
  });
});
