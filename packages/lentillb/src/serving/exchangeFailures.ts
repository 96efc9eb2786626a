/** Maps the failure of an exchange to the outcome of its request. */
import { Outcome } from '../calls/callHeaders.js';
import { ExchangeFailure } from './exchange.js';
import type { ForwardFailure } from './messages.js';
import { FailureCause } from '../calls/failureCause.js';

function failure(outcome: Outcome, cause: FailureCause): ForwardFailure {
  return { outcome, cause };
}

/** The outcome and cause of a failed request, by the failure of its exchange. */
export const forwardFailures: Record<ExchangeFailure, ForwardFailure> = {
  [ExchangeFailure.NotSent]: failure(Outcome.NotRun, FailureCause.ConnectFailed),
  [ExchangeFailure.KeptConnectionLost]: failure(Outcome.Unknown, FailureCause.ConnectionLost),
  [ExchangeFailure.Lost]: failure(Outcome.Unknown, FailureCause.ConnectionLost),
  [ExchangeFailure.Malformed]: failure(Outcome.Unknown, FailureCause.InvalidAnswer),
  [ExchangeFailure.TimedOut]: failure(Outcome.Unknown, FailureCause.DeadlinePassed),
  [ExchangeFailure.SilentNotRun]: failure(Outcome.NotRun, FailureCause.ConnectionSilent),
  [ExchangeFailure.Silent]: failure(Outcome.Unknown, FailureCause.ConnectionSilent),
  [ExchangeFailure.Withdrawn]: failure(Outcome.NotRun, FailureCause.CallerGone),
  [ExchangeFailure.TooLate]: failure(Outcome.NotRun, FailureCause.WaitedTooLong),
  [ExchangeFailure.Unsendable]: failure(Outcome.NotRun, FailureCause.Unsendable),
  [ExchangeFailure.Cancelled]: failure(Outcome.Unknown, FailureCause.CallerGone),
};
