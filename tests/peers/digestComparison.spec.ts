import { DigestComparison } from 'lentillb/peers/digestComparison.js';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const OWN_DIGEST = 1;
const OTHER_DIGEST = 2;

describe('comparison of digests', () => {
  it('should report a sender that is heard every 500 ms and keeps differing', async () => {
    const clock = new ManualClock();
    const comparison = new DigestComparison(clock);
    const results: boolean[] = [];
    for (let round = 0; round < 3; round += 1) {
      results.push(comparison.differsLastingly('a', OTHER_DIGEST + round, OWN_DIGEST));
      await clock.advance(500);
    }
    expect(results).toEqual([false, false, true]);
  });

  it('should not take two contacts with a sender that are seconds apart for a lasting difference', async () => {
    const clock = new ManualClock();
    const comparison = new DigestComparison(clock);
    expect(comparison.differsLastingly('a', 2, OWN_DIGEST)).toBe(false);
    await clock.advance(5_000);
    expect(comparison.differsLastingly('a', 3, OWN_DIGEST)).toBe(false);
  });

  it('should report a digest that several senders hold for over two seconds', async () => {
    const clock = new ManualClock();
    const comparison = new DigestComparison(clock);
    expect(comparison.differsLastingly('a', OTHER_DIGEST, OWN_DIGEST)).toBe(false);
    await clock.advance(2_100);
    expect(comparison.differsLastingly('b', OTHER_DIGEST, OWN_DIGEST)).toBe(true);
  });

  it('should begin anew after the announcements were equal or have been fetched', async () => {
    const clock = new ManualClock();
    const comparison = new DigestComparison(clock);
    comparison.differsLastingly('a', OTHER_DIGEST, OWN_DIGEST);
    await clock.advance(900);
    expect(comparison.differsLastingly('a', OTHER_DIGEST, OTHER_DIGEST)).toBe(false);
    expect(comparison.differsLastingly('a', 3, OWN_DIGEST)).toBe(false);
    await clock.advance(900);
    comparison.reset('a');
    expect(comparison.differsLastingly('a', 4, OWN_DIGEST)).toBe(false);
  });
});
