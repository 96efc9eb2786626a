/** What happens in one run of the soak, drawn from its seed. */
import type { Randomness } from 'lentillb/sidecar';
import { faults } from './faults.js';

/** One fault at its time. */
export interface ScheduledFault {
  readonly name: string;
  /** The index of the host it is done to. */
  readonly host: number;
  /** From the start of the load, in milliseconds. */
  readonly atMs: number;
  readonly forMs: number;
}

/** A whole run. */
export interface Schedule {
  readonly faults: readonly ScheduledFault[];
  /** When versions are published, from the start of the load, in milliseconds. */
  readonly publications: readonly number[];
}

/** The span in which faults begin, in milliseconds. */
const FAULT_SPAN_MS = 12_000;
const SHORTEST_MS = 100;
const LONGEST_MS = 5_000;
/** Versions come this far apart, in milliseconds, so that each can be seen in force. */
const PUBLICATION_GAP_MS = 4_000;
const MOST_SERIES = 5;
/** Faults of one series begin this close together, in milliseconds, so that they overlap. */
const SERIES_SPREAD_MS = 1_500;
const MOST_IN_SERIES = 3;

/**
 * @param randomness - decides
 * @param hostCount - how many hosts there are
 * @returns faults in series that overlap, and versions published meanwhile
 */
export function drawSchedule(randomness: Randomness, hostCount: number): Schedule {
  const names = Object.keys(faults);
  const series = Array.from({ length: 1 + randomness.integer(MOST_SERIES) }, () => {
    const startMs = randomness.integer(FAULT_SPAN_MS - SERIES_SPREAD_MS);
    return Array.from({ length: 1 + randomness.integer(MOST_IN_SERIES) }, () => ({
      name: names[randomness.integer(names.length)] ?? '',
      host: randomness.integer(hostCount),
      atMs: startMs + randomness.integer(SERIES_SPREAD_MS),
      forMs: SHORTEST_MS + randomness.integer(LONGEST_MS - SHORTEST_MS),
    }));
  });
  const firstMs = randomness.integer(PUBLICATION_GAP_MS);
  return {
    faults: series.flat().sort((left, right) => left.atMs - right.atMs),
    publications: [0, 1, 2].map((index) => firstMs + index * PUBLICATION_GAP_MS),
  };
}
