/** What reads, holds and publishes configuration, without the rest of a node. */
import { MemoryLog } from '@lentillb/standins';
import { SeededRandomness } from 'lentillb';
import { LogFollower } from 'lentillb/distribution/logFollower.js';
import { Publisher } from 'lentillb/distribution/publisher.js';
import { SnapshotWriter } from 'lentillb/distribution/snapshotWriter.js';
import type { VersionStore } from 'lentillb/distribution/versionStore.js';
import type { Timeline } from 'lentillb/timeline/timeline.js';
import type { ManualClock } from './manualClock.js';
import { createStore } from './testStore.js';
import { silentLogger } from './testNode.js';

/** How long the log of these tests keeps records, in milliseconds. */
export const RETENTION_MS = 60_000;

/** A reader of the log. */
export interface LogReader {
  readonly store: VersionStore;
  readonly publisher: Publisher;
  readonly timeline: Timeline;
  /** Starts reading; the returned function ends it. */
  readonly follow: () => () => void;
}

/**
 * @param clock - the clock of the log
 * @returns a log in memory
 */
export function createLog(clock: ManualClock): MemoryLog {
  return new MemoryLog({ clock, retentionMs: RETENTION_MS, appendsPerSecond: 100 });
}

/**
 * @param clock - the clock of the reader
 * @param log - the log it reads
 * @param seed - the seed of its random choices
 * @returns a reader that knows nothing yet
 */
export function createReader(clock: ManualClock, log: MemoryLog, seed = 1): LogReader {
  const { store, timeline } = createStore(clock);
  const randomness = new SeededRandomness(seed);
  const logger = silentLogger;
  const shared = { clock, log, logger, randomness, timeline, versionStore: store };
  const snapshotWriter = new SnapshotWriter(shared);
  const follower = new LogFollower({ ...shared, snapshotWriter });
  return {
    store,
    timeline,
    publisher: new Publisher(shared),
    follow: () => {
      const ending = new AbortController();
      follower.follow(ending.signal);
      return () => ending.abort();
    },
  };
}
