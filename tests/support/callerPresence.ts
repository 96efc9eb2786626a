/** Creates the part that decides whether requests may be sent, as it is in a process. */
import type { Clock } from 'lentillb';
import { CallerPresence } from 'lentillb/calls/callerPresence.js';
import { PendingInputTracker } from 'lentillb/utils/pendingInput.js';

/**
 * @param clock - the clock for deadlines and the age of input
 * @param input - the tracker of the input of this process
 * @returns the decisions on requests that real sockets deliver
 */
export function createCallerPresence(
  clock: Clock,
  input = new PendingInputTracker(clock),
): CallerPresence {
  return new CallerPresence({ clock, input });
}
