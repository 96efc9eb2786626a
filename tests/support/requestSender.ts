/** Creates senders of requests for tests of the parts that send. */
import type { Clock } from 'lentillb';
import { MemoryBudget } from 'lentillb/memory/memoryBudget.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { RequestSender } from 'lentillb/serving/requestSender.js';
import { SendRecorder } from 'lentillb/serving/sendRecorder.js';
import { PendingInputTracker } from 'lentillb/utils/pendingInput.js';
import { createCallerPresence } from './callerPresence.js';
import { createSilentLog } from './slotQueue.js';

/**
 * @param clock - the clock for deadlines and time-outs
 * @returns a sender of requests
 */
export function createRequestSender(clock: Clock): RequestSender {
  const input = new PendingInputTracker(clock);
  const log = createSilentLog(clock);
  const metrics = new MetricsRegistry();
  const presence = createCallerPresence(clock, input);
  const sends = new SendRecorder({ clock, input, log, metrics });
  return new RequestSender({ clock, memory: new MemoryBudget(clock), presence, sends });
}
