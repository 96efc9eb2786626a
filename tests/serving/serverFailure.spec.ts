import { Outcome } from 'lentillb/calls/callHeaders.js';
import { isServerFailure } from 'lentillb/serving/serverFailure.js';
import { FailureCause } from 'lentillb/calls/failureCause.js';
import { describe, expect, it } from 'vitest';

describe('failures that count against a backend server', () => {
  it.each([
    [FailureCause.ServerEnded, Outcome.Unknown, true],
    [FailureCause.ConnectionLost, Outcome.Unknown, true],
    [FailureCause.Rejected, Outcome.NotRun, true],
    [FailureCause.SuspectRequest, Outcome.Unknown, true],
    [FailureCause.SuspectRequest, Outcome.NotRun, false],
    [FailureCause.NoSlotInTime, Outcome.NotRun, false],
    [FailureCause.CallerGone, Outcome.Unknown, false],
  ])('should be told for %s, %s: %s', (cause, outcome, expected) => {
    expect(isServerFailure({ cause, outcome })).toBe(expected);
  });
});
