/** The exit codes of the command line. */
export const ExitCode = {
  /** Success; for `check`, `check-configuration` and `diff`: no errors or differences. */
  Ok: 0,
  /** Refused, invalid or different; the message says which. */
  Refused: 1,
  /** The command line, a setting or a file to read is invalid. */
  Usage: 2,
  /** The outcome of a publication is unknown. */
  Unknown: 3,
  /** No node could be reached. */
  Unreachable: 4,
  /** The publication was accepted, but was not in force on every node before the timeout. */
  NotEverywhere: 5,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
