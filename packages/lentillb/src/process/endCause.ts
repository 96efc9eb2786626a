/** Names the causes for which a process ends before or without a planned stop. */

/** The cause of an end. */
export const EndCause = {
  /** A signal asked for a stop before the node served anything. */
  StoppedAtStart: 'stopped-at-start',
} as const;
export type EndCause = (typeof EndCause)[keyof typeof EndCause];

/** The exit code for each cause. */
export const exitCodes: Readonly<Record<EndCause, number>> = {
  [EndCause.StoppedAtStart]: 0,
};
