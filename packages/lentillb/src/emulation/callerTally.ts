/** Counts what callers got. */

/** The possible results of a request, over all its attempts, as its caller sees them. */
export const CallerResult = {
  InTime: 'in-time',
  Late: 'late',
  Refused: 'refused',
  Failed: 'failed',
} as const;
export type CallerResult = (typeof CallerResult)[keyof typeof CallerResult];

/** The numbers of requests by result. */
export type ResultCounts = Readonly<Record<CallerResult, number>> & { readonly asked: number };

const NO_RESULTS: ResultCounts = {
  asked: 0,
  [CallerResult.InTime]: 0,
  [CallerResult.Late]: 0,
  [CallerResult.Refused]: 0,
  [CallerResult.Failed]: 0,
};

/** Counts results by group, such as the kind of request or the zone of the caller. */
export class CallerTally {
  private readonly countsByGroup = new Map<string, ResultCounts>();

  /**
   * Counts a result.
   *
   * @param group - the name of the group
   * @param result - what the caller got
   */
  add(group: string, result: CallerResult): void {
    const counts = this.countsOf(group);
    this.countsByGroup.set(group, {
      ...counts,
      asked: counts.asked + 1,
      [result]: counts[result] + 1,
    });
  }

  /**
   * @param group - the name of a group
   * @returns its counts
   */
  countsOf(group: string): ResultCounts {
    return this.countsByGroup.get(group) ?? NO_RESULTS;
  }

  /**
   * @param group - the name of a group
   * @returns the share of its requests that were answered in time, from 0 to 1
   */
  inTimeShare(group: string): number {
    const { asked, [CallerResult.InTime]: inTime } = this.countsOf(group);
    return inTime / Math.max(1, asked);
  }

  /** The counts of all groups, in the order of their first result. */
  get groups(): readonly (readonly [string, ResultCounts])[] {
    return [...this.countsByGroup];
  }
}
