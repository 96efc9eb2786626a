import { SeededRandomness } from 'lentillb';
import { describe, expect, it } from 'vitest';
import { faults, laterFaults } from '../../soak/dist/faults.js';
import { drawSchedule } from '../../soak/dist/schedule.js';
import { startFaults } from '../../soak/dist/startFaults.js';

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

  it('should draw every fault of starts where they are asked for, and the same faults besides', () => {
    const names = Object.keys(startFaults);
    const drawn = Array.from({ length: 200 }, (_, seed) => {
      const plain = drawSchedule(new SeededRandomness(seed), 12).faults;
      const all = drawSchedule(new SeededRandomness(seed), 12, true).faults;
      expect(all.filter(({ name }) => !names.includes(name))).toEqual(plain);
      return all;
    }).flat();
    expect(new Set(drawn.map(({ name }) => name))).toEqual(
      new Set([faults, ...laterFaults, startFaults].flatMap((group) => Object.keys(group))),
    );
  });
});
