/** The output of commands: results go to standard output, messages to standard error. */

/** The output of one run of the command line. */
export interface Console {
  /** Writes one line of the result. */
  readonly print: (line: string) => void;
  /** Writes one line about progress or an error. */
  readonly note: (line: string) => void;
}

/** The console of the process. */
export const processConsole: Console = {
  print: (line) => process.stdout.write(`${line}\n`),
  note: (line) => process.stderr.write(`${line}\n`),
};
