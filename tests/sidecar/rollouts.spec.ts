import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { FleetHost } from '../support/sidecarFleet.js';
import { SidecarFleet } from '../support/sidecarFleet.js';

const DURATION_MS = 6_000;
const REQUEST_INTERVAL_MS = 12;
const HOSTS_TOPIC = 'keyed.lentillb-hosts';

let fleet: SidecarFleet;
let front: FleetHost;
let counts: Record<string, number>;

async function addVersion(name: string, version: string, startedAtMs: number): Promise<FleetHost> {
  const host = await fleet.addHost(name, 'letters', false);
  await host.sidecar.acceptHeartbeat({ ...host.heartbeat, startedAtMs, version });
  host.backendServer.setHandler((response, { requestId }) => {
    counts[version] = (counts[version] ?? 0) + 1;
    response.writeHead(200, { 'x-attempt-id': requestId, 'x-server-seal': 's' });
    response.end('x');
  });
  return host;
}

function order(targetVersion: string): void {
  const record = {
    service: 'letters',
    'target-version': targetVersion,
    duration: `${DURATION_MS}ms`,
  };
  fleet.store.write('keyed.op', 'rollout/letters', JSON.stringify(record));
}

function status(): unknown {
  return JSON.parse(fleet.store.newestValue('keyed.status', 'rollout/letters') ?? 'null');
}

/** Returns the state of the backend server of a host as its node announced it in the store. */
function announcedState(host: string): string | undefined {
  const value = fleet.store.newestValue(HOSTS_TOPIC, host);
  return value === undefined ? undefined : JSON.parse(value).backendServer?.state;
}

async function sendUntil(endMs: number): Promise<readonly number[]> {
  const answers: Promise<{ readonly status: number }>[] = [];
  while (fleet.clock.monotonicMs() < endMs) {
    answers.push(fleet.send(front, 'letters').answer);
    await fleet.clock.sleep(REQUEST_INTERVAL_MS);
  }
  return (await Promise.all(answers)).map((answer) => answer.status);
}

beforeEach(async () => {
  counts = {};
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
  front = await fleet.addHost('front', 'pages');
  await addVersion('old-1', 'v1', 1_000);
  await addVersion('old-2', 'v1', 1_000);
  await fleet.waitUntilServed(front, 'letters');
  await addVersion('new-1', 'v2', 2_000);
  await addVersion('new-2', 'v2', 2_000);
});

afterEach(() => fleet.close());

// Guards against parts that work alone and are not connected in a node.
describe('nodes with two versions of a service', () => {
  it('should send no request to the later one without a rollout order', async () => {
    await sendUntil(fleet.clock.monotonicMs() + 1_500);
    expect(Object.keys(counts)).toEqual(['v1']);
    expect(status()).toBe(null);
  });

  it('should complete a rollout', async () => {
    order('v2');
    const startMs = fleet.clock.monotonicMs();
    const answers = await sendUntil(startMs + DURATION_MS + 1_000);
    expect(status()).toEqual({ state: 'completed', 'target-version': 'v2' });
    expect(answers.filter((one) => one !== 200)).toEqual([]);
    counts = {};
    await sendUntil(fleet.clock.monotonicMs() + 300);
    expect(Object.keys(counts)).toEqual(['v2']);
  });

  // Guards against hosts that stay members for good, since nobody says that they have left.
  it.each([
    ['leaving', true],
    ['ready', false],
  ])(
    'should announce a backend server as %s on a stop, if it has ended: %s',
    async (state, hasEnded) => {
      const [old] = fleet.hosts.filter(({ name }) => name === 'old-1');
      await fleet.waitUntil(() => announcedState('old-1') === 'ready');
      if (hasEnded) {
        await old!.backendServer.close();
      }
      await old!.sidecar.stop();
      expect(announcedState('old-1')).toBe(state);
    },
  );
});
