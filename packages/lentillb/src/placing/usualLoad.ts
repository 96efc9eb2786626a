/** Tracks the usual load of the gates of one service in one availability zone. */
import type { Clock } from '../kernel/clock.js';

/**
 * The share of the slots that is assumed to be in use where nothing was reported lately. It is below
 * full load, so that a zone from which no answers come any more is tried again.
 */
const ASSUMED_SHARE = 0.85;
/** The time constant with which reports fade, in milliseconds. */
const FADE_MS = 2_000;
/** The weight of the newest report. */
const REPORT_WEIGHT = 0.1;

/** The mean share of the slots in use that gates reported lately; requests that wait count, too. */
export class UsualLoad {
  private mean = ASSUMED_SHARE;

  private reportedAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** The usual share of the slots in use; above 1 where requests wait. */
  get share(): number {
    const ageMs = this.clock.monotonicMs() - this.reportedAtMs;
    return ASSUMED_SHARE + (this.mean - ASSUMED_SHARE) * Math.exp(-ageMs / FADE_MS);
  }

  /** @param share - the share of its slots that a gate reports as in use */
  add(share: number): void {
    const weight = this.reportedAtMs === -Infinity ? 1 : REPORT_WEIGHT;
    const { share: earlier } = this;
    this.mean = earlier + (share - earlier) * weight;
    this.reportedAtMs = this.clock.monotonicMs();
  }
}
