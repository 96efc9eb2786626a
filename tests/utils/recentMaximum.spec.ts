import { RecentMaximum } from 'lentillb/utils/recentMaximum.js';
import { expect, it } from 'vitest';

it('should keep a maximum for at least a hundred samples, and forget it after two hundred', () => {
  const maximum = new RecentMaximum();
  maximum.add(9);
  for (let count = 0; count < 100; count += 1) {
    maximum.add(1);
  }
  expect(maximum.value).toBe(9);
  for (let count = 0; count < 100; count += 1) {
    maximum.add(2);
  }
  expect(maximum.value).toBe(2);
});
