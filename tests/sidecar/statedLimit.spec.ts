import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

const SERVICE = 'pages';
const LIMIT_PER_SECOND = 20;
/** How far the requests of any second may exceed the limit, and by how many more. */
const MAX_EXCESS_FACTOR = 1.5;
const MAX_EXCESS_REQUESTS = 5;
const LOAD_PER_SECOND = 100;
const MS_PER_SECOND = 1_000;

let fleet: SidecarFleet;
let hosts: FleetHost[];
let arrivals: number[];

/** Lets the backend server of the first host state a limit, and records when requests arrive. */
function stateLimit(host: FleetHost): void {
  host.backendServer.setHandler((response, { requestId }) => {
    arrivals.push(fleet.clock.monotonicMs());
    response.writeHead(200, {
      'x-attempt-id': requestId,
      'x-server-seal': 'seal',
      'server-limit': `${LIMIT_PER_SECOND}`,
    });
    response.end();
  });
}

/** Sends requests from all hosts in turn at a constant rate, and returns how many got status 200. */
async function sendLoad(durationMs: number): Promise<number> {
  const answers: Promise<number>[] = [];
  const startedMs = fleet.clock.monotonicMs();
  while (fleet.clock.monotonicMs() - startedMs < durationMs) {
    const host = hosts[answers.length % hosts.length] as FleetHost;
    answers.push(fleet.send(host, SERVICE).answer.then(({ status }) => status));
    await fleet.clock.sleep(MS_PER_SECOND / LOAD_PER_SECOND);
  }
  const statuses = await Promise.all(answers);
  return statuses.filter((status) => status === 200).length;
}

/** Returns the largest number of requests that arrived within one second. */
function largestSecond(): number {
  return Math.max(
    ...arrivals.map(
      (endMs) => arrivals.filter((ms) => ms <= endMs && ms > endMs - MS_PER_SECOND).length,
    ),
  );
}

beforeEach(async () => {
  arrivals = [];
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
  hosts = [await fleet.addHost('h1', SERVICE), await fleet.addHost('h2', 'letters')];
  await Promise.all(hosts.map((host) => fleet.waitUntilServed(host, SERVICE)));
});

afterEach(() => fleet.close());

describe('backend server that states a request limit', () => {
  it('should not get more requests than its limit allows, from all hosts together', async () => {
    const [limited] = hosts as [FleetHost];
    stateLimit(limited);
    await sendLoad(500);
    arrivals = [];
    await sendLoad(2_500);
    expect(largestSecond()).toBeLessThanOrEqual(
      LIMIT_PER_SECOND * MAX_EXCESS_FACTOR + MAX_EXCESS_REQUESTS,
    );
  });
});
