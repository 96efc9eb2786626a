import { wireHeaders } from '@lentillb/platform';
import { SystemClock } from 'lentillb';
import { CallerListener } from 'lentillb/serving/callerListener.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createCallerPresence } from '../support/callerPresence.js';
import { blockEventLoop } from '../support/blockEventLoop.js';
import { freeAddress } from '../support/freeAddress.js';
import { openListener } from '../support/openListener.js';
import { RawConnection } from '../support/rawConnection.js';

const IDLE_MS = 300;
/** Longer than the idle time and the time that Node.js adds to it. */
const PAUSE_MS = IDLE_MS + 1_200;
const REQUEST = { target: '/', headers: { host: 'a.example' } };

const clock = new SystemClock();
let listener: CallerListener;
let connection: RawConnection;
let served: number;

beforeEach(async () => {
  served = 0;
  const serve = () => {
    served += 1;
    return Promise.resolve({ status: 200, headers: {}, body: Buffer.from('ran') });
  };
  listener = new CallerListener(clock, createCallerPresence(clock), serve, {
    requestIdName: wireHeaders.requestId,
    idleMs: IDLE_MS,
  });
  const address = await freeAddress();
  await openListener(listener.at('callers', address));
  connection = await RawConnection.open(address);
  connection.write(REQUEST);
  await expect.poll(() => served).toBe(1);
  await expect.poll(() => connection.receivedText).toContain('ran');
});

afterEach(() => {
  connection.close();
  listener.close();
});

describe('an idle connection', () => {
  it('should not be closed before a request that arrived in time on it has been read', async () => {
    connection.write(REQUEST);
    // The request is sent, but not read before the idle time is over.
    blockEventLoop(PAUSE_MS);
    await expect.poll(() => served).toBe(2);
  });

  it('should be closed once it has been idle for its time', async () => {
    const startedMs = clock.monotonicMs();
    await expect.poll(() => connection.isClosed, { timeout: 5_000 }).toBe(true);
    expect(clock.monotonicMs() - startedMs).toBeGreaterThan(IDLE_MS / 2);
    expect(served).toBe(1);
  });
});
