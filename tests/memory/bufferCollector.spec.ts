import { BufferCollector } from 'lentillb/memory/bufferCollector.js';
import { expect, it } from 'vitest';

const MEBIBYTE = 1024 * 1024;

/** Reads data into buffers that are discarded at once, and returns the most that waited. */
function readAndDiscard(heldBytes: number, freedByMinor: number) {
  let discarded = 0;
  let most = 0;
  const runs = { minor: 0, major: 0 };
  const collector = new BufferCollector(
    (isMinor = false) => {
      runs[isMinor ? 'minor' : 'major'] += 1;
      discarded = isMinor ? discarded * (1 - freedByMinor) : 0;
    },
    () => heldBytes + discarded,
  );
  for (let count = 0; count < 1_000; count += 1) {
    discarded += 64 * 1024;
    most = Math.max(most, discarded);
    collector.record(64 * 1024, heldBytes);
  }
  return { most, runs };
}

it.each([
  [0, true],
  [0.5, false],
  [1, false],
])(
  'should keep discarded buffers from adding up, where young ones are a share of %s',
  (freedByMinor, needsMajor) => {
    const { most, runs } = readAndDiscard(40 * MEBIBYTE, freedByMinor);
    expect(most).toBeLessThan(26 * MEBIBYTE);
    expect(runs.minor).toBeGreaterThan(0);
    expect(runs.major > 0).toBe(needsMajor);
  },
);

it('should not collect where buffers are few', () => {
  const runs: (boolean | undefined)[] = [];
  const collector = new BufferCollector(
    (isMinor) => runs.push(isMinor),
    () => 45 * MEBIBYTE,
  );
  for (let count = 0; count < 1_000; count += 1) {
    collector.record(64 * 1024, 40 * MEBIBYTE);
  }
  expect(runs).toEqual([]);
});
