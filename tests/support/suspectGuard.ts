/** Creates guards against requests under which backend servers end, for tests without other nodes. */
import type { Clock } from 'lentillb';
import { SuspectGuard } from 'lentillb/serving/suspectGuard.js';
import { SuspectRequests } from 'lentillb/serving/suspectRequests.js';
import { createSilentLog } from './slotQueue.js';

/**
 * @param clock - the clock for delays
 * @param host - the address of the host of the guard
 * @returns a guard that reports to no other node
 */
export function createSuspectGuard(clock: Clock, host = 'h'): SuspectGuard {
  const suspects = new SuspectRequests(clock);
  const log = createSilentLog(clock);
  return new SuspectGuard(
    { clock, suspects, log, report: () => undefined, onBlockChange: () => undefined },
    host,
  );
}
