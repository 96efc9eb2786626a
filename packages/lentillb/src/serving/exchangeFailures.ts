/** What a failed exchange tells about the request it carried. */
import { Outcome } from '../calls/callHeaders.js';
import { ExchangeFailure } from './exchange.js';
import type { ForwardFailure } from './messages.js';
import { FailureCause } from './messages.js';

function failure(outcome: Outcome, cause: FailureCause): ForwardFailure {
  return { outcome, cause };
}

/** Whether the request may have run, by how its exchange failed. */
export const forwardFailures: Record<ExchangeFailure, ForwardFailure> = {
  [ExchangeFailure.NotSent]: failure(Outcome.NotRun, FailureCause.ConnectFailed),
  [ExchangeFailure.KeptConnectionLost]: failure(Outcome.Unknown, FailureCause.ConnectionLost),
  [ExchangeFailure.Lost]: failure(Outcome.Unknown, FailureCause.ConnectionLost),
  [ExchangeFailure.Malformed]: failure(Outcome.Unknown, FailureCause.InvalidAnswer),
  [ExchangeFailure.TimedOut]: failure(Outcome.Unknown, FailureCause.DeadlinePassed),
  [ExchangeFailure.Cancelled]: failure(Outcome.Unknown, FailureCause.CallerGone),
};
