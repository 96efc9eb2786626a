/** Prepares a process before the program in it is loaded. */
import { SystemClock } from '../kernel/clock.js';
import { DirectLog } from '../observability/directLog.js';
import { EndCause } from './endCause.js';
import { ProcessEnd } from './processEnd.js';
import { ProcessSignals } from './processSignals.js';

/** The parts of a process that exist before the program is loaded. */
export interface StartedProcess {
  readonly signals: ProcessSignals;
  readonly directLog: DirectLog;
  readonly end: ProcessEnd;
}

/**
 * Handles the signals and the uncaught errors of this process. Until the program has reactions of its
 * own, a signal that asks for a stop ends the process at once.
 *
 * @param name - the name of the program, for the log
 * @returns the parts that the program uses once it is loaded
 */
export function startProcess(name: string): StartedProcess {
  const directLog = new DirectLog(new SystemClock(), name);
  const end = new ProcessEnd(process, directLog);
  const signals = new ProcessSignals(process, () =>
    end.end(EndCause.StoppedAtStart, 'a signal asked for a stop before anything was served'),
  );
  signals.handle();
  end.handleUncaughtErrors();
  return { directLog, end, signals };
}
