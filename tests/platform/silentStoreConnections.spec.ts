import { LogStore } from '@lentillb/platform';
import { KeyedLogServer, Relay } from '@lentillb/standins';
import { Deadline, SystemClock } from 'lentillb';
import { Topic } from 'lentillb/store/keyedStore.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { freeAddress } from '../support/freeAddress.js';

/** The number of connections that are open when they go silent. */
const CONNECTIONS = 4;
/** The deadline of a call that gets no answer, in milliseconds. */
const DEADLINE_MS = 400;

const clock = new SystemClock();
let server: KeyedLogServer;
let relay: Relay;
let store: LogStore;

async function write(): Promise<boolean> {
  const deadline = Deadline.after(clock, DEADLINE_MS);
  return (await store.write(Topic.Hosts, 'a', Buffer.from('one'), deadline)).isOk();
}

function poll(waitMs: number): ReturnType<LogStore['follow']> {
  return store.follow(Topic.Hosts, 0, waitMs, Deadline.after(clock, waitMs + DEADLINE_MS));
}

/** Leaves several idle connections behind. */
async function openConnections(): Promise<void> {
  await Promise.all(Array.from({ length: CONNECTIONS }, () => poll(50)));
}

beforeEach(async () => {
  server = new KeyedLogServer();
  await server.listen();
  relay = new Relay(clock, () => server.address, 0);
  const address = await freeAddress();
  await relay.listen(address);
  store = new LogStore(clock, address);
});

afterEach(async () => {
  relay.close();
  await server.close();
});

describe('connections to the store that go silent for good', () => {
  it('should cost one call at most', async () => {
    await openConnections();
    relay.silenceOpenConnections();
    await write();
    expect(await write()).toBe(true);
  });

  it('should not be used by a call that begins while a poll on one of them is overdue', async () => {
    await openConnections();
    const overdue = poll(200);
    relay.silenceOpenConnections();
    await clock.sleep(DEADLINE_MS);
    expect(await write()).toBe(true);
    expect((await overdue).isErr()).toBe(true);
  });

  it('should not be used after they were idle for long', async () => {
    await openConnections();
    relay.silenceOpenConnections();
    await clock.sleep(1_200);
    expect(await write()).toBe(true);
  });

  it('should be reused while they answer', async () => {
    await write();
    let opened = 0;
    const { address } = server;
    relay.close();
    relay = new Relay(
      clock,
      () => {
        opened += 1;
        return address;
      },
      0,
    );
    const relayAddress = await freeAddress();
    await relay.listen(relayAddress);
    store = new LogStore(clock, relayAddress);
    for (let count = 0; count < 5; count += 1) {
      expect(await write()).toBe(true);
      await clock.sleep(100);
    }
    expect(opened).toBe(1);
  });
});
