/** Draws the faults and publications of one soak run from its seed. */
import type { Randomness } from 'lentillb/sidecar';
import { faults } from './faults.js';

/** Describes when, where and for how long a fault is injected. */
export interface ScheduledFault {
  readonly name: string;
  /** Holds the index of the affected host. */
  readonly host: number;
  /** Holds the start of the fault, in milliseconds from the start of the load. */
  readonly atMs: number;
  readonly durationMs: number;
}

/** Holds the faults and publications of one soak run. */
export interface Schedule {
  readonly faults: readonly ScheduledFault[];
  /** Holds the times at which versions are published, in milliseconds from the start of the load. */
  readonly publications: readonly number[];
}

/** All faults start within this time from the start of the load. */
const FAULT_WINDOW_MS = 12_000;
const MIN_FAULT_DURATION_MS = 100;
const MAX_FAULT_DURATION_MS = 5_000;
/** Separates publications, so that each version can be observed in force. */
const PUBLICATION_INTERVAL_MS = 4_000;
const MAX_FAULT_SERIES = 5;
/** The faults of one series start within this time, so that they can overlap. */
const SERIES_WINDOW_MS = 1_500;
const MAX_FAULTS_PER_SERIES = 3;

/**
 * @param randomness - the seeded source of random numbers
 * @param hostCount - the number of hosts
 * @returns series of overlapping faults and the times of the publications
 */
export function drawSchedule(randomness: Randomness, hostCount: number): Schedule {
  const names = Object.keys(faults);
  const series = Array.from({ length: 1 + randomness.integer(MAX_FAULT_SERIES) }, () => {
    const startMs = randomness.integer(FAULT_WINDOW_MS - SERIES_WINDOW_MS);
    return Array.from({ length: 1 + randomness.integer(MAX_FAULTS_PER_SERIES) }, () => ({
      name: names[randomness.integer(names.length)] ?? '',
      host: randomness.integer(hostCount),
      atMs: startMs + randomness.integer(SERIES_WINDOW_MS),
      durationMs:
        MIN_FAULT_DURATION_MS + randomness.integer(MAX_FAULT_DURATION_MS - MIN_FAULT_DURATION_MS),
    }));
  });
  const firstPublicationMs = randomness.integer(PUBLICATION_INTERVAL_MS);
  return {
    faults: series.flat().sort((left, right) => left.atMs - right.atMs),
    publications: [0, 1, 2].map((index) => firstPublicationMs + index * PUBLICATION_INTERVAL_MS),
  };
}
