/** Ends the process with a last line that names the cause, and with an exit code of its own. */
import { LineLevel } from '../observability/directLog.js';
import type { DirectLog, LineFields } from '../observability/directLog.js';
import { EndCause, exitCodes } from './endCause.js';

/** What a process is told about its end; tests replace it. */
export type EndingProcess = Pick<NodeJS.Process, 'exit' | 'on'>;

/** The maximum number of lines about rejections that did not end the process. */
const MAX_REJECTION_LINES = 100;
/** The name of the errors that report a broken invariant. */
const INVARIANT_ERROR = 'InvariantError';

function describeError(error: unknown): LineFields {
  return error instanceof Error
    ? { error: error.name, message: error.message, stack: error.stack }
    : { message: String(error) };
}

/** The end of a process by itself. */
export class ProcessEnd {
  private rejections = 0;

  private isExpected = false;

  /**
   * @param ownProcess - the process
   * @param log - receives the last line
   */
  constructor(
    private readonly ownProcess: EndingProcess,
    private readonly log: DirectLog,
  ) {}

  /**
   * Ends the process after an exception that nothing catches, and when nothing is left to wait for. A
   * rejection that nothing handles leaves the state of the process valid unless an invariant is
   * broken, so it is only logged; `runInBackground` raises those of the program's tasks as exceptions.
   */
  handleUncaughtErrors(): void {
    this.ownProcess.on('uncaughtException', (error) => this.end(EndCause.UncaughtError, error));
    this.ownProcess.on('unhandledRejection', (error) => this.acceptRejection(error));
    this.ownProcess.on('beforeExit', () => {
      if (!this.isExpected) {
        this.end(EndCause.NothingToDo, 'nothing is left to wait for; report this as a fault');
      }
    });
  }

  /** Lets the process end without a last line once nothing is left to wait for. */
  expect(): void {
    this.isExpected = true;
  }

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
      this.log.writeLast(level, 'ended', { cause, exitCode, ...describeError(error) });
    } finally {
      this.ownProcess.exit(exitCode);
    }
  }

  private acceptRejection(error: unknown): void {
    if (error instanceof Error && error.name === INVARIANT_ERROR) {
      this.end(EndCause.UncaughtError, error);
    }
    this.rejections += 1;
    if (this.rejections <= MAX_REJECTION_LINES) {
      this.log.write(LineLevel.Error, 'unhandled-rejection', describeError(error));
    }
  }
}
