/** Creates the parts of a node that read, store and publish configuration, without the rest. */
import { MemoryLog } from '@lentillb/standins';
import { SeededRandomness } from 'lentillb';
import { LogFollower } from 'lentillb/distribution/logFollower.js';
import { Publisher } from 'lentillb/distribution/publisher.js';
import { SnapshotWriter } from 'lentillb/distribution/snapshotWriter.js';
import type { VersionStore } from 'lentillb/distribution/versionStore.js';
import type { Timeline } from 'lentillb/timeline/timeline.js';
import type { ManualClock } from './manualClock.js';
import { createVersionStore } from './createVersionStore.js';
import { silentLogger } from './testNode.js';

/** The time for which the log keeps records. */
export const LOG_RETENTION_MS = 60_000;

/** A reader of the log and the services that it uses. */
export interface LogReader {
  readonly store: VersionStore;
  readonly publisher: Publisher;
  readonly timeline: Timeline;
  /** Starts reading; the returned function stops it. */
  readonly startReading: () => () => void;
}

/**
 * @param clock - the clock of the log
 * @returns an empty log in memory
 */
export function createLog(clock: ManualClock): MemoryLog {
  return new MemoryLog({ clock, retentionMs: LOG_RETENTION_MS, appendsPerSecond: 100 });
}

/**
 * @param clock - the clock of the reader
 * @param log - the log to read
 * @param seed - the seed of the random numbers
 * @returns a reader without a version
 */
export function createReader(clock: ManualClock, log: MemoryLog, seed = 1): LogReader {
  const { store, timeline } = createVersionStore(clock);
  const randomness = new SeededRandomness(seed);
  const logger = silentLogger;
  const shared = { clock, log, logger, randomness, timeline, versionStore: store };
  const snapshotWriter = new SnapshotWriter(shared);
  const follower = new LogFollower({ ...shared, snapshotWriter });
  return {
    store,
    timeline,
    publisher: new Publisher(shared),
    startReading: () => {
      const abortController = new AbortController();
      follower.follow(abortController.signal);
      return () => abortController.abort();
    },
  };
}
