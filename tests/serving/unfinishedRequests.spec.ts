import { wireHeaders } from '@lentillb/platform';
import { SystemClock } from 'lentillb';
import { CallerListener } from 'lentillb/serving/callerListener.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createCallerPresence } from '../support/callerPresence.js';
import { freeAddress } from '../support/freeAddress.js';
import { openListener } from '../support/openListener.js';
import { RawConnection } from '../support/rawConnection.js';

const REQUEST_TIMEOUT_MS = 1_000;
/** The server checks its time limits once a second; the rest is for a busy machine. */
const GIVEN_UP = { timeout: 8_000 };

const clock = new SystemClock();
let listener: CallerListener;
let connection: RawConnection;

beforeEach(async () => {
  const serve = async () => {
    await clock.sleep(REQUEST_TIMEOUT_MS * 3);
    return { status: 200, headers: {}, body: Buffer.from('ran') };
  };
  listener = new CallerListener(clock, createCallerPresence(clock), serve, {
    requestIdName: wireHeaders.requestId,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
  });
  listener.applyLimits({
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000,
    headerTimeoutMs: REQUEST_TIMEOUT_MS,
    idleTimeoutMs: REQUEST_TIMEOUT_MS,
  });
  const address = await freeAddress();
  await openListener(listener.at('callers', address));
  connection = await RawConnection.open(address);
});

afterEach(() => {
  connection.close();
  listener.close();
});

function write(body: string): void {
  const headers = { host: 'a.example', 'content-length': '8' };
  connection.write({ method: 'POST', target: '/', headers, body });
}

describe('a request', () => {
  it('should not be awaited for ever when the rest of its body never comes', async () => {
    write('half');
    await expect.poll(() => connection.isClosed, GIVEN_UP).toBe(true);
    expect(connection.receivedText).toContain('HTTP/1.1 408');
    await expect.poll(() => listener.inFlight).toBe(0);
  });

  it('should not be given up for the time that it takes to run', async () => {
    write('complete');
    await expect.poll(() => connection.receivedText, GIVEN_UP).toContain('ran');
  });

  it('should not get the refusal of bytes that follow it', async () => {
    write('complete');
    connection.write({ method: 'NO METHOD', target: '/', headers: {} });
    await expect.poll(() => connection.isClosed, GIVEN_UP).toBe(true);
    expect(connection.receivedText).toBe('');
  });

  it('should not get the refusal of one that follows it unfinished', async () => {
    write('complete');
    write('half');
    await expect.poll(() => connection.isClosed, GIVEN_UP).toBe(true);
    expect(connection.receivedText).not.toContain('408');
  });
});
