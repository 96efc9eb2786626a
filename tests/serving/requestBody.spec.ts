import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';
import { MemoryBudget } from 'lentillb/memory/memoryBudget.js';
import { MemoryUse } from 'lentillb/memory/memoryUse.js';
import { readRequestBody } from 'lentillb/serving/requestBody.js';
import { expect, it } from 'vitest';
import { ManualClock } from '../support/manualClock.js';

const CHUNK_BYTES = 64 * 1024;
const PAUSE_MS = 2_000;

it('should hold no memory of a body that is refused when its sender goes on after a pause', async () => {
  const clock = new ManualClock();
  const memory = new MemoryBudget(clock);
  const request = new PassThrough();
  const body = readRequestBody(request as unknown as IncomingMessage, {
    clock,
    memory,
    maxBytes: memory.roomBytes,
  });
  memory.take(MemoryUse.Answers, memory.roomBytes);
  request.emit('data', Buffer.alloc(memory.shareOf(MemoryUse.Bodies)));
  await clock.advance(PAUSE_MS);
  request.emit('data', Buffer.alloc(CHUNK_BYTES));
  expect((await body).isErr()).toBe(true);
  expect(memory.bytesOf(MemoryUse.Bodies)).toBe(0);
});
