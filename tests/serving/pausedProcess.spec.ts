import { Agent, createServer } from 'node:http';
import type { Server } from 'node:http';
import { connect } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { CallerPresence } from 'lentillb/calls/callerPresence.js';
import { Cancellation, CancelReason } from 'lentillb/calls/cancellation.js';
import { MetricsRegistry } from 'lentillb/observability/metricsRegistry.js';
import { Gate } from 'lentillb/serving/gate.js';
import { ExchangeFailure } from 'lentillb/serving/exchange.js';
import { LocalBackendServer } from 'lentillb/serving/localBackendServer.js';
import { FailureCause } from 'lentillb/calls/failureCause.js';
import { StatedLimit } from 'lentillb/admission/statedLimit.js';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { noTransfers } from '../support/noTransfers.js';
import { blockEventLoop } from '../support/blockEventLoop.js';
import { createForwardedRequest } from '../support/forwardedRequest.js';
import { ManualClock } from '../support/manualClock.js';
import { sendRequest } from '../support/sendRequest.js';
import { createSilentLog, createSlotQueue } from '../support/slotQueue.js';
import { createSuspectGuard } from '../support/suspectGuard.js';

const PAUSE_MS = 150;
const DEADLINE_MS = 1_000;

let backend: Server;
let backendAddress: string;
let runs: number;

beforeEach(async () => {
  runs = 0;
  backend = createServer((_, response) => {
    runs += 1;
    response.end();
  });
  backendAddress = await listenOnLoopback(backend);
});

afterEach(() => {
  backend.closeAllConnections();
  backend.close();
});

describe('a process that was paused while it connected to another', () => {
  it('should not send a request whose caller left meanwhile', async () => {
    const cancellation = new Cancellation();
    const agent = new Agent();
    agent.createConnection = () => {
      const socket = connect(parseAddress(backendAddress));
      // The end of the caller's connection is read right after the new connection is established.
      socket.once('connect', () =>
        setImmediate(() => cancellation.cancel(CancelReason.CallerGone)),
      );
      return socket;
    };
    const sent = sendRequest(backendAddress, { agent, cancellation, timeoutMs: 2_000 });
    await new Promise<void>((resolve) => {
      process.nextTick(resolve);
    });
    blockEventLoop(PAUSE_MS);
    expect((await sent).isErr()).toBe(true);
    await new SystemClock().sleep(50);
    expect(runs).toBe(0);
  });

  it('should not send a request whose time is over, and report that it did not run', async () => {
    const sent = sendRequest(backendAddress, { agent: new Agent(), timeoutMs: PAUSE_MS / 2 });
    await new Promise<void>((resolve) => {
      process.nextTick(resolve);
    });
    blockEventLoop(PAUSE_MS);
    expect((await sent).unwrapErr()).toBe(ExchangeFailure.TooLate);
    await new SystemClock().sleep(50);
    expect(runs).toBe(0);
  });
});

describe('a process that was paused after it admitted a request', () => {
  it('should refuse the request as not run when its deadline has passed meanwhile', async () => {
    const clock = new ManualClock();
    const backendServer = new LocalBackendServer(clock, () => undefined);
    backendServer.finishRestoring();
    backendServer.accept({
      id: 'i',
      service: 's',
      address: 'b:1',
      slots: 2,
      draining: false,
      warmupLeftMs: 0,
      sequence: 1,
      startedAtMs: 1,
    });
    const statedLimit = new StatedLimit(clock, createSilentLog(clock));
    const slots = createSlotQueue(clock, statedLimit);
    slots.resize(2);
    let sent = 0;
    const gate = new Gate({
      clock,
      slots,
      statedLimit,
      suspectGuard: createSuspectGuard(clock),
      transfers: noTransfers,
      listenProbe: { hasEnded: () => Promise.resolve(false) },
      backendServer,
      log: createSilentLog(clock),
      metrics: new MetricsRegistry(),
      presence: new CallerPresence({
        clock,
        input: {
          isCurrent: () => false,
          waitUntilCurrent: () => clock.advance(DEADLINE_MS + 1),
          waitUntilRead: () => Promise.resolve(),
        },
      }),
      client: {
        send: () => {
          sent += 1;
          return Promise.resolve(Ok({ status: 200, headers: {}, body: Buffer.alloc(0) }));
        },
      },
    });
    const request = createForwardedRequest(clock, {
      deadlineAtMs: clock.monotonicMs() + DEADLINE_MS,
    });
    const { result } = await gate.serve(request);
    expect(result.unwrapErr()).toMatchObject({
      outcome: 'not-run',
      cause: FailureCause.WaitedTooLong,
    });
    expect(sent).toBe(0);
    expect(slots.load.running).toBe(0);
    // The delay of this process says nothing about its backend server.
    expect(gate.reportLoad()?.failureShare).toBe(0);
  });
});
