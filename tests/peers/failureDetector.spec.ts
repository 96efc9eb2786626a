import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { SystemClock } from 'lentillb';
import { FailureDetector } from 'lentillb/peers/failureDetector.js';
import { describe, expect, it } from 'vitest';
import { blockEventLoop } from '../support/blockEventLoop.js';
import { ManualClock } from '../support/manualClock.js';

const HOST = '10.0.0.2';
const PEER = '10.0.0.2:7600';

function fixture(answers: () => boolean) {
  const clock = new ManualClock();
  const changes: string[] = [];
  let pingCount = 0;
  const detector: FailureDetector = new FailureDetector(
    clock,
    (peerAddress) => {
      pingCount += 1;
      if (answers()) {
        clock.after(2, () => detector.markAddressHeard(peerAddress));
      }
    },
    (host, silent) => changes.push(`${host} ${silent ? 'silent' : 'heard'}`),
  );
  return { pingCount: () => pingCount, changes, clock, detector };
}

describe('failure detector', () => {
  it('should report a silent host with requests in flight within 700 ms', async () => {
    const { changes, clock, detector } = fixture(() => false);
    let notified = 0;
    detector.watch(HOST, PEER, () => {
      notified += 1;
    });
    detector.watch(HOST, PEER, () => {
      notified += 1;
    });
    await clock.advance(700);
    expect(detector.isSilent(HOST)).toBe(true);
    expect(notified).toBe(2);
    expect(changes).toEqual([`${HOST} silent`]);
  });

  it('should not report a host that is slow to run a request but answers pings', async () => {
    const { changes, clock, detector } = fixture(() => true);
    detector.watch(HOST, PEER, () => undefined);
    await clock.advance(10_000);
    expect(changes).toEqual([]);
  });

  it('should tolerate every other datagram being lost', async () => {
    let number = 0;
    const { changes, clock, detector } = fixture(() => {
      number += 1;
      return number % 2 === 0;
    });
    detector.watch(HOST, PEER, () => undefined);
    await clock.advance(5_000);
    expect(changes).toEqual([]);
  });

  it('should not ping hosts without requests in flight', async () => {
    const { pingCount, clock, detector } = fixture(() => true);
    const stop = detector.watch(HOST, PEER, () => undefined);
    stop();
    await clock.advance(5_000);
    expect(pingCount()).toBe(0);
  });

  it('should detect that a silent host is back', async () => {
    let back = false;
    const { changes, clock, detector } = fixture(() => back);
    const stop = detector.watch(HOST, PEER, () => undefined);
    await clock.advance(1_000);
    stop();
    back = true;
    await clock.advance(1_000);
    expect(changes).toEqual([`${HOST} silent`, `${HOST} heard`]);
    expect(detector.isSilent(HOST)).toBe(false);
  });

  it('should not report a host whose answer has arrived but has not been read yet', async () => {
    const clock = new SystemClock();
    const changes: string[] = [];
    const own = createSocket('udp4').bind(0, '127.0.0.1');
    const other = createSocket('udp4').bind(0, '127.0.0.1');
    await Promise.all([once(own, 'listening'), once(other, 'listening')]);
    let pingCount = 0;
    const detector: FailureDetector = new FailureDetector(
      clock,
      () => {
        pingCount += 1;
      },
      (host, silent) => changes.push(`${host} ${silent ? 'silent' : 'heard'}`),
    );
    own.on('message', () => detector.markHeard(HOST));
    const stop = detector.watch(HOST, PEER, () => undefined);
    while (pingCount < 3) {
      await clock.sleep(10);
    }
    other.send('here', own.address().port, '127.0.0.1');
    blockEventLoop(300);
    await clock.sleep(100);
    stop();
    own.close();
    other.close();
    expect(changes).toEqual([]);
  });
});
