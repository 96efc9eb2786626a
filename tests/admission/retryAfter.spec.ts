import { SeededRandomness } from 'lentillb';
import { chooseRetryAfterMs, spreadWaitMs } from 'lentillb/admission/retryAfter.js';
import { describe, expect, it } from 'vitest';

const REMAINING_MS = 1_200;
const CALLERS = 1_000;

describe('delay of a refused caller', () => {
  // Callers that a burst refuses at one moment would return together as its next peak.
  it.each([1, 100, 390, 5_000])('should be spread for an expected wait of %d ms', (waitMs) => {
    const randomness = new SeededRandomness(1);
    const statedMs = spreadWaitMs({ waitMs, remainingMs: REMAINING_MS });
    const delays = Array.from({ length: CALLERS }, () =>
      chooseRetryAfterMs({ waitMs: statedMs, remainingMs: REMAINING_MS }, randomness),
    );
    const [earliest, latest] = [Math.min(...delays), Math.max(...delays)];
    expect(latest).toBeLessThanOrEqual(REMAINING_MS / 3);
    expect(latest).toBeGreaterThan(earliest * 1.4);
    const latestTenth = delays.filter((delayMs) => delayMs > latest - (latest - earliest) / 10);
    expect(latestTenth.length).toBeLessThan(CALLERS * 0.15);
  });
});
