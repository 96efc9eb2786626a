import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { KeyedLogServer } from '@lentillb/standins';
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { freeAddresses, NodeProgram, postbagConfiguration } from '../support/nodeProgram.js';
import type { NodeProcess } from '../support/nodeProcess.js';

const TEST_TIMEOUT_MS = 60_000;
const USES = [
  'callers',
  'gossip',
  'heartbeats',
  'other nodes',
  'requests of other nodes',
  'the readiness check',
];

/** Loaded before the program: does something to each of its listeners once it listens. */
const hookOf = (action: string): string => `
  const once = new WeakSet();
  const act = (listener) => {
    if (!once.has(listener)) {
      once.add(listener);
      setTimeout(() => { ${action} }, 500);
    }
  };
  for (const [type, method] of [[require('net').Server, 'listen'], [require('dgram').Socket, 'bind']]) {
    const original = type.prototype[method];
    type.prototype[method] = function (...options) {
      this.once('listening', () => act(this));
      return original.apply(this, options);
    };
  }`;

let program: NodeProgram;
let store: KeyedLogServer;
let folder: string;

async function startWith(action: string): Promise<NodeProcess> {
  const hook = path.join(folder, 'hook.cjs');
  await writeFile(hook, hookOf(action));
  const addresses = await freeAddresses();
  const host = { addresses, storeAddress: store.address, stopTimeout: '4s' };
  return program.start({ ...host, backendServerAddress: '127.0.0.1:9' }, hook);
}

function usesOf(node: NodeProcess, event: string): readonly unknown[] {
  return [...new Set(node.linesOf(event).map(({ use }) => use))].sort();
}

beforeAll(async () => {
  program = await NodeProgram.build();
  folder = await mkdtemp(path.join(tmpdir(), 'lentillb-'));
});

afterAll(async () => {
  await program.remove();
  await rm(folder, { recursive: true });
});

beforeEach(async () => {
  store = new KeyedLogServer();
  await store.listen();
  store.write('keyed.op', 'config', postbagConfiguration);
});

afterEach(async () => {
  await program.endAll();
  await store.close();
});

describe('a listener of a running node', () => {
  it(
    'should not end the node by its errors, or leave them unlogged',
    async () => {
      const error = `Object.assign(new Error('accept ENFILE'), { code: 'ENFILE' })`;
      const node = await startWith(
        `for (let count = 0; count < 3; count += 1) listener.emit('error', ${error});`,
      );
      await node.until(() => usesOf(node, 'address-error').length === USES.length);
      expect(usesOf(node, 'address-error')).toEqual(USES);
      await node.until(async () => (await node.readiness()) === 200);
      expect(node.end).toBeUndefined();
    },
    TEST_TIMEOUT_MS,
  );

  it(
    'should not stay closed when the node did not close it',
    async () => {
      const node = await startWith('listener.close();');
      await node.until(() => usesOf(node, 'address-lost').length === USES.length);
      expect(usesOf(node, 'address-lost')).toEqual(USES);
      await node.until(async () => (await node.readiness()) === 200);
      expect(node.end).toBeUndefined();
    },
    TEST_TIMEOUT_MS,
  );
});
