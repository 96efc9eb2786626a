import { wireHeaders } from '@lentillb/platform';
import { SystemClock } from 'lentillb';
import { CallerListener } from 'lentillb/serving/callerListener.js';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { createCallerPresence } from '../support/callerPresence.js';
import { freeAddress } from '../support/freeAddress.js';
import { openListener } from '../support/openListener.js';
import { RawConnection } from '../support/rawConnection.js';

const CONNECTIONS = 60;
const REQUEST = { target: '/', headers: { host: 'a.example' } };

function countAnswers(connections: readonly RawConnection[]): number {
  return connections.reduce(
    (sum, { receivedText }) => sum + receivedText.split('HTTP/1.1 200').length - 1,
    0,
  );
}

let clock: SystemClock;
let listener: CallerListener;
let address: string;
let connections: readonly RawConnection[];

async function waitForAnswers(count: number): Promise<void> {
  const endMs = clock.monotonicMs() + 1_000;
  while (countAnswers(connections) < count && clock.monotonicMs() < endMs) {
    await clock.sleep(5);
  }
}

beforeEach(async () => {
  clock = new SystemClock();
  listener = new CallerListener(
    clock,
    createCallerPresence(clock),
    () => Promise.resolve({ status: 200, headers: {}, body: Buffer.from('ran') }),
    { requestIdName: wireHeaders.requestId },
  );
  address = await freeAddress();
  await openListener(listener.at('callers', address));
  connections = await Promise.all(
    Array.from({ length: CONNECTIONS }, () => RawConnection.open(address)),
  );
});

afterEach(() => {
  connections.forEach((connection) => connection.close());
  listener.close();
});

describe('a planned stop', () => {
  it('should answer requests that had arrived on kept connections', async () => {
    connections.forEach((connection) => connection.write(REQUEST));
    await waitForAnswers(CONNECTIONS);
    connections.forEach((connection) => connection.write(REQUEST));
    await listener.stopGracefully();
    await waitForAnswers(2 * CONNECTIONS);
    expect(countAnswers(connections)).toBe(2 * CONNECTIONS);
  });

  it('should answer requests on connections that waited to be accepted', async () => {
    connections.forEach((connection) => connection.write(REQUEST));
    await listener.stopGracefully();
    await waitForAnswers(CONNECTIONS);
    expect(countAnswers(connections)).toBe(CONNECTIONS);
  });

  it('should accept no connections afterwards', async () => {
    await listener.stopGracefully();
    await expect(RawConnection.open(address)).rejects.toThrow('ECONNREFUSED');
  });
});
