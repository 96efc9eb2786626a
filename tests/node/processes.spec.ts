import { LogServer, MemoryLog, SampleBackendServer } from '@lentillb/standins';
import { AdminClient, NodeProcess } from '@lentillb/cli';
import { SystemClock } from 'lentillb';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { Told } from '../support/load.js';
import { Load } from '../support/load.js';
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

interface Slot {
  node: NodeProcess;
  servers: SampleBackendServer[];
}

let log: MemoryLog;
let logServer: LogServer;
let slots: Slot[];
const everyServer: SampleBackendServer[] = [];

async function startNode(index: number, generation = 0): Promise<NodeProcess> {
  return NodeProcess.start({
    host: `host-${index}`,
    zone: ZONES[index % ZONES.length] as string,
    logUrl: logServer.url,
    flags: ['--seed', String(index + 1 + generation * 100), '--lease-ms', '1500'],
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
  everyServer.push(...servers);
  return servers;
}

function client(index: number): AdminClient {
  return new AdminClient(slots[index]?.node.adminUrl ?? '', 5_000);
}

async function knownEverywhere(count: number): Promise<void> {
  await waitFor(async () => {
    const statuses = await Promise.all(slots.map((_, index) => client(index).status()));
    return statuses.every((status) => status.isOk() && status.value.hosts === count);
  }, `${count} hosts to be known everywhere`);
}

/** How often a request ran, over all backend servers there ever were. */
function runsOf(requestId: string): number {
  return everyServer.reduce((total, server) => total + (server.runs.get(requestId) ?? 0), 0);
}

/** What callers were told, against what ran. */
function findMismatches(told: readonly Told[]): readonly string[] {
  return told.flatMap(({ requestId, once, outcome, detail }) => {
    const runs = runsOf(requestId);
    const faults = [
      once && runs > 1 ? `ran ${runs} times` : '',
      outcome === 'not-run' && runs > 0 ? 'told not run, but ran' : '',
      outcome === 'answered' && runs === 0 ? 'answered, but never ran' : '',
    ].filter((fault) => fault !== '');
    return faults.map((fault) => `${requestId}: ${fault} (${outcome}: ${detail})`);
  });
}

function addresses(): readonly string[] {
  return slots.map(({ node }) => node.callUrl);
}

beforeEach(async () => {
  log = new MemoryLog({ clock, retentionMs: 3_600_000, appendsPerSecond: 100 });
  logServer = new LogServer(log, clock);
  await logServer.listen();
  everyServer.length = 0;
  slots = await Promise.all(
    [0, 1, 2, 3].map(async (index) => {
      const node = await startNode(index);
      return { node, servers: await startServers(node) };
    }),
  );
  await knownEverywhere(4);
  const published = await client(0).publish({
    publishId: 'p',
    base: 0,
    author: 'test',
    text: RULES,
    timeoutMs: 5_000,
  });
  expect(published.unwrap().result).toBe('accepted');
  await waitFor(async () => {
    const statuses = await Promise.all(slots.map((_, index) => client(index).status()));
    return statuses.every((status) => status.unwrap().version === 1);
  }, 'the version to be in force');
}, TEST_TIMEOUT_MS);

afterEach(async () => {
  everyServer.forEach((server) => server.kill());
  await Promise.all(slots.map(({ node }) => node.kill()));
  await logServer.close();
}, TEST_TIMEOUT_MS);

describe('node processes under load', () => {
  it(
    'should fail no call and run none twice while every node and backend server is restarted',
    async () => {
      const load = new Load(addresses);
      const running = load.run();
      await clock.sleep(WARM_UP_MS);
      for (const [index, slot] of slots.entries()) {
        await Promise.all(slot.servers.map((server) => server.stop()));
        const code = await slot.node.stop();
        expect(code).toBe(0);
        slot.node = await startNode(index, 1);
        slot.servers = await startServers(slot.node);
        await knownEverywhere(4);
      }
      load.stop();
      await running;
      const failed = load.told.filter(({ outcome }) => outcome !== 'answered');
      expect(failed).toEqual([]);
      expect(findMismatches(load.told)).toEqual([]);
      expect(load.told.length).toBeGreaterThan(500);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'should run no order twice and tell no lie while nodes and backend servers are killed',
    async () => {
      const load = new Load(addresses);
      const running = load.run();
      await clock.sleep(WARM_UP_MS);
      for (const index of [1, 2]) {
        const slot = slots[index] as Slot;
        slot.servers[1]?.kill();
        await clock.sleep(WARM_UP_MS);
        await slot.node.kill();
        slot.servers.forEach((server) => server.kill());
        await clock.sleep(WARM_UP_MS);
        slot.node = await startNode(index, 1);
        slot.servers = await startServers(slot.node);
        await knownEverywhere(4);
      }
      load.stop();
      await running;
      expect(findMismatches(load.told)).toEqual([]);
      expect(load.told.length).toBeGreaterThan(200);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'should run no order twice and tell no lie while a node is frozen and goes on',
    async () => {
      const load = new Load(() => addresses().filter((_, index) => index !== 1));
      const running = load.run();
      await clock.sleep(WARM_UP_MS);
      slots[1]?.node.signal('SIGSTOP');
      await clock.sleep(6_000);
      slots[1]?.node.signal('SIGCONT');
      await knownEverywhere(4);
      // Calls sent while it was frozen are over after their deadline.
      await clock.sleep(DEADLINE_MS + WARM_UP_MS);
      load.stop();
      await running;
      expect(findMismatches(load.told)).toEqual([]);
      const late = load.told.slice(-50);
      expect(late.every(({ outcome }) => outcome === 'answered')).toBe(true);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'should answer on from what it holds while the log is away, and publish when it is back',
    async () => {
      const load = new Load(addresses);
      const running = load.run();
      log.faults.outage = true;
      log.wakeReaders();
      await clock.sleep(2_000);
      const during = await client(2).publish({
        publishId: 'during',
        base: 1,
        author: 'test',
        text: `${RULES}# during\n`,
        timeoutMs: 500,
      });
      log.faults.outage = false;
      const after = await client(2).publish({
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
      expect(load.told.filter(({ outcome }) => outcome !== 'answered')).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );
});
