import { CallerListener } from 'lentillb/serving/callerListener.js';
import { RequestSender } from 'lentillb/serving/requestSender.js';
import { MAX_INPUT_AGE_MS } from 'lentillb/utils/pendingInput.js';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { BatchedCallers } from '../support/batchedCallers.js';
import { blockEventLoop } from '../support/blockEventLoop.js';
import type { RawRequest } from '../support/rawConnection.js';
import { recordWrites } from '../support/sentRequests.js';
import type { FleetHost } from '../support/sidecarFleet.js';
import { SidecarFleet } from '../support/sidecarFleet.js';

const BATCH_SIZE = 60;
const STAY_MS = 120;
/** The processor time that it takes to send one request, as on a host that has just started. */
const SEND_COST_MS = 10;
/** The age of the state on which a request is sent, and a pause of this process. */
const MAX_LATE_MS = MAX_INPUT_AGE_MS + 30;
/** The time for which the node reads nothing, so that the whole batch arrives meanwhile. */
const READ_DELAY_MS = 30;
const SETTLE_MS = 700;

let fleet: SidecarFleet;

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
});

afterEach(async () => {
  vi.restoreAllMocks();
  await fleet.close();
});

function requestOf(id: string): RawRequest {
  return {
    target: '/a/page',
    headers: { host: 'pages.example', 'x-attempt-id': id, 'x-deadline-ms': '1400' },
  };
}

function requestsOf(name: string, count = BATCH_SIZE): readonly RawRequest[] {
  return Array.from({ length: count }, (_, index) => requestOf(`${name}-${index}`));
}

async function addHostWithSlots(name: string, service: string): Promise<FleetHost> {
  const host = await fleet.addHost(name, service, false);
  await host.sidecar.acceptHeartbeat({ ...host.heartbeat, slots: BATCH_SIZE });
  return host;
}

function raiseCostOfSending(): void {
  const { send } = RequestSender.prototype;
  vi.spyOn(RequestSender.prototype, 'send').mockImplementation(function sendSlowly(
    this: RequestSender,
    ...call
  ) {
    blockEventLoop(SEND_COST_MS);
    return Reflect.apply(send, this, call);
  });
}

/** Returns how long after the departure of its caller each request of a batch was sent. */
async function sendBatchTo(host: FleetHost, isForGate: boolean): Promise<readonly number[]> {
  const callers = await BatchedCallers.connect(host.callerAddress, {
    firstRequests: requestsOf('first'),
    batch: requestsOf('batch'),
    stayMs: STAY_MS,
  });
  const written = recordWrites('x-attempt-id');
  raiseCostOfSending();
  const left = callers.sendAndLeave();
  // All requests arrive before the first of them is read.
  blockEventLoop(READ_DELAY_MS);
  const leftAtMs = await left;
  await fleet.clock.sleep(SETTLE_MS);
  return written
    .filter(({ id, isForGate: wasForGate }) => id.startsWith('batch') && wasForGate === isForGate)
    .map(({ atMs }) => atMs - leftAtMs);
}

describe('a batch of requests whose callers leave while it is being sent', () => {
  it('should not be sent to the backend server of the host once they have left', async () => {
    const host = await addHostWithSlots('front', 'pages');
    await fleet.waitUntilServed(host, 'pages');
    const sentAfterMs = await sendBatchTo(host, false);
    expect(sentAfterMs.filter((afterMs) => afterMs > MAX_LATE_MS)).toEqual([]);
    expect(sentAfterMs.length).toBeGreaterThan(0);
  });

  it('should not be sent to the gate of another host once they have left', async () => {
    const front = await fleet.addHost('front', 'letters');
    await addHostWithSlots('back', 'pages');
    await fleet.waitUntilServed(front, 'pages');
    const sentAfterMs = await sendBatchTo(front, true);
    expect(sentAfterMs.filter((afterMs) => afterMs > MAX_LATE_MS)).toEqual([]);
    expect(sentAfterMs.length).toBeGreaterThan(0);
  });
});

/** The processor time that it takes to read one request, and the callers that leave meanwhile. */
const READ_COST_MS = 10;
const LEAVING_COUNT = 8;
/** The time in which the requests of another thread arrive, in milliseconds. */
const ARRIVAL_MS = 50;
/** The age of the state after which a departure may not be unread any more, in milliseconds. */
const MAX_UNREAD_MS = 250;

/** Lets other requests arrive while the first ones are read, and each of them take a time to read. */
function raiseCostOfReading(sendOthers: () => void): void {
  const { prototype } = CallerListener as unknown as { prototype: { serve: () => Promise<void> } };
  const { serve } = prototype;
  let count = 0;
  vi.spyOn(prototype, 'serve').mockImplementation(function serveSlowly(this: unknown, ...call) {
    count += 1;
    if (count === LEAVING_COUNT) {
      sendOthers();
      blockEventLoop(ARRIVAL_MS);
    } else if (count > LEAVING_COUNT) {
      blockEventLoop(READ_COST_MS);
    }
    return Reflect.apply(serve, this, call);
  });
}

// Guards against requests that are sent on for callers that left while others were being read.
describe('requests whose callers leave while many others are read', () => {
  it('should not be sent on', async () => {
    const host = await addHostWithSlots('front', 'pages');
    await fleet.waitUntilServed(host, 'pages');
    const leaving = await BatchedCallers.connect(host.callerAddress, {
      firstRequests: requestsOf('first', LEAVING_COUNT),
      batch: requestsOf('leaving', LEAVING_COUNT),
      stayMs: STAY_MS,
    });
    const others = await BatchedCallers.connect(host.callerAddress, {
      firstRequests: requestsOf('second'),
      batch: requestsOf('other'),
      stayMs: 2 * SETTLE_MS,
    });
    const written = recordWrites('x-attempt-id');
    const ended: Promise<number>[] = [];
    raiseCostOfReading(() => ended.push(others.sendAndLeave()));
    const left = leaving.sendAndLeave();
    blockEventLoop(READ_DELAY_MS);
    const leftAtMs = await left;
    await Promise.all(ended);
    const late = written
      .filter(({ id }) => id.startsWith('leaving'))
      .map(({ atMs }) => atMs - leftAtMs)
      .filter((afterMs) => afterMs > MAX_UNREAD_MS);
    expect(late).toEqual([]);
    expect(written.some(({ id }) => id.startsWith('other'))).toBe(true);
  });
});
