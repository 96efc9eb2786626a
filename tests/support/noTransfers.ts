/** Creates the parts by which gates order large bodies, for tests that send none. */
import { Err } from 'ts-results-es';
import { FailureCause } from 'lentillb/calls/failureCause.js';
import type { Gate } from 'lentillb/serving/gate.js';
import type { LinkQueue } from 'lentillb/transfers/linkQueue.js';

/** A link on which no body waits. */
export const noTransfers: Pick<LinkQueue, 'complete' | 'recentMs' | 'reserve' | 'waitingCount'> = {
  waitingCount: 0,
  complete: () => undefined,
  recentMs: () => 0,
  reserve: () => Promise.resolve(Err({ waitMs: 0 })),
};

/** A gate that takes no large bodies. */
export const noBodies: Pick<Gate, 'judge' | 'report'> = {
  judge: () => Err(FailureCause.NotServing),
  report: () => ({ load: 0, serviceMs: 0 }),
};
