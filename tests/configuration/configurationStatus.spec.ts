import { ConfigurationHolder } from 'lentillb/configuration/configurationHolder.js';
import { ConfigurationStatus } from 'lentillb/configuration/configurationStatus.js';
import { expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const LIMITS = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

it('should tell since when a newer version is known, and from whom, until this node has it', async () => {
  const clock = new ManualClock();
  const configuration = new ConfigurationHolder();
  const status = new ConfigurationStatus(clock, configuration);
  expect(status.fields).toEqual({ configurationVersion: 0 });
  configuration.activateIfNewer({ version: 3, routes: [], limits: LIMITS });
  status.noteStoreAnswer();
  await clock.advance(100);
  expect([3, 5, 5, 4].map((version) => status.noteVersion(version, `node-${version}`))).toEqual([
    false,
    true,
    false,
    false,
  ]);
  await clock.advance(50);
  expect(status.noteVersion(6, 'node-6')).toBe(true);
  expect(status.fields).toEqual({
    configurationVersion: 3,
    inForceMs: 150,
    storeAnsweredMs: 150,
    newerVersion: 6,
    heardFrom: 'node-6',
    heardMs: 50,
  });
  configuration.activateIfNewer({ version: 6, routes: [], limits: LIMITS });
  expect(status.fields).toEqual({ configurationVersion: 6, inForceMs: 0, storeAnsweredMs: 150 });
});
