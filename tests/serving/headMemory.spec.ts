import { wireHeaders } from '@lentillb/platform';
import { SystemClock } from 'lentillb';
import { MemoryBudget } from 'lentillb/memory/memoryBudget.js';
import { MemoryUse } from 'lentillb/memory/memoryUse.js';
import { CallerListener } from 'lentillb/serving/callerListener.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createCallerPresence } from '../support/callerPresence.js';
import { freeAddress } from '../support/freeAddress.js';
import { openListener } from '../support/openListener.js';
import { RawConnection } from '../support/rawConnection.js';

const BODY_BYTES = 1_000;
const STALL_TIMEOUT_MS = 1_000;
const HEAD = { host: 'a.example', 'content-length': `${BODY_BYTES}` };

const clock = new SystemClock();
let memory: MemoryBudget;
let listener: CallerListener;
let address: string;
let finish: () => void;
let connections: RawConnection[];

async function open(): Promise<RawConnection> {
  const connection = await RawConnection.open(address);
  connections.push(connection);
  return connection;
}

beforeEach(async () => {
  connections = [];
  memory = new MemoryBudget(clock);
  // All of the share is reserved by other connections, so that heads are counted as they arrive.
  memory.take(MemoryUse.Heads, memory.shareOf(MemoryUse.Heads));
  const finished = new Promise<void>((resolve) => {
    finish = resolve;
  });
  const serve = async () => {
    await finished;
    return { status: 200, headers: {}, body: Buffer.from('ran') };
  };
  listener = new CallerListener(clock, createCallerPresence(clock), serve, {
    requestIdName: wireHeaders.requestId,
    memory,
  });
  address = await freeAddress();
  await openListener(listener.at('callers', address));
});

afterEach(() => {
  finish();
  connections.forEach((connection) => connection.close());
  listener.close();
});

async function sendInParts(connection: RawConnection): Promise<void> {
  connection.write({ method: 'POST', target: '/', headers: HEAD });
  await expect.poll(() => memory.bytesOf(MemoryUse.Requests)).toBeGreaterThan(0);
  connection.writeText('b'.repeat(BODY_BYTES));
  await expect.poll(() => memory.bytesOf(MemoryUse.Bodies)).toBe(BODY_BYTES);
  await clock.sleep(50);
}

describe('the memory for heads', () => {
  it('should not count the last part of a body as a head', async () => {
    await sendInParts(await open());
    expect(memory.bytesOf(MemoryUse.Heads)).toBe(memory.shareOf(MemoryUse.Heads));
  });

  it('should not close the connection of a running request as that of a stalled head', async () => {
    const connection = await open();
    await sendInParts(connection);
    await clock.sleep(2 * STALL_TIMEOUT_MS);
    memory.tryTake(MemoryUse.Heads, memory.roomBytes);
    finish();
    await expect.poll(() => connection.receivedText + connection.isClosed).toContain('ran');
  });

  it('should count a head that begins in the data that ends the request before it', async () => {
    const connection = await open();
    connection.writeText(
      `GET / HTTP/1.1\r\nhost: a\r\n\r\nGET / HTTP/1.1\r\nx: ${'h'.repeat(20_000)}`,
    );
    await clock.sleep(200);
    expect(memory.bytesOf(MemoryUse.Heads)).toBeGreaterThan(
      memory.shareOf(MemoryUse.Heads) + 10_000,
    );
  });
});
