import { afterEach, describe, expect, it } from 'vitest';
import { ControlFleet } from '../support/controlFleet.js';

/** The time from the confirmation of a version until it must be in force, in milliseconds. */
const APPLY_MS = 2_000;
const WARM_UP_MS = 6_000;
const ZONE = { a1: 'a', a2: 'a', a3: 'a' };
const UNREADABLE = 'not a configuration';

let fleet: ControlFleet;

afterEach(() => fleet.stop());

function versionsInForce(): readonly number[] {
  return fleet.nodes.map(({ state }) => state.configuration.version);
}

describe('the newest valid version', () => {
  it.each([
    ['an unreadable record behind it', ['7', UNREADABLE], 7],
    ['an older version behind it', ['7', '5'], 7],
    ['unreadable records around it', [UNREADABLE, '7', UNREADABLE, UNREADABLE], 7],
    ['the same version twice', ['7', '7'], 7],
  ])('should be in force with %s in the same read', async (_, records, expected) => {
    fleet = new ControlFleet(ZONE);
    fleet.publish('1');
    await fleet.start();
    await fleet.advance(WARM_UP_MS);
    records.forEach((record) => fleet.publish(record));
    await fleet.advance(APPLY_MS);
    expect(versionsInForce()).toEqual([expected, expected, expected]);
    await fleet.advance(WARM_UP_MS);
    expect(versionsInForce()).toEqual([expected, expected, expected]);
  });

  it.each([
    ['the valid one in the middle', [UNREADABLE, UNREADABLE, '7', UNREADABLE]],
    ['the valid one first', ['7', UNREADABLE, UNREADABLE, UNREADABLE, UNREADABLE]],
    ['an older one in the last answer', ['7', UNREADABLE, UNREADABLE, UNREADABLE, '5']],
    ['unreadable ones in several answers', [...Array(5).fill(UNREADABLE), '7', UNREADABLE]],
  ])(
    'should be in force when one answer does not hold all records: %s',
    async (_, records: readonly string[]) => {
      fleet = new ControlFleet(ZONE);
      fleet.store.maxRecords = 2;
      fleet.publish('1');
      await fleet.start();
      await fleet.advance(WARM_UP_MS);
      records.forEach((record) => fleet.publish(record));
      await fleet.advance(APPLY_MS);
      expect(versionsInForce()).toEqual([7, 7, 7]);
    },
  );

  it.each([
    ['an unreadable record', ['7', UNREADABLE], 0],
    ['an unreadable record, and the first records are deleted', ['6', '7', UNREADABLE], 1],
    ['an older version', ['7', UNREADABLE, '5', UNREADABLE], 0],
  ])(
    'should be found in the log by a whole fleet that starts behind %s',
    async (_, records, deleted) => {
      fleet = new ControlFleet(ZONE);
      records.forEach((record) => fleet.publish(record));
      await fleet.advance(100);
      fleet.store.deleteFirst(deleted);
      await fleet.start();
      await fleet.advance(WARM_UP_MS);
      expect(versionsInForce()).toEqual([7, 7, 7]);
    },
  );

  it('should be awaited without a call to the store in every round if the log has no valid one', async () => {
    fleet = new ControlFleet(ZONE);
    fleet.publish(UNREADABLE);
    await fleet.advance(100);
    await fleet.start();
    await fleet.advance(WARM_UP_MS);
    const callsBefore = fleet.store.calls;
    await fleet.advance(10_000);
    expect(fleet.store.calls - callsBefore).toBeLessThan(60);
    fleet.publish('9');
    await fleet.advance(APPLY_MS);
    expect(versionsInForce()).toEqual([9, 9, 9]);
  });
});
