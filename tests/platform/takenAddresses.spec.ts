import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer } from 'node:net';
import { KeyedLogServer, respondSuccessfully, ScriptedBackendServer } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { call, until } from '../support/nodeProcess.js';
import type {
  NodeAddresses,
  NodeProcess,
  ProgramCall,
  ProgramHost,
} from '../support/nodeProcess.js';
import { freeAddresses, NodeProgram, postbagConfiguration } from '../support/nodeProgram.js';

const clock = new SystemClock();
const HOLD_MS = 800;
const TEST_TIMEOUT_MS = 60_000;

let program: NodeProgram;
let store: KeyedLogServer;
let backendServer: ScriptedBackendServer;
let host: ProgramHost;
let releases: (() => void)[];

async function holdTcp(address: string): Promise<() => void> {
  const holder = createServer((socket) => socket.destroy());
  const { host: ip, port } = parseAddress(address);
  await once(holder.listen(port, ip), 'listening');
  return () => holder.close();
}

async function holdUdp(address: string): Promise<() => void> {
  const holder = createSocket('udp4');
  const { host: ip, port } = parseAddress(address);
  await once(holder.bind(port, ip), 'listening');
  let isHeld = true;
  return () => {
    if (isHeld) {
      isHeld = false;
      holder.close();
    }
  };
}

async function hold(name: keyof NodeAddresses, protocol: string): Promise<() => void> {
  const release = await (protocol === 'udp' ? holdUdp : holdTcp)(host.addresses[name]);
  releases.push(release);
  return release;
}

function heartbeat(): ProgramCall {
  const body = {
    service: 'postbag',
    address: backendServer.address,
    zone: 'a',
    version: 'v1',
    capacity: 2,
    state: 'ready',
    'warmup-left': '0ms',
    sequence: 1,
    born: 1_000,
  };
  return { method: 'PUT', target: `/instances/${backendServer.id}`, body: JSON.stringify(body) };
}

function letter(id: string): ProgramCall {
  const headers = { host: 'letters.example', 'x-attempt-id': id, 'x-deadline-ms': '5000' };
  return { method: 'POST', target: '/a/b', headers, body: 'dear editor' };
}

async function serve(node: NodeProcess): Promise<void> {
  await node.until(async () => (await node.readiness()) === 200);
  await node.until(async () => (await call(host.addresses['control-plane'], heartbeat())) === 200);
  let count = 0;
  await node.until(async () => {
    count += 1;
    return (await call(host.addresses.outbound, letter(`serve-${count}`))) === 200;
  });
}

beforeAll(async () => {
  program = await NodeProgram.build();
});

afterAll(() => program.remove());

beforeEach(async () => {
  releases = [];
  store = new KeyedLogServer();
  await store.listen();
  store.write('keyed.op', 'config', postbagConfiguration);
  backendServer = new ScriptedBackendServer('i-1');
  await backendServer.listen();
  host = {
    addresses: await freeAddresses(),
    backendServerAddress: backendServer.address,
    storeAddress: store.address,
    stopTimeout: '4s',
  };
});

afterEach(async () => {
  releases.forEach((release) => release());
  await program.endAll();
  await store.close();
  await backendServer.close();
});

describe('a node whose address is taken', () => {
  it.each([
    ['inbound', 'tcp'],
    ['outbound', 'tcp'],
    ['ready', 'tcp'],
    ['control-plane', 'tcp'],
    ['peer', 'tcp'],
    ['peer', 'udp'],
  ] as const)(
    'should not end or wait for ever when %s (%s) is taken at its start',
    async (name, protocol) => {
      const release = await hold(name, protocol);
      const node = await program.start(host);
      const address = host.addresses[name];
      await node.until(() => node.linesOf('address-unavailable').length > 0);
      if (name !== 'ready') {
        await node.until(async () => (await node.readiness()) === 503);
      }
      if (name !== 'control-plane') {
        await node.until(
          async () => (await call(host.addresses['control-plane'], heartbeat())) === 503,
        );
      }
      if (name !== 'outbound') {
        await node.until(
          async () => (await call(host.addresses.outbound, letter('early'))) === 503,
        );
      }
      await clock.sleep(HOLD_MS);
      expect(node.end).toBeUndefined();
      expect(node.linesOf('started')).toEqual([]);
      release();
      await serve(node);
      expect(node.linesOf('address-unavailable')[0]).toMatchObject({ address, code: 'EADDRINUSE' });
      expect(node.linesOf('address-opened')).toMatchObject([{ address }]);
    },
    TEST_TIMEOUT_MS,
  );

  it.each([
    ['outbound', 'tcp'],
    ['peer', 'udp'],
  ] as const)(
    'should not run on without serving when %s (%s) stays taken',
    async (name, protocol) => {
      host = { ...host, stopTimeout: '1ms' };
      await hold(name, protocol);
      const node = await program.start(host);
      await node.until(() => node.end !== undefined);
      expect(node.end).toBe(71);
      expect(node.output.trimEnd().split('\n').at(-1)).toContain(host.addresses[name]);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'should not go on with its attempts when it is told to stop',
    async () => {
      await hold('inbound', 'tcp');
      const node = await program.start(host);
      await node.until(() => node.linesOf('address-unavailable').length > 0);
      node.kill('SIGTERM');
      await node.until(() => node.end !== undefined);
      expect(node.end).toBe(0);
    },
    TEST_TIMEOUT_MS,
  );
});

describe('a node that starts while the earlier process of its host still ends', () => {
  it(
    'should not serve beside the earlier process, and should serve after its end',
    async () => {
      const earlier = await program.start(host);
      await serve(earlier);
      backendServer.setHandler((response, run) => {
        setTimeout(() => respondSuccessfully(response, run), 1_000);
      });
      const runs = backendServer.runs.length;
      const last = call(host.addresses.outbound, letter('last'));
      await until(
        () => backendServer.runs.length > runs,
        () => earlier.output,
      );
      earlier.kill('SIGTERM');
      const later = await program.start(host);
      await earlier.until(() => earlier.end !== undefined || later.linesOf('started').length > 0);
      expect(later.linesOf('started')).toEqual([]);
      expect(earlier.end).toBe(0);
      expect(await last).toBe(200);
      await serve(later);
      expect(later.end).toBeUndefined();
      expect(later.linesOf('address-opened').length).toBeGreaterThanOrEqual(5);
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'should serve after series of restarts that overlap',
    async () => {
      const nodes: NodeProcess[] = [];
      for (let restart = 0; restart < 4; restart += 1) {
        nodes.at(-1)?.kill('SIGTERM');
        const node = await program.start(host);
        nodes.push(node);
        await node.until(() => node.log.length > 0);
      }
      const latest = nodes.at(-1) as NodeProcess;
      await serve(latest);
      expect(nodes.map(({ end }) => end)).toEqual([0, 0, 0, undefined]);
    },
    TEST_TIMEOUT_MS,
  );
});
