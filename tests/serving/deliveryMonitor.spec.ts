import type { Socket } from 'node:net';
import type { DeliveryQuestion, DeliveryReply } from 'lentillb/directory/delivery.js';
import { DeliveryState } from 'lentillb/directory/delivery.js';
import type { Delivery, DeliveryEvidence, LostDelivery } from 'lentillb/serving/deliveryMonitor.js';
import { DeliveryMonitor } from 'lentillb/serving/deliveryMonitor.js';
import { ExchangeFailure } from 'lentillb/serving/exchange.js';
import { ReceivedRequests } from 'lentillb/serving/receivedRequests.js';
import { Err, Ok } from 'ts-results-es';
import type { Result } from 'ts-results-es';
import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const USUAL_MS = 100;
const CHECK_INTERVAL_MS = 10;
const PROCESS = 7;
/** The shortest time after which a host sends a lost segment again. */
const RETRANSMISSION_MS = 200;

/** A clock whose wall-clock time a test can move. */
class SuspendedClock extends ManualClock {
  suspendedMs = 0;

  override now(): Date {
    return new Date(super.now().getTime() + this.suspendedMs);
  }
}

/** An inquiry and the function that answers it. */
interface AwaitedReply {
  readonly gateAddress: string;
  readonly questions: readonly DeliveryQuestion[];
  readonly answer: (reply: Result<DeliveryReply, ExchangeFailure>) => void;
  isAnswered: boolean;
}

let clock: SuspendedClock;
let monitor: DeliveryMonitor;
let inquiries: AwaitedReply[];
let fates: LostDelivery[];
let evidence: DeliveryEvidence[];
let socket: { bytesRead: number };

function watch(key: string, fields: Partial<Delivery> = {}): () => void {
  return monitor.watch({
    key,
    gateAddress: 'g:1',
    socket: socket as Socket,
    sentAtMs: clock.monotonicMs(),
    processId: PROCESS,
    usualMs: USUAL_MS,
    onLost: (fate, judgedBy) => {
      fates.push(fate);
      evidence.push(judgedBy);
    },
    ...fields,
  });
}

/** Advances the time, with checks as often as the failure detector makes them. */
async function advance(durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 1) {
    await clock.advance(1);
    if (clock.monotonicMs() % CHECK_INTERVAL_MS === 0) {
      monitor.inquireOverdue();
    }
  }
  await clock.advance(0);
}

function questionsOf(key: string): readonly string[] {
  return inquiries
    .filter(({ questions }) => questions.some((one) => one.key === key))
    .map(({ gateAddress }) => gateAddress);
}

/** Answers the open inquiry about a request, the same for all requests in it. */
async function reply(key: string, state: DeliveryState, processId = PROCESS): Promise<void> {
  const inquiry = inquiries.find(
    ({ isAnswered, questions }) => !isAnswered && questions.some((one) => one.key === key),
  );
  inquiry?.answer(Ok({ states: inquiry.questions.map(() => state), processId }));
  await advance(0);
}

beforeEach(() => {
  clock = new SuspendedClock();
  inquiries = [];
  fates = [];
  evidence = [];
  socket = { bytesRead: 10 };
  monitor = new DeliveryMonitor(
    clock,
    (gateAddress, questions) =>
      new Promise((resolve) => {
        const inquiry = {
          gateAddress,
          questions,
          isAnswered: false,
          answer: (result: Result<DeliveryReply, ExchangeFailure>) => {
            inquiry.isAnswered = true;
            resolve(result);
          },
        };
        inquiries.push(inquiry);
      }),
  );
});

describe('a request that another node has not answered', () => {
  it('should not be asked for within its usual time, nor after its end', async () => {
    const end = watch('a');
    await advance(USUAL_MS - 1);
    expect(inquiries).toEqual([]);
    end();
    await advance(2_000);
    expect(inquiries).toEqual([]);
  });

  it('should not be asked for while its answer arrives', async () => {
    watch('a');
    socket.bytesRead += 1;
    await advance(2_000);
    expect(inquiries).toEqual([]);
  });

  it('should not be lost if its answer is read after the reply of its node', async () => {
    watch('a');
    await advance(USUAL_MS);
    const replied = reply('a', DeliveryState.NotRun);
    socket.bytesRead += 1;
    await replied;
    expect(fates).toEqual([]);
  });

  it('should be asked for a few times only', async () => {
    watch('a');
    await advance(USUAL_MS);
    for (let elapsedMs = 0; elapsedMs < 1_900; elapsedMs += CHECK_INTERVAL_MS) {
      await reply('a', DeliveryState.NotArrived);
      await advance(CHECK_INTERVAL_MS);
    }
    expect(inquiries.length).toBeGreaterThan(3);
    expect(inquiries.length).toBeLessThan(9);
  });

  it('should not be asked for again before its gate has replied', async () => {
    watch('a');
    watch('b');
    await advance(2_000);
    expect(inquiries.map(({ questions }) => questions.map(({ key }) => key))).toEqual([['a', 'b']]);
    inquiries[0]?.answer(Err(ExchangeFailure.TimedOut));
    await advance(USUAL_MS);
    expect(inquiries).toHaveLength(2);
    expect(fates).toEqual([]);
  });

  it('should be asked for together with others to its gate, a few times a second at most', async () => {
    for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += CHECK_INTERVAL_MS) {
      watch(`${elapsedMs}`);
      await advance(CHECK_INTERVAL_MS);
      inquiries.forEach(({ answer, isAnswered, questions }) => {
        if (!isAnswered) {
          answer(Ok({ states: questions.map(() => DeliveryState.InProgress), processId: PROCESS }));
        }
      });
    }
    expect(inquiries.length).toBeGreaterThan(2);
    expect(inquiries.length).toBeLessThan(7);
  });

  it('should be waited for while it is in progress, and be asked for now and then', async () => {
    watch('a');
    await advance(USUAL_MS);
    await reply('a', DeliveryState.InProgress);
    expect(fates).toEqual([]);
    await advance(290);
    expect(inquiries).toHaveLength(1);
    await advance(20);
    expect(inquiries).toHaveLength(2);
  });

  it('should count as not run if its node says so', async () => {
    watch('a');
    await advance(USUAL_MS);
    await reply('a', DeliveryState.NotRun);
    expect(fates).toEqual(['not-run']);
  });

  it('should be given up with the reply and the number of inquiries that it was judged by', async () => {
    watch('a');
    await advance(USUAL_MS);
    await reply('a', DeliveryState.NotRun);
    expect(evidence).toEqual([{ state: DeliveryState.NotRun, processId: PROCESS, inquiries: 1 }]);
  });

  it('should lose its answer if its node has sent it some time ago', async () => {
    watch('a');
    await advance(USUAL_MS);
    await reply('a', DeliveryState.Ended);
    expect(fates).toEqual([]);
    await advance(RETRANSMISSION_MS);
    expect(inquiries).toHaveLength(1);
    await advance(2 * USUAL_MS);
    await reply('a', DeliveryState.Ended);
    expect(fates).toEqual(['answer-lost']);
  });

  it('should be waited for while its node has not got it', async () => {
    watch('a', { processId: undefined });
    await advance(USUAL_MS);
    for (let round = 0; round < 5; round += 1) {
      await reply('a', DeliveryState.NotArrived, PROCESS + 1);
      await advance(2 * USUAL_MS);
    }
    expect(inquiries.length).toBeGreaterThan(2);
    expect(fates).toEqual([]);
  });

  it('should let only the process that was heard before promise that it will not run', async () => {
    watch('a');
    watch('b', { processId: undefined, gateAddress: 'other:1' });
    await advance(USUAL_MS);
    expect(inquiries.flatMap(({ questions }) => questions)).toEqual([
      { key: 'a', processId: PROCESS },
      { key: 'b', processId: undefined },
    ]);
  });

  it('should not count as not run if this host was suspended for so long that its gate may forget', async () => {
    watch('a');
    clock.suspendedMs = 30_000;
    await advance(USUAL_MS);
    await reply('a', DeliveryState.NotRun);
    expect(fates).toEqual([]);
  });

  it('should not count as not run if this host was suspended before the request was watched', async () => {
    // Reads the offset of the clocks, and again once the request has been sent.
    await advance(2_500);
    const sentAtMs = clock.monotonicMs();
    clock.suspendedMs = 30_000;
    await advance(20);
    watch('a', { sentAtMs });
    await advance(USUAL_MS);
    await reply('a', DeliveryState.NotRun);
    expect(fates).toEqual([]);
  });

  it('should be asked for at once when another connection to its host has gone silent', async () => {
    watch('a');
    await advance(USUAL_MS / 2);
    watch('b');
    watch('c', { gateAddress: 'other:1' });
    await advance(USUAL_MS / 2);
    inquiries.splice(1);
    await reply('a', DeliveryState.NotRun);
    await advance(CHECK_INTERVAL_MS);
    expect(questionsOf('b')).toEqual(['g:1']);
    expect(questionsOf('c')).toEqual([]);
  });
});

describe('requests that a gate has received', () => {
  let received: ReceivedRequests;

  beforeEach(() => {
    received = new ReceivedRequests(clock);
  });

  it('should not run once their sender was told that they have not run', () => {
    expect(received.inquire('a', true)).toBe(DeliveryState.NotRun);
    expect(received.admit('a')).toBe(false);
    expect(received.inquire('a', true)).toBe(DeliveryState.NotRun);
  });

  it('should run although their sender has asked, unless it was told that they have not run', () => {
    expect(received.inquire('a', false)).toBe(DeliveryState.NotArrived);
    expect(received.admit('a')).toBe(true);
    expect(received.inquire('a', false)).toBe(DeliveryState.InProgress);
  });

  it('should be in progress until they end', () => {
    expect(received.admit('a')).toBe(true);
    expect(received.inquire('a', true)).toBe(DeliveryState.InProgress);
    received.recordEnd('a', true);
    expect(received.inquire('a', true)).toBe(DeliveryState.Ended);
  });

  it('should not run again after a refusal that their sender may have been told of', () => {
    expect(received.admit('a')).toBe(true);
    received.recordEnd('a', false);
    expect(received.inquire('a', true)).toBe(DeliveryState.NotRun);
    expect(received.admit('a')).toBe(false);
  });

  it('should run if a caller sends a refused request again under its identity', () => {
    received.admit('a');
    received.recordEnd('a', false);
    expect(received.admit('a')).toBe(true);
  });

  it('should not count as not run if only the second of two with the same identity was refused', () => {
    received.admit('a');
    received.recordEnd('a', true);
    received.admit('a');
    received.recordEnd('a', false);
    expect(received.inquire('a', true)).toBe(DeliveryState.Ended);
  });

  it('should be in progress while one of two with the same identity is', () => {
    received.admit('a');
    received.admit('a');
    received.recordEnd('a', true);
    expect(received.inquire('a', true)).toBe(DeliveryState.InProgress);
  });

  it('should be remembered for twice as long as senders ask, and forgotten then', async () => {
    received.admit('a');
    received.recordEnd('a', true);
    await clock.advance(9_900);
    received.admit('b');
    expect(received.inquire('a', true)).toBe(DeliveryState.Ended);
    await clock.advance(200);
    received.admit('c');
    expect(received.inquire('a', true)).toBe(DeliveryState.NotRun);
  });
});
