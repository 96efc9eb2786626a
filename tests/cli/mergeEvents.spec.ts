import { mergeEvents } from '@lentillb/cli';
import type { EventKind, TimelineEvent } from 'lentillb';
import { describe, expect, it } from 'vitest';

function event(
  host: string,
  sequence: number,
  seconds: number,
  kind: EventKind,
  offset?: number,
): TimelineEvent {
  const at = new Date(Date.UTC(2026, 0, 1, 0, 0, seconds)).toISOString();
  return { host, zone: 'z', incarnation: 1, sequence, at, monotonicMs: 0, kind, offset };
}

describe('merged time line', () => {
  it('should keep the order of each node, whatever its clock does', () => {
    const backwards = [event('a', 1, 9, 'peer-up'), event('a', 2, 3, 'peer-lost')];
    const merged = mergeEvents([backwards, [event('b', 1, 5, 'peer-up')]]);
    const ofA = merged.filter(({ host }) => host === 'a').map(({ sequence }) => sequence);
    expect(ofA).toEqual([1, 2]);
  });

  it('should put a refusal of a record after its first sight, though a clock is slow', () => {
    const fast = [event('a', 1, 5, 'version-applied', 7)];
    const slow = [event('b', 1, 1, 'snapshot-written', 7)];
    const merged = mergeEvents([slow, fast]);
    expect(merged.map(({ host }) => host)).toEqual(['a', 'b']);
  });

  it('should sort unrelated events by time', () => {
    const merged = mergeEvents([
      [event('a', 1, 5, 'peer-up')],
      [event('b', 1, 4, 'peer-up'), event('b', 2, 6, 'peer-up')],
    ]);
    expect(merged.map(({ host }) => host)).toEqual(['b', 'a', 'b']);
  });
});
