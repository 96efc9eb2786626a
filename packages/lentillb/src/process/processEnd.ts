/** Ends the process with a last line that names the cause, and with an exit code of its own. */
import { LineLevel } from '../observability/directLog.js';
import type { DirectLog, LineFields } from '../observability/directLog.js';
import { exitCodes } from './endCause.js';
import type { EndCause } from './endCause.js';

/** What a process is told about its end; tests replace it. */
export type EndingProcess = Pick<NodeJS.Process, 'exit'>;

function describeError(error: unknown): LineFields {
  return error instanceof Error
    ? { error: error.name, message: error.message, stack: error.stack }
    : { message: String(error) };
}

/** The end of a process by itself. */
export class ProcessEnd {
  /**
   * @param ownProcess - the process
   * @param log - receives the last line
   */
  constructor(
    private readonly ownProcess: EndingProcess,
    private readonly log: DirectLog,
  ) {}

  /**
   * Writes the last line and ends the process.
   *
   * @param cause - the cause of the end
   * @param error - the error, or a message that names what failed and the remedy
   */
  end(cause: EndCause, error: unknown): never {
    const exitCode = exitCodes[cause];
    try {
      const level = exitCode === 0 ? LineLevel.Warning : LineLevel.Fatal;
      this.log.write(level, 'ended', { cause, exitCode, ...describeError(error) });
    } finally {
      this.ownProcess.exit(exitCode);
    }
  }
}
