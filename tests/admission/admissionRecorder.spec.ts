import { AdmissionRecorder } from 'lentillb/admission/admissionRecorder.js';
import { Standing } from 'lentillb/admission/slotOrder.js';
import { Admission } from 'lentillb/admission/slotQueue.js';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

it('should record refusals for the sake of calls, raised requests, and changes of the reserve once a second', () => {
  const clock = new ManualClock();
  const lines: string[] = [];
  const write = (line: unknown): void => {
    lines.push(JSON.stringify(line));
  };
  const metrics = new MetricsRegistry();
  const recorder = new AdmissionRecorder(
    clock,
    new DecisionLog(clock, { info: write, warn: write }),
    metrics,
  );
  const request = { requestId: 'r', route: 'upload', customer: 'c' };
  const refused = { admission: Admission.Refused, waitMs: 5, cancel: () => undefined };
  recorder.record(request, { ...refused, standing: Standing.Ordinary, reserved: 2 });
  recorder.record(request, { ...refused, standing: Standing.Ordinary, reserved: 0 });
  recorder.record(request, { ...refused, standing: Standing.Underserved, reserved: 0 });
  recorder.record(request, { ...refused, standing: Standing.Call, reserved: 0 });
  const countOf = (event: string): number => lines.filter((line) => line.includes(event)).length;
  expect(['slots-reserved', 'refused-for-calls', 'request-raised'].map(countOf)).toEqual([1, 1, 1]);
  expect(metrics.renderText()).toContain(
    'gate_admissions{admission="refused",standing="ordinary"} 2',
  );
});
