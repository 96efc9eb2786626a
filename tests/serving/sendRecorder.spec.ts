import { CancelReason } from 'lentillb/calls/cancellation.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import type { RecordedSend } from 'lentillb/serving/sendRecorder.js';
import { Receiver, SendRecorder } from 'lentillb/serving/sendRecorder.js';
import { beforeEach, describe, expect, it } from 'vitest';
import { createForwardedRequest } from '../support/forwardedRequest.js';
import { ManualClock } from '../support/manualClock.js';

const INPUT_AGE_MS = 12;

let clock: ManualClock;
let lines: object[];
let metrics: MetricsRegistry;
let polls: number;
let recorder: SendRecorder;

beforeEach(() => {
  clock = new ManualClock();
  lines = [];
  metrics = new MetricsRegistry();
  const write = (fields: object): void => {
    lines.push(fields);
  };
  const log = new DecisionLog(clock, { info: write, warn: write });
  polls = 1;
  const input = {
    ageMs: () => INPUT_AGE_MS,
    get polls() {
      return polls;
    },
  };
  recorder = new SendRecorder({ clock, input, log, metrics });
});

function recordSend(): RecordedSend {
  return recorder.record(true);
}

function report(sent: RecordedSend, reason: CancelReason): void {
  const request = createForwardedRequest(clock, { requestId: 'b' });
  request.cancellation.cancel(reason);
  recorder.reportDeparture(request, Receiver.BackendServer, sent);
}

describe('a request that was sent for a caller that had left', () => {
  it('should be reported with the age of the state and the number of sends before it', async () => {
    recordSend();
    const sent = recordSend();
    await clock.advance(3);
    report(sent, CancelReason.CallerGone);
    expect(lines).toEqual([
      {
        event: 'sent-before-departure-was-read',
        requestId: 'b',
        receiver: 'backend-server',
        leftAfterMs: 3,
        inputAgeMs: INPUT_AGE_MS,
        sentSincePoll: 2,
        onReusedConnection: true,
      },
    ]);
    expect(metrics.renderText()).toContain(
      'sent_before_departure_was_read{receiver="backend-server"} 1',
    );
  });

  it('should count only the sends since the last poll', () => {
    recordSend();
    polls += 1;
    report(recordSend(), CancelReason.CallerGone);
    expect(lines).toMatchObject([{ requestId: 'b', sentSincePoll: 1 }]);
  });

  it.each([
    ['the caller left during the run', CancelReason.CallerGone, 200],
    ['another backend server answered', CancelReason.AnsweredElsewhere, 3],
  ])('should not be reported when %s', async (_, reason, afterMs) => {
    const sent = recordSend();
    await clock.advance(afterMs);
    report(sent, reason);
    expect(lines).toEqual([]);
  });
});
