import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import { Deadline, SystemClock } from 'lentillb';
import type { Services } from 'lentillb';
import type { CallRequest } from 'lentillb/calls/call.js';
import { CallHeader } from 'lentillb/calls/callHeaders.js';
import { CallGate } from 'lentillb/gate/callGate.js';
import { GateClient } from 'lentillb/routing/gateClient.js';
import { Priority } from 'lentillb/rules/ruleForms.js';
import { Ok } from 'ts-results-es';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { createCallerPresence } from '../support/callerPresence.js';
import { LeavingCallers } from '../support/leavingCallers.js';

const CALLER_COUNT = 8;
const SETTLE_MS = 200;

const clock = new SystemClock();

let callers: LeavingCallers;
let sent: (string | undefined)[];

beforeEach(async () => {
  sent = [];
  callers = new LeavingCallers();
  await callers.start();
});

afterEach(() => {
  vi.restoreAllMocks();
  callers.close();
});

/** Records a call that is being sent; all callers leave once the first is. */
function recordSend({ headers }: Dispatcher.DispatchOptions): boolean {
  sent.push((headers as Record<string, string>)[CallHeader.RequestId]);
  if (sent.length === 1) {
    callers.leave();
  }
  return true;
}

async function createCalls(): Promise<readonly CallRequest[]> {
  const calls: CallRequest[] = [];
  for (let count = 0; count < CALLER_COUNT; count += 1) {
    calls.push({
      requestId: `r-${count}`,
      method: 'GET',
      target: '/',
      headers: {},
      body: undefined,
      service: 'pages',
      backendServer: 'b',
      priority: Priority.Normal,
      deadline: Deadline.after(clock, 5_000),
      attempt: 1,
      cancellation: await callers.connect(),
    });
  }
  return calls;
}

describe('a call whose caller leaves while others are being sent', () => {
  it('should not be sent to the backend server of the host', async () => {
    const server = {
      id: 'b',
      service: 'pages',
      address: '127.0.0.1',
      port: 9,
      slots: CALLER_COUNT,
      state: 'ready',
      admission: { admit: () => Promise.resolve(Ok(() => undefined)) },
      pool: { dispatch: recordSend },
    };
    const gate = new CallGate({
      backendServerRegistry: { get: () => server },
      callerPresence: createCallerPresence(clock),
      tableStore: { current: undefined },
    } as unknown as Services);
    (await createCalls()).forEach((call) => gate.call(call));
    await clock.sleep(SETTLE_MS);
    expect(sent).toEqual(['r-0']);
  });

  it('should not be sent to the gate of another host', async () => {
    vi.spyOn(Agent.prototype, 'dispatch').mockImplementation(recordSend);
    const client = new GateClient({
      callerPresence: createCallerPresence(clock),
      settings: { host: 'own' },
    } as unknown as Services);
    const endpoint = { host: 'other', address: '127.0.0.1', gatePort: 9, id: 'b' } as never;
    (await createCalls()).forEach((call) => client.call(endpoint, call));
    await clock.sleep(SETTLE_MS);
    expect(sent).toEqual(['r-0']);
    await client.close();
  });
});
