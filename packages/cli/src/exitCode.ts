/** The exit codes of the command line. */
export const ExitCode = {
  /** Done; for `check` and `diff`: nothing found. */
  Ok: 0,
  /** Refused, faulty or different; the message says which. */
  Refused: 1,
  /** The command line or a setting is wrong. */
  Usage: 2,
  /** The outcome of a publication is not known yet. */
  Unknown: 3,
  /** No node could be reached. */
  Unreachable: 4,
  /** Accepted, but not in force everywhere within the time allowed. */
  NotEverywhere: 5,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
