import { afterEach, describe, expect, it } from 'vitest';
import { ControlFault, ControlFleet } from '../support/controlFleet.js';

/** The time from the confirmation of a version until it must be in force, in milliseconds. */
const APPLY_MS = 2_000;
/** How long a fleet runs before a fault, in milliseconds: all nodes have the first version. */
const WARM_UP_MS = 6_000;
const SEEDS = [1, 2, 3, 4, 5];

const ONE_ZONE = { a1: 'a', a2: 'a', a3: 'a', a4: 'a', a5: 'a' };
const TWO_ZONES = { ...ONE_ZONE, b1: 'b', b2: 'b', b3: 'b', b4: 'b' };

let fleet: ControlFleet | undefined;

afterEach(() => fleet?.stop());

async function longestDelayMs(
  zones: Readonly<Record<string, string>>,
  seed: number,
  fault: ControlFault | undefined,
  failedReaders: number,
  sinceMs = 0,
): Promise<number> {
  fleet = new ControlFleet(zones, seed);
  fleet.publish('1');
  await fleet.start();
  await fleet.advance(WARM_UP_MS + seed * 137);
  fleet.setFault(fleet.readersOf('a').slice(0, failedReaders), fault);
  await fleet.advance(sinceMs);
  return Math.max(...Object.values(await fleet.measure(2, 10_000)));
}

describe('a confirmed version', () => {
  it.each(
    [ONE_ZONE, TWO_ZONES].flatMap((zones) =>
      [undefined, ...Object.values(ControlFault)].flatMap((fault) =>
        [1, 2].flatMap((failedReaders) =>
          [0, 700].map(
            (sinceMs) => [fault, failedReaders, Object.keys(zones).length, sinceMs, zones] as const,
          ),
        ),
      ),
    ),
  )(
    'should be in force in time with fault %s of %i readers, %i hosts, %i ms after it',
    async (fault, failedReaders, _, sinceMs, zones) => {
      const delays: number[] = [];
      for (const seed of SEEDS) {
        delays.push(await longestDelayMs(zones, seed, fault, failedReaders, sinceMs));
      }
      console.log(fault, failedReaders, Object.keys(zones).length, sinceMs, delays.join(' '));
      expect(Math.max(...delays)).toBeLessThan(APPLY_MS);
    },
  );
});
