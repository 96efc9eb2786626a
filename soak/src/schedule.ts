/** Draws the faults and publications of one soak run from its seed. */
import type { Randomness } from 'lentillb/sidecar';
import { faults, laterFaults } from './faults.js';
import { startFaults } from './startFaults.js';

/** A fault with the time, the host and the duration of its injection. */
export interface ScheduledFault {
  readonly name: string;
  /** The index of the affected host. */
  readonly host: number;
  /** The start of the fault, in milliseconds from the start of the load. */
  readonly atMs: number;
  readonly durationMs: number;
}

/** The faults and publications of one soak run. */
export interface Schedule {
  readonly faults: readonly ScheduledFault[];
  /** The times at which versions are published, in milliseconds from the start of the load. */
  readonly publications: readonly number[];
}

/** The time from the start of the load within which all faults start. */
const FAULT_WINDOW_MS = 12_000;
const MIN_FAULT_DURATION_MS = 100;
const MAX_FAULT_DURATION_MS = 5_000;
/** The time between publications, so that each version can be observed in force. */
const PUBLICATION_INTERVAL_MS = 4_000;
const MAX_FAULT_SERIES = 5;
/** The time within which the faults of one series start, so that they can overlap. */
const SERIES_WINDOW_MS = 1_500;
const MAX_FAULTS_PER_SERIES = 3;
/** One in this many seeds has each of the additional faults. */
const ADDITIONAL_FAULT_INTERVAL = 3;

/**
 * @param randomness - the seeded source of random numbers
 * @param hostCount - the number of hosts
 * @param hasStartFaults - whether to draw the faults of starts and of hostile senders too
 * @returns series of overlapping faults and the times of the publications
 */
export function drawSchedule(
  randomness: Randomness,
  hostCount: number,
  hasStartFaults = false,
): Schedule {
  const names = Object.keys(faults);
  const drawDurationMs = (): number =>
    MIN_FAULT_DURATION_MS + randomness.integer(MAX_FAULT_DURATION_MS - MIN_FAULT_DURATION_MS);
  const series = Array.from({ length: 1 + randomness.integer(MAX_FAULT_SERIES) }, () => {
    const startMs = randomness.integer(FAULT_WINDOW_MS - SERIES_WINDOW_MS);
    return Array.from({ length: 1 + randomness.integer(MAX_FAULTS_PER_SERIES) }, () => ({
      name: names[randomness.integer(names.length)] ?? '',
      host: randomness.integer(hostCount),
      atMs: startMs + randomness.integer(SERIES_WINDOW_MS),
      durationMs: drawDurationMs(),
    }));
  });
  const firstPublicationMs = randomness.integer(PUBLICATION_INTERVAL_MS);
  const groups = hasStartFaults ? [...laterFaults, startFaults] : laterFaults;
  const additional = groups.flatMap((group) =>
    Object.keys(group)
      .filter(() => randomness.integer(ADDITIONAL_FAULT_INTERVAL) === 0)
      .map((name) => ({
        name,
        host: randomness.integer(hostCount),
        atMs: randomness.integer(FAULT_WINDOW_MS),
        durationMs: drawDurationMs(),
      })),
  );
  return {
    faults: [...series.flat(), ...additional].sort((left, right) => left.atMs - right.atMs),
    publications: [0, 1, 2].map((index) => firstPublicationMs + index * PUBLICATION_INTERVAL_MS),
  };
}
