import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { wireHeaders } from '@lentillb/platform';
import { SystemClock } from 'lentillb';
import type { Cancellation } from 'lentillb/calls/cancellation.js';
import { MemoryBudget } from 'lentillb/memory/memoryBudget.js';
import { MemoryUse } from 'lentillb/memory/memoryUse.js';
import { CallerListener } from 'lentillb/serving/callerListener.js';
import type { EntryAnswer } from 'lentillb/serving/entry.js';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createCallerPresence } from '../support/callerPresence.js';
import { freeAddress } from '../support/freeAddress.js';
import { openListener } from '../support/openListener.js';

const REQUESTS = 5;
const LONG_BODY_BYTES = 200_000;
const clock = new SystemClock();

let listener: CallerListener;
let memory: MemoryBudget;
let caller: Socket;
let cancellations: Cancellation[];
let settle: (() => void)[];

function answerOf(bytes: number): EntryAnswer {
  return { status: 200, headers: {}, body: Buffer.alloc(bytes) };
}

beforeEach(async () => {
  cancellations = [];
  settle = [];
  memory = new MemoryBudget(clock);
  listener = new CallerListener(
    clock,
    createCallerPresence(clock),
    ({ cancellation }) => {
      cancellations.push(cancellation);
      return new Promise((resolve) => {
        settle.push(() => resolve(answerOf(LONG_BODY_BYTES)));
      });
    },
    { requestIdName: wireHeaders.requestId, memory },
  );
  const address = await freeAddress();
  await openListener(listener.at('callers', address));
  caller = connect(parseAddress(address));
  caller.on('error', () => undefined);
  await once(caller, 'connect');
  caller.write('GET / HTTP/1.1\r\nhost: a.example\r\n\r\n'.repeat(REQUESTS));
  await expect.poll(() => cancellations.length).toBe(REQUESTS);
});

afterEach(() => listener.close());

describe('requests that wait behind another one when their connection is reset', () => {
  it('should not run on without a caller', async () => {
    caller.resetAndDestroy();
    await expect
      .poll(() => cancellations.filter(({ reason }) => reason === 'caller-gone').length)
      .toBe(REQUESTS);
  });

  it('should not count as in flight for ever', async () => {
    caller.resetAndDestroy();
    await expect.poll(() => cancellations[0]?.reason).toBe('caller-gone');
    settle.forEach((answer) => answer());
    await expect.poll(() => listener.inFlight).toBe(0);
  });

  it('should not hold the memory of their answers for ever', async () => {
    settle.slice(1).forEach((answer) => answer());
    await expect.poll(() => memory.bytesOf(MemoryUse.Answers)).toBeGreaterThan(0);
    caller.resetAndDestroy();
    await expect.poll(() => memory.bytesOf(MemoryUse.Answers)).toBe(0);
  });
});
