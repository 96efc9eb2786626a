import { Cancellation, CancelReason } from 'lentillb/calls/cancellation.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { Receiver, SendRecorder } from 'lentillb/serving/sendRecorder.js';
import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const INPUT_AGE_MS = 12;

let clock: ManualClock;
let lines: object[];
let metrics: MetricsRegistry;
let recorder: SendRecorder;

beforeEach(() => {
  clock = new ManualClock();
  lines = [];
  metrics = new MetricsRegistry();
  const write = (fields: object): void => {
    lines.push(fields);
  };
  const log = new DecisionLog(clock, { info: write, warn: write });
  const input = { ageMs: () => INPUT_AGE_MS };
  recorder = new SendRecorder({ clock, input, log, metrics });
});

function recordSend(requestId: string): Cancellation {
  const cancellation = new Cancellation();
  recorder.record({
    cancellation,
    onReusedConnection: true,
    receiver: Receiver.BackendServer,
    requestId,
  });
  return cancellation;
}

describe('a request that was sent for a caller that had left', () => {
  it('should be reported with the age of the state and the number of sends before it', async () => {
    recordSend('a');
    const cancellation = recordSend('b');
    await clock.advance(3);
    cancellation.cancel(CancelReason.CallerGone);
    expect(lines).toEqual([
      {
        event: 'sent-before-departure-was-read',
        requestId: 'b',
        receiver: 'backend-server',
        leftAfterMs: 3,
        inputAgeMs: INPUT_AGE_MS,
        turnMs: 0,
        sentInTurn: 2,
        onReusedConnection: true,
      },
    ]);
    expect(metrics.renderText()).toContain('send_input_age_ms_count{receiver="backend-server"} 2');
  });

  it('should count only the sends of its own turn', async () => {
    recordSend('a');
    await clock.advance(0);
    recordSend('b').cancel(CancelReason.CallerGone);
    expect(lines).toMatchObject([{ requestId: 'b', sentInTurn: 1 }]);
  });

  it.each([
    ['the caller left during the run', CancelReason.CallerGone, 200],
    ['another backend server answered', CancelReason.AnsweredElsewhere, 3],
  ])('should not be reported when %s', async (_, reason, afterMs) => {
    const cancellation = recordSend('a');
    await clock.advance(afterMs);
    cancellation.cancel(reason);
    expect(lines).toEqual([]);
  });
});
