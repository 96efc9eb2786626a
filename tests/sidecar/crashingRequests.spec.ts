import { respondSuccessfully } from '@lentillb/standins';
import { runInBackground } from 'lentillb/utils/background.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

const SERVICE = 'pages';
const CRASHING = 'ends each backend server';
const BACKEND_SERVERS = 6;
/** The backend servers that may end before the fleet must have learned of it. */
const MAX_ENDS = 3;

const ONCE_ROUTE = {
  hostname: 'once.example',
  'path-prefix': '/',
  'route-type': 'non_idempotent',
  timeout: '1500ms',
  'target-latency': '400ms',
  priority: 1,
  'max-attempts': 2,
};

let fleet: SidecarFleet;
let fronts: FleetHost[];
let servers: FleetHost[];
let ends: number;

/** Ends the backend server of a host as soon as it runs the crashing request. */
function crashUnderRequest(host: FleetHost): void {
  host.backendServer.setHandler((response, run) => {
    if (run.body !== CRASHING) {
      respondSuccessfully(response, run);
      return;
    }
    ends += 1;
    runInBackground(host.backendServer.close());
  });
}

/** Sends the crashing request from the entries in turn, each time as a request of its own. */
async function sendCrashing(count: number, service = SERVICE): Promise<number[]> {
  const statuses: number[] = [];
  for (let request = 0; request < count; request += 1) {
    const front = fronts[request % fronts.length] as FleetHost;
    statuses.push((await fleet.send(front, service, CRASHING).answer).status);
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
  servers.forEach(crashUnderRequest);
});

afterEach(() => fleet.close());

describe('request under which backend servers end', () => {
  it('should not be given to one backend server after another', async () => {
    const statuses = await sendCrashing(12);
    expect(ends).toBeLessThanOrEqual(MAX_ENDS);
    expect(statuses.at(-1)).toBe(503);
    const other = await Promise.all(
      fronts.map((front) => fleet.send(front, SERVICE, 'another letter').answer),
    );
    expect(other.map(({ status }) => status)).toEqual([200, 200]);
  }, 20_000);

  it('should not be given to one backend server after another by callers that may not repeat it', async () => {
    fleet.publish({ once: { ...ONCE_ROUTE, service: SERVICE } });
    await Promise.all(fronts.map((front) => fleet.waitUntilServed(front, 'once')));
    const statuses = await sendCrashing(12, 'once');
    expect(ends).toBeLessThanOrEqual(MAX_ENDS);
    expect(statuses.slice(0, ends)).toEqual(Array(ends).fill(502));
    expect(statuses.slice(ends)).toEqual(Array(12 - ends).fill(503));
  }, 20_000);

  it('should not be taken for harmless when one run is cut off at its deadline', async () => {
    let cutOff = 0;
    servers.forEach(({ backendServer }) =>
      backendServer.setHandler((response, run) => {
        if (ends === MAX_ENDS - 1 && cutOff === 0) {
          cutOff += 1;
          response.writeHead(504, { 'x-attempt-id': run.requestId, 'x-server-seal': 'seal' }).end();
          return;
        }
        ends += 1;
        runInBackground(backendServer.close());
      }),
    );
    await sendCrashing(12);
    expect(cutOff).toBe(1);
    expect(ends).toBeLessThanOrEqual(MAX_ENDS);
  }, 20_000);

  it('should be blocked by a node that was restarted after the ends', async () => {
    await sendCrashing(4);
    const endsBefore = ends;
    const [front] = fronts as [FleetHost];
    front.sidecar.close();
    const restarted = await fleet.restartNode(front);
    await fleet.waitUntilServed(restarted, SERVICE);
    fronts = [restarted];
    await sendCrashing(6);
    expect(ends).toBe(endsBefore);
  }, 20_000);
});

describe('request under which backend servers ended before all nodes were restarted', () => {
  it('should stay blocked by what the hosts have announced', async () => {
    await sendCrashing(6);
    const endsBefore = ends;
    // The announcements must have been written to the store.
    await fleet.clock.sleep(500);
    const before = [...fleet.hosts];
    before.forEach(({ sidecar }) => sidecar.close());
    const restarted = await Promise.all(before.map((host) => fleet.restartNode(host)));
    fronts = restarted.slice(0, fronts.length);
    await Promise.all(fronts.map((front) => fleet.waitUntil(() => front.sidecar.ready)));
    const running = restarted.find(({ name }) => name === `b${BACKEND_SERVERS - 1}`) as FleetHost;
    await running.sidecar.acceptHeartbeat({ ...running.heartbeat, sequence: 2 });
    await fleet.waitUntilServed(fronts[0] as FleetHost, SERVICE);
    const statuses = await sendCrashing(6);
    expect(ends).toBe(endsBefore);
    expect(statuses).toEqual(Array(6).fill(503));
  }, 20_000);
});

describe('request that runs when backend servers end for other reasons', () => {
  it('should be sent again, and later requests with its content too', async () => {
    const [first, second] = servers as [FleetHost, FleetHost];
    const requests = Array.from({ length: 12 }, (_, index) => `letter ${index}`);
    // Holds requests until the backend server ends.
    [first, second].forEach(({ backendServer }) => backendServer.setHandler(() => undefined));
    const answers = requests.map((body) => {
      const front = fronts[requests.indexOf(body) % fronts.length] as FleetHost;
      return fleet.send(front, SERVICE, body).answer;
    });
    await fleet.waitUntil(() => first.backendServer.runs.length > 1);
    await Promise.all([first, second].map(({ backendServer }) => backendServer.close()));
    expect((await Promise.all(answers)).map(({ status }) => status)).toEqual(Array(12).fill(200));
    const again = requests.map((body) => fleet.send(fronts[0] as FleetHost, SERVICE, body).answer);
    expect((await Promise.all(again)).map(({ status }) => status)).toEqual(Array(12).fill(200));
  }, 20_000);
});
