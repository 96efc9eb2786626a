import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { respondSuccessfully } from '@lentillb/standins';
import type { Run } from '@lentillb/standins';
import { Cancellation } from 'lentillb/calls/cancellation.js';
import { WaitLimit } from 'lentillb/admission/slotQueue.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { encodeHeaders } from '../support/forwardedRequest.js';
import { blockEventLoop } from '../support/blockEventLoop.js';
import { startDisconnectingCallers } from '../support/disconnectingCallers.js';
import { RawConnection } from '../support/rawConnection.js';
import type { RawRequest } from '../support/rawConnection.js';
import type { FleetHost } from '../support/sidecarFleet.js';
import { SidecarFleet } from '../support/sidecarFleet.js';

const SETTLE_MS = 200;
const SLOTS = 4;

let fleet: SidecarFleet;
let connections: RawConnection[];

beforeEach(async () => {
  connections = [];
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
});

afterEach(async () => {
  connections.forEach((connection) => connection.close());
  await fleet.close();
});

async function open(address: string): Promise<RawConnection> {
  const connection = await RawConnection.open(address);
  connections.push(connection);
  return connection;
}

function requestOf(id: string): RawRequest {
  return {
    target: '/a/page',
    headers: { host: 'pages.example', 'x-attempt-id': id, 'x-deadline-ms': '1400' },
  };
}

/** Builds a request in the form in which the node of another host sends it to the gate. */
function forwardedRequestOf(id: string): RawRequest {
  const nowMs = fleet.clock.monotonicMs();
  const headers = encodeHeaders(fleet.clock, {
    requestId: id,
    method: 'GET',
    target: '/a/page',
    headers: { host: 'pages.example', 'x-attempt-id': id },
    body: Buffer.alloc(0),
    service: 'pages',
    route: 'pages',
    customerPriority: 0,
    priority: 1,
    repeatable: true,
    targetLatencyMs: 400,
    targetAtMs: nowMs + 400,
    deadlineAtMs: nowMs + 1_400,
    waitLimit: WaitLimit.UntilDeadline,
    transmission: 1,
    cancellation: new Cancellation(),
  });
  return { target: '/a/page', headers: headers as Record<string, string> };
}

function runsOf({ backendServer }: FleetHost, id: string): readonly Run[] {
  return backendServer.runs.filter(({ requestId }) => requestId === id);
}

describe('a request whose caller left before the request was read', () => {
  it('should not be run by the node that the caller sent it to', async () => {
    const host = await fleet.addHost('front', 'pages');
    await fleet.waitUntilServed(host, 'pages');
    const caller = await open(host.callerAddress);
    caller.write(requestOf('r-first'));
    await fleet.waitUntil(() => caller.receivedText.includes('ran'));
    caller.write(requestOf('r-left'));
    caller.close();
    await fleet.clock.sleep(SETTLE_MS);
    expect(runsOf(host, 'r-first')).toHaveLength(1);
    expect(runsOf(host, 'r-left')).toEqual([]);
  });

  it('should not be run by the gate after another node cancelled it', async () => {
    const host = await fleet.addHost('back', 'pages');
    await fleet.waitUntilServed(host, 'pages');
    const node = await open(host.sidecar.identity.gateAddress);
    node.write(forwardedRequestOf('r-first'));
    await fleet.waitUntil(() => node.receivedText.includes('ran'));
    node.write(forwardedRequestOf('r-withdrawn'));
    node.close();
    await fleet.clock.sleep(SETTLE_MS);
    expect(runsOf(host, 'r-first')).toHaveLength(1);
    expect(runsOf(host, 'r-withdrawn')).toEqual([]);
  });
});

describe('requests whose callers left while their connections waited to be accepted', () => {
  it('should not be run once they are accepted', async () => {
    const host = await fleet.addHost('front', 'pages');
    await fleet.waitUntilServed(host, 'pages');
    const before = host.backendServer.runs.length;
    const requests = Array.from({ length: 100 }, (_, index) => requestOf(`r-${index}`));
    const callers = startDisconnectingCallers(host.callerAddress, requests);
    const left = once(callers, 'exit');
    await once(callers, 'online');
    blockEventLoop(1_000);
    await left;
    await fleet.clock.sleep(SETTLE_MS);
    expect(host.backendServer.runs.length - before).toBe(0);
    expect(host.log).toContainEqual(
      expect.objectContaining({ event: 'request-refused', cause: 'caller-gone' }),
    );
  });
});

describe('a request whose caller left while it waited for a slot', () => {
  it('should not get a slot that is freed before the close is read', async () => {
    const host = await fleet.addHost('front', 'pages');
    await fleet.waitUntilServed(host, 'pages');
    const pendingAnswers: (() => void)[] = [];
    host.backendServer.setHandler((response: ServerResponse, run) => {
      pendingAnswers.push(() => respondSuccessfully(response, run));
    });
    const runs = Array.from({ length: SLOTS }, () => fleet.send(host, 'pages'));
    await fleet.waitUntil(() => pendingAnswers.length === SLOTS);
    const waiting = await open(host.callerAddress);
    waiting.write(requestOf('r-waiting'));
    await fleet.clock.sleep(SETTLE_MS);
    expect(waiting.receivedText).toBe('');
    // The answer that frees the slot and the close both arrive before the node reads either of them.
    pendingAnswers[0]!();
    waiting.close();
    await fleet.clock.sleep(SETTLE_MS);
    expect(runsOf(host, 'r-waiting')).toEqual([]);
    pendingAnswers.slice(1).forEach((answer) => answer());
    const responses = await Promise.all(runs.map((run) => run.answer));
    expect(responses.map(({ status }) => status)).toEqual(Array<number>(SLOTS).fill(200));
  });
});
