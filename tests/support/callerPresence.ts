/** Creates the parts that decide whether requests may be acted on, as they are in a process. */
import type { Clock } from 'lentillb';
import { CallerPresence } from 'lentillb/calls/callerPresence.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { AcceptDelay } from 'lentillb/serving/acceptDelay.js';
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

/**
 * @param clock - the clock by which the delay is measured
 * @returns the measurement of how long connections wait to be accepted
 */
export function createAcceptDelay(clock: Clock): AcceptDelay {
  return new AcceptDelay({ clock, metrics: new MetricsRegistry() }, 'callers');
}
