import { LogServer, MemoryLog, SampleBackendServer } from '@lentillb/standins';
import { AdminClient, NodeProcess } from '@lentillb/cli';
import { SystemClock } from 'lentillb';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { RequestOutcome } from '../support/loadGenerator.js';
import { LoadGenerator } from '../support/loadGenerator.js';
import { waitFor } from '../support/testNode.js';

const ZONES = ['zone-a', 'zone-b'];
const TEST_TIMEOUT_MS = 90_000;
const WARM_UP_MS = 500;
const DEADLINE_MS = 3_000;
const RULES = `service pages port any slots 8 connections 32 ramp 0s drain 5s # Test: reading
service orders port any slots 8 connections 32 ramp 0s drain 5s # Test: writing
route GET /pages/** to pages within 3s repeat priority normal # Test: reading may be repeated
route POST /orders to orders within 3s once priority high # Test: placed at most once
retry pages attempts 3 budget 50% # Test: reading survives
`;

const clock = new SystemClock();

/** The processes of one host. */
interface HostProcesses {
  node: NodeProcess;
  servers: SampleBackendServer[];
}

let log: MemoryLog;
let logServer: LogServer;
let fleet: HostProcesses[];
const allServers: SampleBackendServer[] = [];

async function startNode(index: number, restarts = 0): Promise<NodeProcess> {
  return NodeProcess.start({
    host: `host-${index}`,
    zone: ZONES[index % ZONES.length] as string,
    logUrl: logServer.url,
    flags: ['--seed', String(index + 1 + restarts * 100), '--lease-ms', '1500'],
  });
}

async function startServers(node: NodeProcess): Promise<SampleBackendServer[]> {
  const servers = ['pages', 'orders'].map(
    (service) =>
      new SampleBackendServer({
        clock,
        id: `${service}-${node.host}`,
        service,
        slots: 8,
        localPort: node.ports.localPort,
        delayMs: 5,
      }),
  );
  await Promise.all(servers.map((server) => server.start()));
  allServers.push(...servers);
  return servers;
}

function createClient(index: number): AdminClient {
  return new AdminClient(fleet[index]?.node.adminUrl ?? '', 5_000);
}

async function waitForHosts(count: number): Promise<void> {
  await waitFor(async () => {
    const statuses = await Promise.all(fleet.map((_, index) => createClient(index).status()));
    return statuses.every((status) => status.isOk() && status.value.hosts === count);
  }, `${count} hosts to be known to every node`);
}

/** Returns how often a request ran on all backend servers, including stopped ones. */
function countRuns(requestId: string): number {
  return allServers.reduce((total, server) => total + (server.runs.get(requestId) ?? 0), 0);
}

/** Returns the requests whose outcome, as their caller received it, contradicts their runs. */
function findMismatches(outcomes: readonly RequestOutcome[]): readonly string[] {
  return outcomes.flatMap(({ requestId, once, outcome, detail }) => {
    const runs = countRuns(requestId);
    const mismatches = [
      once && runs > 1 ? `ran ${runs} times` : '',
      outcome === 'not-run' && runs > 0 ? 'reported as not run, but ran' : '',
      outcome === 'answered' && runs === 0 ? 'answered, but never ran' : '',
    ].filter((mismatch) => mismatch !== '');
    return mismatches.map((mismatch) => `${requestId}: ${mismatch} (${outcome}: ${detail})`);
  });
}

function callUrls(): readonly string[] {
  return fleet.map(({ node }) => node.callUrl);
}

beforeEach(async () => {
  log = new MemoryLog({ clock, retentionMs: 3_600_000, appendsPerSecond: 100 });
  logServer = new LogServer(log, clock);
  await logServer.listen();
  allServers.length = 0;
  fleet = await Promise.all(
    [0, 1, 2, 3].map(async (index) => {
      const node = await startNode(index);
      return { node, servers: await startServers(node) };
    }),
  );
  await waitForHosts(4);
  const published = await createClient(0).publish({
    publishId: 'p',
    base: 0,
    author: 'test',
    text: RULES,
    timeoutMs: 5_000,
  });
  expect(published.unwrap().result).toBe('accepted');
  await waitFor(async () => {
    const statuses = await Promise.all(fleet.map((_, index) => createClient(index).status()));
    return statuses.every((status) => status.unwrap().version === 1);
  }, 'version 1 to be in force on every node');
}, TEST_TIMEOUT_MS);

afterEach(async () => {
  allServers.forEach((server) => server.kill());
  await Promise.all(fleet.map(({ node }) => node.kill()));
  await logServer.close();
}, TEST_TIMEOUT_MS);

describe('a node process that is told to stop more than once', () => {
  it(
    'should complete its planned stop',
    async () => {
      const node = fleet[0]?.node as NodeProcess;
      const stopped = node.stop();
      await clock.sleep(100);
      node.signal('SIGTERM');
      node.signal('SIGINT');
      expect(await stopped).toBe(0);
    },
    TEST_TIMEOUT_MS,
  );
});

describe('node processes under load', () => {
  it(
    'should answer every call and run none twice while all nodes and backend servers are restarted',
    async () => {
      const load = new LoadGenerator(callUrls);
      const running = load.run();
      await clock.sleep(WARM_UP_MS);
      for (const [index, processes] of fleet.entries()) {
        await Promise.all(processes.servers.map((server) => server.stop()));
        const code = await processes.node.stop();
        expect(code).toBe(0);
        processes.node = await startNode(index, 1);
        processes.servers = await startServers(processes.node);
        await waitForHosts(4);
      }
      load.stop();
      await running;
      const failed = load.outcomes.filter(({ outcome }) => outcome !== 'answered');
      expect(failed).toEqual([]);
      expect(findMismatches(load.outcomes)).toEqual([]);
      expect(load.outcomes.length).toBeGreaterThan(500);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'should run no order twice and report true outcomes while nodes and backend servers are killed',
    async () => {
      const load = new LoadGenerator(callUrls);
      const running = load.run();
      await clock.sleep(WARM_UP_MS);
      for (const index of [1, 2]) {
        const processes = fleet[index] as HostProcesses;
        processes.servers[1]?.kill();
        await clock.sleep(WARM_UP_MS);
        await processes.node.kill();
        processes.servers.forEach((server) => server.kill());
        await clock.sleep(WARM_UP_MS);
        processes.node = await startNode(index, 1);
        processes.servers = await startServers(processes.node);
        await waitForHosts(4);
      }
      load.stop();
      await running;
      expect(findMismatches(load.outcomes)).toEqual([]);
      expect(load.outcomes.length).toBeGreaterThan(200);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'should run no order twice and report true outcomes while a node is frozen and resumed',
    async () => {
      const load = new LoadGenerator(() => callUrls().filter((_, index) => index !== 1));
      const running = load.run();
      await clock.sleep(WARM_UP_MS);
      fleet[1]?.node.signal('SIGSTOP');
      await clock.sleep(6_000);
      fleet[1]?.node.signal('SIGCONT');
      await waitForHosts(4);
      // Calls sent while the node was frozen end by their deadline.
      await clock.sleep(DEADLINE_MS + WARM_UP_MS);
      load.stop();
      await running;
      expect(findMismatches(load.outcomes)).toEqual([]);
      const lastOutcomes = load.outcomes.slice(-50);
      expect(lastOutcomes.every(({ outcome }) => outcome === 'answered')).toBe(true);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'should answer on from what it holds while the log is away, and publish when it is back',
    async () => {
      const load = new LoadGenerator(callUrls);
      const running = load.run();
      log.faults.outage = true;
      log.wakeReaders();
      await clock.sleep(2_000);
      const during = await createClient(2).publish({
        publishId: 'during',
        base: 1,
        author: 'test',
        text: `${RULES}# during\n`,
        timeoutMs: 500,
      });
      log.faults.outage = false;
      const after = await createClient(2).publish({
        publishId: 'after',
        base: 1,
        author: 'test',
        text: `${RULES}# after\n`,
        timeoutMs: 8_000,
      });
      load.stop();
      await running;
      expect(during.unwrap().result).toBe('refused');
      expect(after.unwrap()).toMatchObject({ result: 'accepted', version: 2 });
      expect(load.outcomes.filter(({ outcome }) => outcome !== 'answered')).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );
});
