import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

/** Takes 480 ms on a link of 1 Mbit/s, more than the target latency of the route. */
const BODY = 'x'.repeat(60_000);

let fleet: SidecarFleet;
let front: FleetHost;
let back: FleetHost;

beforeEach(async () => {
  fleet = new SidecarFleet();
  fleet.linkMegabits = 1;
  await fleet.start();
  fleet.publish();
  front = await fleet.addHost('front', 'pages');
  back = await fleet.addHost('back', 'letters');
  await fleet.waitUntilServed(front, 'letters');
  back.backendServer.runs.splice(0);
});

afterEach(async () => {
  await fleet.close();
});

describe('a large body for a backend server of another host', () => {
  it('should arrive whole', async () => {
    const { body, status } = await fleet.send(front, 'letters', BODY).answer;
    expect([status, body]).toEqual([200, `ran ${BODY}`]);
    expect(back.backendServer.runs.length).toBe(1);
  });

  it('should be refused unsent while the link is taken for longer than its target latency', async () => {
    const sent = [1, 2, 3].map(() => fleet.send(front, 'letters', BODY).answer);
    const answers = await Promise.all(sent);
    const runs = back.backendServer.runs.length;
    const refusals = answers.filter(({ status }) => status === 503);
    expect(answers.filter(({ status }) => status === 200).length).toBe(runs);
    expect(refusals.length).toBe(3 - runs);
    expect(refusals.length).toBeGreaterThan(0);
    expect(refusals.every(({ headers }) => Number(headers['retry-after']) > 0)).toBe(true);
  });

  it('should not wait for the link where the backend server is on the same host', async () => {
    const sent = [1, 2, 3].map(() => fleet.send(back, 'letters', BODY).answer);
    expect((await Promise.all(sent)).map(({ status }) => status)).toEqual([200, 200, 200]);
  });
});
