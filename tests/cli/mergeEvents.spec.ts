import { mergeEvents } from '@lentillb/cli';
import type { EventKind, TimelineEvent } from 'lentillb';
import { describe, expect, it } from 'vitest';

function createEvent(
  host: string,
  sequence: number,
  seconds: number,
  kind: EventKind,
  offset?: number,
): TimelineEvent {
  const at = new Date(Date.UTC(2026, 0, 1, 0, 0, seconds)).toISOString();
  return { host, zone: 'z', incarnation: 1, sequence, at, monotonicMs: 0, kind, offset };
}

describe('merged timeline', () => {
  it('should keep the order of events of one node even if its clock is set back', () => {
    const backwards = [createEvent('a', 1, 9, 'peer-up'), createEvent('a', 2, 3, 'peer-lost')];
    const merged = mergeEvents([backwards, [createEvent('b', 1, 5, 'peer-up')]]);
    const sequencesOfA = merged.filter(({ host }) => host === 'a').map(({ sequence }) => sequence);
    expect(sequencesOfA).toEqual([1, 2]);
  });

  it('should put an event about an offset after its first application even if a clock is slow', () => {
    const fast = [createEvent('a', 1, 5, 'version-applied', 7)];
    const slow = [createEvent('b', 1, 1, 'snapshot-written', 7)];
    const merged = mergeEvents([slow, fast]);
    expect(merged.map(({ host }) => host)).toEqual(['a', 'b']);
  });

  it('should sort unrelated events by time', () => {
    const merged = mergeEvents([
      [createEvent('a', 1, 5, 'peer-up')],
      [createEvent('b', 1, 4, 'peer-up'), createEvent('b', 2, 6, 'peer-up')],
    ]);
    expect(merged.map(({ host }) => host)).toEqual(['b', 'a', 'b']);
  });
});
