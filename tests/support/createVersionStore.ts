/** Creates a version store with the services that it needs. */
import { VersionStore } from 'lentillb/distribution/versionStore.js';
import { Identity } from 'lentillb/kernel/identity.js';
import { Timeline } from 'lentillb/timeline/timeline.js';
import { ManualClock } from './manualClock.js';
import { silentLogger, testSettings } from './testNode.js';

/**
 * @param clock - the clock of the timeline
 * @returns a version store without a version, and its timeline
 */
export function createVersionStore(clock = new ManualClock()): {
  store: VersionStore;
  timeline: Timeline;
} {
  const identity = new Identity({ clock });
  const settings = testSettings();
  const timeline = new Timeline({ clock, identity, settings, logger: silentLogger });
  return { store: new VersionStore({ timeline, logger: silentLogger }), timeline };
}
