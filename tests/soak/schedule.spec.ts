import { SeededRandomness } from 'lentillb';
import { describe, expect, it } from 'vitest';
import { faults, laterFaults } from '../../soak/dist/faults.js';
import { drawSchedule } from '../../soak/dist/schedule.js';

describe('schedule of the soak test', () => {
  it('should be equal for equal seeds', () => {
    const draw = (): unknown => drawSchedule(new SeededRandomness(7), 6);
    expect(draw()).toEqual(draw());
  });

  it('should draw every kind of fault within 200 seeds, and only existing hosts', () => {
    const drawn = Array.from({ length: 200 }, (_, seed) =>
      drawSchedule(new SeededRandomness(seed), 6),
    ).flatMap((schedule) => schedule.faults);
    expect(new Set(drawn.map(({ name }) => name))).toEqual(
      new Set([faults, ...laterFaults].flatMap((group) => Object.keys(group))),
    );
    expect(drawn.every(({ host }) => host >= 0 && host < 6)).toBe(true);
  });
});
