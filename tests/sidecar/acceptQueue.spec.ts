import { once } from 'node:events';
import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { blockEventLoop } from '../support/blockEventLoop.js';
import { startDisconnectingCallers } from '../support/disconnectingCallers.js';
import type { RawRequest } from '../support/rawConnection.js';
import { recordWrites } from '../support/sentRequests.js';
import { SidecarFleet } from '../support/sidecarFleet.js';

const CALLER_COUNT = 150;
const DEADLINE_MS = 400;
const STAY_MS = 3_000;
/** The time that each turn of the event loop takes, in which one connection is accepted. */
const TURN_MS = 10;
/** The time by which a request may be sent after its deadline, for what it waits for once it is read. */
const MAX_LATE_MS = 150;

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
  const deadline = { 'x-deadline-ms': `${DEADLINE_MS}` };
  return { target: '/a', headers: { host: 'pages.example', 'x-attempt-id': id, ...deadline } };
}

it('should not run requests whose time is over once their connections are accepted', async () => {
  const host = await fleet.addHost('front', 'pages', false);
  await host.sidecar.acceptHeartbeat({ ...host.heartbeat, slots: CALLER_COUNT });
  await fleet.waitUntilServed(host, 'pages');
  const requests = Array.from({ length: CALLER_COUNT }, (_, index) => requestOf(`r-${index}`));
  const callers = startDisconnectingCallers(host.callerAddress, requests, STAY_MS);
  await once(callers, 'online');
  const sentAtMs = performance.timeOrigin + performance.now();
  const written = recordWrites('x-attempt-id');
  let isSlow = true;
  const slowDown = (): void => {
    blockEventLoop(TURN_MS);
    if (isSlow) {
      setImmediate(slowDown);
    }
  };
  slowDown();
  await fleet.clock.sleep(CALLER_COUNT * TURN_MS * 1.5);
  isSlow = false;
  const sentAfterMs = written
    .filter(({ id }) => id.startsWith('r-'))
    .map(({ atMs }) => atMs - sentAtMs);
  expect(sentAfterMs.length).toBeGreaterThan(0);
  expect(sentAfterMs.filter((afterMs) => afterMs > DEADLINE_MS + MAX_LATE_MS)).toEqual([]);
  expect(host.log).toContainEqual(
    expect.objectContaining({ event: 'request-refused', cause: 'waited-too-long' }),
  );
  callers.removeAllListeners();
  await callers.terminate();
});
