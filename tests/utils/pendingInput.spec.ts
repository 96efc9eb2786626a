import { MAX_INPUT_AGE_MS, PendingInputTracker } from 'lentillb/utils/pendingInput.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { HostClock } from '../support/hostClock.js';

const DECISION_COUNT = 5;
const MAX_TURNS = 50;
/** Half of the time after which a request may not be sent any more for a caller that left. */
const LONG_POLL_MS = 250;

let nowMs: number;
let turn: number;
let isStopped: boolean;
/** The time that each turn of the event loop takes, in milliseconds. */
let turnMs: number;
let tracker: PendingInputTracker;

function countTurns(): void {
  turn += 1;
  nowMs += turnMs;
  if (!isStopped) {
    setImmediate(countTurns);
  }
}

async function waitForTurns(count: number): Promise<void> {
  const endTurn = turn + count;
  while (turn < endTurn) {
    await new Promise(setImmediate);
  }
}

beforeEach(() => {
  nowMs = 0;
  turn = 0;
  turnMs = 0;
  isStopped = false;
  const clock = new HostClock(
    () => nowMs,
    () => 0,
  );
  tracker = new PendingInputTracker(clock);
  setImmediate(countTurns);
});

afterEach(() => {
  isStopped = true;
});

function decide(count: number, decisionMs: number, wait: () => Promise<void>): readonly number[] {
  const turns: number[] = [];
  const decideOnce = async (): Promise<void> => {
    await wait();
    turns.push(turn);
    nowMs += decisionMs;
  };
  Array.from({ length: count }, decideOnce);
  return turns;
}

/** Starts decisions to send, each of which takes a time; returns the turn of each once it is made. */
function decideOnSends(count: number, decisionMs: number): readonly number[] {
  return decide(count, decisionMs, () => tracker.waitUntilCurrent());
}

function decideOnArrivals(count: number, decisionMs: number): readonly number[] {
  return decide(count, decisionMs, () => tracker.waitUntilRead());
}

describe('decisions that wait for pending input', () => {
  it('should be served by one poll if they are quick', async () => {
    const turns = decideOnSends(DECISION_COUNT, 1);
    await waitForTurns(5);
    expect(turns).toHaveLength(DECISION_COUNT);
    expect(new Set(turns).size).toBe(1);
  });

  it('should each see a recent state if they are slow', async () => {
    const turns = decideOnSends(DECISION_COUNT, MAX_INPUT_AGE_MS + 1);
    await waitForTurns(20);
    expect(turns).toHaveLength(DECISION_COUNT);
    expect(new Set(turns).size).toBe(DECISION_COUNT);
  });

  it('should not be delayed any further after an arrival, where requests cannot be refused', async () => {
    const turns = decideOnArrivals(DECISION_COUNT, MAX_INPUT_AGE_MS + 1);
    await waitForTurns(5);
    expect(turns).toHaveLength(DECISION_COUNT);
    expect(new Set(turns).size).toBe(1);
  });

  it('should be made in the order in which requests came, those on sends first', async () => {
    const order: string[] = [];
    const decisions = [
      tracker.waitUntilRead().then(() => order.push('arrival 1')),
      tracker.waitUntilRead().then(() => order.push('arrival 2')),
      tracker.waitUntilCurrent().then(() => order.push('send 1')),
      tracker.waitUntilCurrent().then(() => order.push('send 2')),
    ];
    await Promise.all(decisions);
    expect(order).toEqual(['send 1', 'send 2', 'arrival 1', 'arrival 2']);
  });

  it('should not be made on a poll that began before an arrival', async () => {
    decideOnArrivals(1, 0);
    await waitForTurns(1);
    const arrivedAtTurn = turn;
    await tracker.waitUntilRead();
    expect(turn).toBeGreaterThan(arrivedAtTurn + 1);
  });

  it('should go on where each poll takes longer than the state may be old', async () => {
    turnMs = 3 * MAX_INPUT_AGE_MS;
    const turns = decideOnSends(DECISION_COUNT, MAX_INPUT_AGE_MS / 2);
    await waitForTurns(MAX_TURNS);
    expect(turns).toHaveLength(DECISION_COUNT);
  });

  it('should not be made on a poll that took so long that a departure may be unread', async () => {
    turnMs = LONG_POLL_MS;
    const turns = decideOnSends(1, 0);
    await waitForTurns(2);
    expect(turns).toHaveLength(0);
    turnMs = 0;
    await waitForTurns(3);
    expect(turns).toHaveLength(1);
  });

  it('should go on where all polls take that long', async () => {
    turnMs = LONG_POLL_MS;
    const turns = decideOnSends(DECISION_COUNT, 1);
    await waitForTurns(MAX_TURNS);
    expect(turns).toHaveLength(DECISION_COUNT);
  });

  it('should not wait for a poll while the state is recent', async () => {
    await tracker.waitUntilCurrent();
    nowMs += MAX_INPUT_AGE_MS;
    expect(tracker.isCurrent()).toBe(true);
    nowMs += 1;
    expect(tracker.isCurrent()).toBe(false);
    expect(tracker.ageMs()).toBe(MAX_INPUT_AGE_MS + 1);
  });
});
