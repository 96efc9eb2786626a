import type { Socket } from 'node:net';
import { DeliveryState } from 'lentillb/directory/delivery.js';
import type { DeliveryEvidence, LostDelivery } from 'lentillb/serving/deliveryMonitor.js';
import { DeliveryMonitor } from 'lentillb/serving/deliveryMonitor.js';
import { ReceivedRequests } from 'lentillb/serving/receivedRequests.js';
import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const USUAL_MS = 100;
const CHECK_INTERVAL_MS = 10;
const PROCESS = 7;

/** A clock whose wall-clock time a test can move. */
class SuspendedClock extends ManualClock {
  suspendedMs = 0;

  override now(): Date {
    return new Date(super.now().getTime() + this.suspendedMs);
  }
}

let clock: SuspendedClock;
let monitor: DeliveryMonitor;
let inquiries: string[];
let fates: LostDelivery[];
let evidence: DeliveryEvidence[];
let socket: { bytesRead: number };

function watch(
  key: string,
  processId: number | undefined = PROCESS,
  peerAddress = 'p:1',
): () => void {
  return monitor.watch({
    key,
    peerAddress,
    socket: socket as Socket,
    sentAtMs: clock.monotonicMs(),
    processId,
    usualMs: USUAL_MS,
    onLost: (fate, judgedBy) => {
      fates.push(fate);
      evidence.push(judgedBy);
    },
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

async function reply(key: string, state: DeliveryState, processId = PROCESS): Promise<void> {
  monitor.receive({ key, state, processId });
  await advance(0);
}

beforeEach(() => {
  clock = new SuspendedClock();
  inquiries = [];
  fates = [];
  evidence = [];
  socket = { bytesRead: 10 };
  monitor = new DeliveryMonitor(clock, (peerAddress, key) => {
    inquiries.push(`${peerAddress} ${key}`);
  });
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
    monitor.receive({ key: 'a', state: DeliveryState.NotRun, processId: PROCESS });
    socket.bytesRead += 1;
    await advance(0);
    expect(fates).toEqual([]);
  });

  it('should be asked for a few times only', async () => {
    watch('a');
    await advance(2_000);
    expect(inquiries.length).toBeGreaterThan(3);
    expect(inquiries.length).toBeLessThan(9);
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
    await reply('a', DeliveryState.NotRun, PROCESS + 1);
    const judgedBy = { key: 'a', state: DeliveryState.NotRun, processId: PROCESS + 1 };
    expect(evidence).toEqual([{ reply: judgedBy, inquiries: 1 }]);
  });

  it('should lose its answer if its node has sent it some time ago', async () => {
    watch('a');
    await advance(USUAL_MS);
    await reply('a', DeliveryState.Ended);
    expect(fates).toEqual([]);
    await advance(USUAL_MS);
    await reply('a', DeliveryState.Ended);
    expect(fates).toEqual(['answer-lost']);
  });

  it('should not count as not run if its node has been restarted', async () => {
    watch('a');
    await advance(USUAL_MS);
    await reply('a', DeliveryState.NotRun, PROCESS + 1);
    expect(fates).toEqual(['answer-lost']);
  });

  it('should not count as not run if no process was heard at its gate before', async () => {
    monitor.watch({
      key: 'a',
      peerAddress: 'p:1',
      socket: socket as Socket,
      sentAtMs: clock.monotonicMs(),
      processId: undefined,
      usualMs: USUAL_MS,
      onLost: (fate) => fates.push(fate),
    });
    await advance(USUAL_MS);
    await reply('a', DeliveryState.NotRun);
    expect(fates).toEqual(['answer-lost']);
  });

  it('should not count as not run if this host was suspended for so long that its gate may forget', async () => {
    watch('a');
    clock.suspendedMs = 30_000;
    await advance(USUAL_MS);
    await reply('a', DeliveryState.NotRun);
    expect(fates).toEqual(['answer-lost']);
  });

  it('should not count as not run if this host was suspended before the request was watched', async () => {
    // Reads the offset of the clocks, and again once the request has been sent.
    await advance(2_500);
    const sentAtMs = clock.monotonicMs();
    clock.suspendedMs = 30_000;
    await advance(20);
    monitor.watch({
      key: 'a',
      peerAddress: 'p:1',
      socket: socket as Socket,
      sentAtMs,
      processId: PROCESS,
      usualMs: USUAL_MS,
      onLost: (fate) => fates.push(fate),
    });
    await advance(USUAL_MS);
    await reply('a', DeliveryState.NotRun);
    expect(fates).toEqual(['answer-lost']);
  });

  it('should be asked for at once when another connection to its host has gone silent', async () => {
    watch('a');
    await advance(USUAL_MS / 2);
    watch('b');
    watch('c', PROCESS, 'other:1');
    await advance(USUAL_MS / 2);
    inquiries = [];
    await reply('a', DeliveryState.NotRun);
    expect(inquiries).toEqual(['p:1 b']);
  });
});

describe('requests that a gate has received', () => {
  let received: ReceivedRequests;

  beforeEach(() => {
    received = new ReceivedRequests(clock);
  });

  it('should not run once their sender was told that they have not run', () => {
    expect(received.inquire('a')).toBe(DeliveryState.NotRun);
    expect(received.admit('a')).toBe(false);
    expect(received.inquire('a')).toBe(DeliveryState.NotRun);
  });

  it('should be in progress until they end', () => {
    expect(received.admit('a')).toBe(true);
    expect(received.inquire('a')).toBe(DeliveryState.InProgress);
    received.recordEnd('a', true);
    expect(received.inquire('a')).toBe(DeliveryState.Ended);
  });

  it('should not run again after a refusal that their sender may have been told of', () => {
    expect(received.admit('a')).toBe(true);
    received.recordEnd('a', false);
    expect(received.inquire('a')).toBe(DeliveryState.NotRun);
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
    expect(received.inquire('a')).toBe(DeliveryState.Ended);
  });

  it('should be in progress while one of two with the same identity is', () => {
    received.admit('a');
    received.admit('a');
    received.recordEnd('a', true);
    expect(received.inquire('a')).toBe(DeliveryState.InProgress);
  });

  it('should be remembered for twice as long as senders ask, and forgotten then', async () => {
    received.admit('a');
    received.recordEnd('a', true);
    await clock.advance(9_900);
    received.admit('b');
    expect(received.inquire('a')).toBe(DeliveryState.Ended);
    await clock.advance(200);
    received.admit('c');
    expect(received.inquire('a')).toBe(DeliveryState.NotRun);
  });
});
