import { ScriptedBackendServer, respondSuccessfully } from '@lentillb/standins';
import { wireHeaders } from '@lentillb/platform';
import { SystemClock } from 'lentillb';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { BackendServerClient } from 'lentillb/serving/backendServerClient.js';
import { Gate } from 'lentillb/serving/gate.js';
import { LocalBackendServer } from 'lentillb/serving/localBackendServer.js';
import type { GateReply } from 'lentillb/serving/messages.js';
import { FailureCause } from 'lentillb/calls/failureCause.js';
import { StatedLimit } from 'lentillb/admission/statedLimit.js';
import type { SlotQueue } from 'lentillb/admission/slotQueue.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { noTransfers } from '../support/noTransfers.js';
import { createCallerPresence } from '../support/callerPresence.js';
import { createForwardedRequest } from '../support/forwardedRequest.js';
import { createRequestSender } from '../support/requestSender.js';
import { createSilentLog, createSlotQueue } from '../support/slotQueue.js';
import { createSuspectGuard } from '../support/suspectGuard.js';

const SLOTS = 3;
const RUN_MS = 40;
const DEADLINE_MS = 300;
/** The allowance for an answer in transit at the deadline, and for timers of a busy machine. */
const GRACE_MS = 200;

const clock = new SystemClock();

let server: ScriptedBackendServer;
let client: BackendServerClient;
let slots: SlotQueue;
let gate: Gate;
let requestCount: number;

beforeEach(async () => {
  requestCount = 0;
  server = new ScriptedBackendServer('i');
  server.setHandler((response, run) => {
    clock.after(RUN_MS, () => respondSuccessfully(response, run));
  });
  await server.listen();
  client = new BackendServerClient(clock, createRequestSender(clock), wireHeaders, {
    onSent: () => undefined,
    mayResend: () => true,
    onStatement: () => undefined,
  });
  const statedLimit = new StatedLimit(clock, createSilentLog(clock));
  slots = createSlotQueue(clock, statedLimit);
  slots.resize(SLOTS);
  const backendServer = new LocalBackendServer(clock, () => undefined);
  backendServer.finishRestoring();
  backendServer.accept({
    id: 'i',
    service: 's',
    address: server.address,
    slots: SLOTS,
    draining: false,
    warmupLeftMs: 0,
    sequence: 1,
    startedAtMs: 1,
  });
  gate = new Gate({
    clock,
    slots,
    statedLimit,
    backendServer,
    client,
    presence: createCallerPresence(clock),
    suspectGuard: createSuspectGuard(clock),
    transfers: noTransfers,
    listenProbe: { hasEnded: () => Promise.resolve(false) },
    log: createSilentLog(clock),
    metrics: new MetricsRegistry(),
  });
});

afterEach(async () => {
  client.close();
  await server.close();
});

function serve(count: number, deadlineMs = 5_000): Promise<readonly GateReply[]> {
  return Promise.all(
    Array.from({ length: count }, () => {
      requestCount += 1;
      const requestId = `r-${requestCount}`;
      const nowMs = clock.monotonicMs();
      return gate.serve(
        createForwardedRequest(clock, {
          requestId,
          headers: { host: 'a.example', [wireHeaders.requestId]: requestId },
          targetAtMs: nowMs + deadlineMs,
          deadlineAtMs: nowMs + deadlineMs,
        }),
      );
    }),
  );
}

describe('gate of a backend server that hangs when full', () => {
  it('should never send more requests than the backend server has slots', async () => {
    server.hangWhenFull(SLOTS);
    const replies = await serve(SLOTS * 6);
    expect(replies.every(({ result }) => result.isOk())).toBe(true);
    expect(server.hungRequests).toBe(0);
  });

  it('should get the slot back at the deadline and not use the connection again', async () => {
    // Another user of the backend server takes one slot, so that one request hangs.
    server.hangWhenFull(SLOTS - 1);
    const startedMs = clock.monotonicMs();
    const replies = await serve(SLOTS, DEADLINE_MS);
    expect(clock.monotonicMs() - startedMs).toBeLessThan(DEADLINE_MS + GRACE_MS);
    const failures = replies.filter(({ result }) => result.isErr());
    expect(failures.map(({ result }) => result.unwrapErr().cause)).toEqual([
      FailureCause.DeadlinePassed,
    ]);
    expect(slots.load.running).toBe(0);
    server.hangWhenFull(SLOTS);
    const later = await serve(SLOTS * 3);
    expect(later.every(({ result }) => result.isOk())).toBe(true);
    expect(server.hungRequests).toBe(1);
  });
});
