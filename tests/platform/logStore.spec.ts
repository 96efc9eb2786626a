import { LogStore } from '@lentillb/platform';
import { createServer } from 'node:http';
import { KeyedLogServer, listenOnLoopback, StoreFault } from '@lentillb/standins';
import { Deadline, SystemClock } from 'lentillb';
import { StoreFailureKind, Topic } from 'lentillb/store/keyedStore.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { TransferProgress } from 'lentillb/utils/transferProgress.js';
import { endlessAnswers, EndlessServer } from '../support/endlessServer.js';
import { ScriptedServer, SWITCHING } from '../support/scriptedServer.js';

const clock = new SystemClock();
let server: KeyedLogServer;
let store: LogStore;

function deadlineAfter(durationMs = 1_000): Deadline {
  return Deadline.after(clock, durationMs);
}

beforeEach(async () => {
  server = new KeyedLogServer();
  await server.listen();
  store = new LogStore(clock, server.address);
});

afterEach(() => server.close());

describe('store of the platform', () => {
  it('should write a record and read the newest one of its key', async () => {
    await store.write(Topic.Hosts, 'a', Buffer.from('one'), deadlineAfter());
    const written = await store.write(Topic.Hosts, 'a', Buffer.from('two'), deadlineAfter());
    expect(written.unwrap().offset).toBe(1);
    const { nextOffset: next, records } = (
      await store.readNewest(Topic.Hosts, deadlineAfter())
    ).unwrap();
    expect(next).toBe(2);
    expect(
      records.map(({ key, value }) => `${key} ${Buffer.from(value ?? []).toString()}`),
    ).toEqual(['a two']);
  });

  it('should write a status record only if the topic has not changed since it was read', async () => {
    const { nextOffset } = (await store.readStatus(deadlineAfter())).unwrap();
    const write = (text: string) =>
      store.writeStatus('rollout/a', Buffer.from(text), nextOffset, deadlineAfter());
    expect((await write('one')).isOk()).toBe(true);
    expect((await write('two')).unwrapErr().kind).toBe(StoreFailureKind.Moved);
    expect(server.newestValue('keyed.status', 'rollout/a')).toBe('one');
  });

  it('should follow records as they are written', async () => {
    const following = store.follow(Topic.Operator, 0, 900, deadlineAfter());
    await clock.sleep(20);
    server.write('keyed.op', 'config', '{}');
    const { nextOffset: next, records } = (await following).unwrap();
    expect(next).toBe(1);
    expect(records[0]).toMatchObject({ key: 'config', offset: 0 });
  });

  it('should report that records are no longer retained, and the first one that is', async () => {
    server.write('keyed.op', 'config', '1');
    server.compact('keyed.op');
    const read = await store.follow(Topic.Operator, 0, 0, deadlineAfter());
    expect(read.unwrapErr()).toMatchObject({
      kind: StoreFailureKind.NotRetained,
      firstOffset: 1,
    });
  });

  it('should close the connection of a read that is cancelled', async () => {
    const progress = new TransferProgress(clock);
    const following = store.follow(Topic.Operator, 0, 900, deadlineAfter(), progress);
    await clock.sleep(50);
    progress.cancel();
    expect((await following).unwrapErr().kind).toBe(StoreFailureKind.Unknown);
    await clock.sleep(50);
    expect(server.connections).toBe(0);
  });

  it('should tell how much of an answer has arrived', async () => {
    server.write('keyed.op', 'config', 'x'.repeat(200_000));
    const progress = new TransferProgress(clock);
    await store.follow(Topic.Operator, 0, 0, deadlineAfter(), progress);
    expect(progress.bytes).toBeGreaterThan(200_000);
  });

  it.each([
    [StoreFault.Refuse, StoreFailureKind.NotExecuted],
    [StoreFault.Reset, StoreFailureKind.Unknown],
    [StoreFault.LoseResponse, StoreFailureKind.Unknown],
    [StoreFault.NoResponse, StoreFailureKind.Unknown],
  ])('should report after the store fault %s that a write is %s', async (fault, kind) => {
    server.setFault(fault);
    const written = await store.write(Topic.Hosts, 'a', Buffer.from('one'), deadlineAfter(200));
    expect(written.unwrapErr().kind).toBe(kind);
  });
});

describe('era of the store', () => {
  it.each(['4294967296', '99999999999', '9'.repeat(400)])(
    'should count as not named if it does not fit into a message: %s',
    async (era) => {
      const odd = createServer((_, response) => {
        response.setHeader('store-era', era).end('{"items":[],"end":0}');
      });
      const address = await listenOnLoopback(odd);
      const read = await new LogStore(clock, address).readNewest(Topic.Hosts, deadlineAfter());
      odd.closeAllConnections();
      odd.close();
      expect(read.unwrap().era).toBeUndefined();
    },
  );

  it('should be read from the answers to reads and writes, and from refusals', async () => {
    const written = await store.write(Topic.Hosts, 'a', Buffer.from('one'), deadlineAfter());
    expect(written.unwrap().era).toBe(1);
    server.restoreOlderCopy('keyed.lentillb-hosts', 1);
    await clock.sleep(20);
    expect((await store.readNewest(Topic.Hosts, deadlineAfter())).unwrap().era).toBe(2);
    expect((await store.follow(Topic.Operator, 0, 0, deadlineAfter())).unwrap().era).toBe(2);
    server.setFault(StoreFault.Refuse);
    const refused = await store.readNewest(Topic.Hosts, deadlineAfter());
    expect(refused.unwrapErr()).toMatchObject({ kind: StoreFailureKind.NotExecuted, era: 2 });
  });

  it('should come with the refusal of an offset that an older copy does not have', async () => {
    await store.write(Topic.Hosts, 'a', Buffer.from('one'), deadlineAfter());
    await store.write(Topic.Hosts, 'b', Buffer.from('two'), deadlineAfter());
    server.restoreOlderCopy('keyed.lentillb-hosts', 1);
    await clock.sleep(20);
    const read = await store.follow(Topic.Hosts, 2, 0, deadlineAfter());
    expect(read.unwrapErr()).toMatchObject({ kind: StoreFailureKind.NotRetained, era: 2 });
  });
});

describe('store of the platform with an endless answer', () => {
  it.each(Object.entries(endlessAnswers))('should be aborted: %s', async (_, answer) => {
    const endless = new EndlessServer(answer);
    const client = new LogStore(clock, await endless.listen());
    const startedMs = clock.monotonicMs();
    const read = await client.follow(Topic.Operator, 0, 0, deadlineAfter(5_000));
    expect(read.unwrapErr().kind).toBe(StoreFailureKind.Unknown);
    expect(clock.monotonicMs() - startedMs).toBeLessThan(1_500);
    await clock.sleep(100);
    expect(endless.openResponses).toBe(0);
    endless.close();
  });
});

describe('store of the platform that switches to another protocol', () => {
  it('should not be waited for for ever', async () => {
    const switching = new ScriptedServer((socket) => socket.write(SWITCHING));
    const client = new LogStore(clock, `127.0.0.1:${await switching.listen()}`);
    const calls = [
      client.readNewest(Topic.Hosts, deadlineAfter()),
      client.write(Topic.Hosts, 'a', Buffer.from('one'), deadlineAfter()),
    ];
    const results = await Promise.race([
      Promise.all<{ isErr(): boolean }>(calls),
      clock.sleep(3_000),
    ]);
    switching.close();
    expect(results?.map((result) => result.isErr())).toEqual([true, true]);
  });
});
