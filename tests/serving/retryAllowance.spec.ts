import { RetryAllowance } from 'lentillb/serving/retryAllowance.js';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const TERMS = { ratio: 0.2, extra: 62, windowMs: 10_000 };

function spendAll(allowance: RetryAllowance, service: string): number {
  let spent = 0;
  while (allowance.tryAcquireRetry(service)) {
    spent += 1;
  }
  return spent;
}

describe('retry allowance', () => {
  it('should keep the limit for all nodes together when every request fails', () => {
    const clock = new ManualClock();
    const nodes = 14;
    const requests = 500;
    let spent = 0;
    for (let node = 0; node < nodes; node += 1) {
      const allowance = new RetryAllowance(clock, TERMS, () => nodes);
      for (let request = 0; request < requests; request += 1) {
        allowance.recordRequest('s');
      }
      spent += spendAll(allowance, 's');
    }
    expect(spent).toBeLessThanOrEqual(TERMS.ratio * nodes * requests + TERMS.extra);
    expect(spent).toBeGreaterThan(0);
  });

  it('should keep the limit in every window, whenever requests arrive', async () => {
    const clock = new ManualClock();
    const allowance = new RetryAllowance(clock, { ...TERMS, extra: 0 }, () => 1);
    const times: number[] = [];
    for (let second = 0; second < 40; second += 1) {
      for (let request = 0; request < 10; request += 1) {
        allowance.recordRequest('s');
      }
      for (let spent = spendAll(allowance, 's'); spent > 0; spent -= 1) {
        times.push(clock.monotonicMs());
      }
      await clock.advance(1_000);
    }
    times.forEach((start) => {
      const inWindow = times.filter((time) => time >= start && time < start + TERMS.windowMs);
      expect(inWindow.length).toBeLessThanOrEqual(TERMS.ratio * 100);
    });
    expect(times.length).toBeGreaterThan(20);
  });

  // Guards against repeats that nobody counts: those that repeated runs of another service make as calls.
  it('should leave more of the limit to repeated runs where requests are calls', () => {
    const [ordinary, called] = [false, true].map((isCall) => {
      const allowance = new RetryAllowance(new ManualClock(), { ...TERMS, extra: 0 }, () => 1);
      for (let request = 0; request < 100; request += 1) {
        allowance.recordRequest('s', isCall);
      }
      return spendAll(allowance, 's');
    });
    expect([ordinary, called]).toEqual([TERMS.ratio * 80, Math.floor(TERMS.ratio * 45)]);
  });

  it('should limit each service separately', () => {
    const allowance = new RetryAllowance(new ManualClock(), { ...TERMS, extra: 0 }, () => 1);
    for (let request = 0; request < 100; request += 1) {
      allowance.recordRequest('busy');
    }
    expect(allowance.tryAcquireRetry('busy')).toBe(true);
    expect(allowance.tryAcquireRetry('idle')).toBe(false);
  });
});
