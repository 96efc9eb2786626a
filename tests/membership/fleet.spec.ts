import { create } from '@bufbuild/protobuf';
import type { Announcement } from '@lentillb/protocol';
import { AnnouncementSchema, HostState } from '@lentillb/protocol';
import fc from 'fast-check';
import { Fleet, isPresent } from 'lentillb/membership/fleet.js';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const TOMBSTONE_RETENTION_MS = 10 * 60 * 1_000;

function announcement(
  host: string,
  incarnation: number,
  sequence: number,
  state = HostState.LIVE,
): Announcement {
  return create(AnnouncementSchema, {
    host,
    zone: 'zone-a',
    incarnation: BigInt(incarnation),
    sequence,
    state,
  });
}

const anyAnnouncement = fc
  .tuple(
    fc.constantFrom('a', 'b', 'c', 'd'),
    fc.integer({ min: 1, max: 2 }),
    fc.integer({ min: 1, max: 3 }),
    fc.constantFrom(HostState.LIVE, HostState.LEAVING, HostState.LEFT, HostState.LOST),
  )
  .map((parts) => announcement(...parts));

function fleetOf(announcements: readonly Announcement[], clock = new ManualClock()): Fleet {
  const fleet = new Fleet({ clock });
  announcements.forEach((item) => fleet.merge(item));
  return fleet;
}

function contentOf(fleet: Fleet): readonly string[] {
  return fleet
    .present()
    .map(({ host, incarnation, sequence, state }) => `${host} ${incarnation} ${sequence} ${state}`)
    .sort();
}

describe('fleet', () => {
  it('should hold the same announcements whatever their order and repetition', () => {
    fc.assert(
      fc.property(fc.array(anyAnnouncement, { maxLength: 12 }), fc.nat(), (items, rotation) => {
        const rotated = [
          ...items.slice(rotation % 7),
          ...items,
          ...items.slice(0, rotation % 5),
        ].reverse();
        const left = fleetOf(items);
        const right = fleetOf(rotated);
        expect(contentOf(left)).toEqual(contentOf(right));
        expect(left.digest()).toBe(right.digest());
      }),
      { seed: 21, numRuns: 500 },
    );
  });

  it('should have equal bucket digests exactly if it holds the same announcements', () => {
    fc.assert(
      fc.property(fc.array(anyAnnouncement), fc.array(anyAnnouncement), (some, others) => {
        const left = fleetOf(some);
        const right = fleetOf(others);
        const differing = left.differingBuckets(right.bucketDigests());
        expect(differing.length === 0).toBe(
          JSON.stringify(contentOf(left)) === JSON.stringify(contentOf(right)),
        );
      }),
      { seed: 22, numRuns: 500 },
    );
  });

  it('should hold the same announcements as a peer after one exchange of summaries', () => {
    fc.assert(
      fc.property(fc.array(anyAnnouncement), fc.array(anyAnnouncement), (some, others) => {
        const left = fleetOf(some);
        const right = fleetOf(others);
        const buckets = left.differingBuckets(right.bucketDigests());
        const leftSummaries = left.summaries(buckets);
        const rightSummaries = right.summaries(buckets);
        const forLeft = right.findNewerAnnouncements(buckets, leftSummaries);
        const forRight = left.findNewerAnnouncements(buckets, rightSummaries);
        forLeft.forEach((item) => left.merge(item));
        forRight.forEach((item) => right.merge(item));
        expect(contentOf(left)).toEqual(contentOf(right));
      }),
      { seed: 23, numRuns: 500 },
    );
  });

  it('should not revive a lost host by an old announcement', async () => {
    const clock = new ManualClock();
    const fleet = fleetOf(
      [announcement('a', 1, 5), announcement('a', 1, 5, HostState.LOST)],
      clock,
    );
    await clock.advance(TOMBSTONE_RETENTION_MS - 1);
    fleet.removeExpiredTombstones();
    fleet.merge(announcement('a', 1, 5));
    expect(fleet.present()).toEqual([]);
    expect(fleet.merge(announcement('a', 1, 6))).toBe(true);
    expect(fleet.present().every(isPresent)).toBe(true);
  });

  it('should remove a host that has been gone for longer than the retention', async () => {
    const clock = new ManualClock();
    const fleet = fleetOf([announcement('a', 1, 1, HostState.LEFT)], clock);
    await clock.advance(TOMBSTONE_RETENTION_MS + 1);
    fleet.removeExpiredTombstones();
    expect(fleet.get('a')).toBeUndefined();
  });
});
