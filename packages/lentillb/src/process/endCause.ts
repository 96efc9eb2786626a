/** Names the causes for which a process ends before or without a planned stop. */

/** The cause of an end. */
export const EndCause = {
  /** A signal asked for a stop before the node served anything. */
  StoppedAtStart: 'stopped-at-start',
  /** An exception or a rejected promise that nothing caught: an invariant is broken. */
  UncaughtError: 'uncaught-error',
  /** Nothing is left that the process could wait for. */
  NothingToDo: 'nothing-to-do',
  /** The node cannot listen on one of its addresses. */
  AddressUnavailable: 'address-unavailable',
  InvalidSettings: 'invalid-settings',
} as const;
export type EndCause = (typeof EndCause)[keyof typeof EndCause];

/** The exit code for each cause; those of failures are the codes of `sysexits.h`. */
export const exitCodes: Readonly<Record<EndCause, number>> = {
  [EndCause.StoppedAtStart]: 0,
  [EndCause.UncaughtError]: 70,
  [EndCause.NothingToDo]: 70,
  [EndCause.AddressUnavailable]: 71,
  [EndCause.InvalidSettings]: 78,
};
