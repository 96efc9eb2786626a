import { respondSuccessfully } from '@lentillb/standins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

const SERVICE = 'pages';
const DEADLY = 'ends each backend server';
const BACKEND_SERVERS = 6;
/** The backend servers that may end before the fleet must have learned of it. */
const MAX_ENDS = 3;

let fleet: SidecarFleet;
let fronts: FleetHost[];
let servers: FleetHost[];
let ends: number;

/** Ends the backend server of a host as soon as it runs the deadly request. */
function endUnderDeadlyRequest(host: FleetHost): void {
  host.backendServer.setHandler((response, run) => {
    if (run.body !== DEADLY) {
      respondSuccessfully(response, run);
      return;
    }
    ends += 1;
    void host.backendServer.close();
  });
}

/** Sends the deadly request from the entries in turn, each time as a request of its own. */
async function sendDeadly(count: number): Promise<number[]> {
  const statuses: number[] = [];
  for (let request = 0; request < count; request += 1) {
    const front = fronts[request % fronts.length] as FleetHost;
    statuses.push((await fleet.send(front, SERVICE, DEADLY).answer).status);
    await fleet.clock.sleep(50);
  }
  return statuses;
}

beforeEach(async () => {
  ends = 0;
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
  fronts = [await fleet.addHost('f1', 'letters'), await fleet.addHost('f2', 'letters')];
  servers = [];
  for (let index = 0; index < BACKEND_SERVERS; index += 1) {
    servers.push(await fleet.addHost(`b${index}`, SERVICE));
  }
  await Promise.all(fronts.map((front) => fleet.waitUntilServed(front, SERVICE)));
  // Each of them must have learned of all backend servers.
  await fleet.clock.sleep(2_000);
  servers.forEach(endUnderDeadlyRequest);
});

afterEach(() => fleet.close());

describe('request under which backend servers end', () => {
  it('should not be given to one backend server after another', async () => {
    const statuses = await sendDeadly(12);
    expect(ends).toBeLessThanOrEqual(MAX_ENDS);
    expect(statuses.at(-1)).toBe(503);
    const other = await Promise.all(
      fronts.map((front) => fleet.send(front, SERVICE, 'another letter').answer),
    );
    expect(other.map(({ status }) => status)).toEqual([200, 200]);
  }, 20_000);
});
