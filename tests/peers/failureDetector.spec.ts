import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { SystemClock } from 'lentillb';
import { FailureDetector } from 'lentillb/peers/failureDetector.js';
import { describe, expect, it } from 'vitest';
import { holdEventLoop } from '../support/holdEventLoop.js';
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
        clock.after(2, () => detector.hearFromAddress(peerAddress));
      }
    },
    (host, silent) => changes.push(`${host} ${silent ? 'silent' : 'heard'}`),
  );
  return { pingCount: () => pingCount, changes, clock, detector };
}

describe('link watch', () => {
  it('should tell within half a second that a host with requests under way is silent', async () => {
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

  it('should not take a slow run for a silent host', async () => {
    const { changes, clock, detector } = fixture(() => true);
    detector.watch(HOST, PEER, () => undefined);
    await clock.advance(10_000);
    expect(changes).toEqual([]);
  });

  it('should bear one lost datagram', async () => {
    let number = 0;
    const {
      changes,
      clock,
      detector,
    } = fixture(() => {
      number += 1;
      return number % 2 === 0;
    });
    detector.watch(HOST, PEER, () => undefined);
    await clock.advance(5_000);
    expect(changes).toEqual([]);
  });

  it('should ask nobody without requests under way', async () => {
    const { pingCount, clock, detector } = fixture(() => true);
    const stop = detector.watch(HOST, PEER, () => undefined);
    stop();
    await clock.advance(5_000);
    expect(pingCount()).toBe(0);
  });

  it('should notice a silent host that is back', async () => {
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

  it('should not take a host as silent whose answer lies unread', async () => {
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
    own.on('message', () => detector.hear(HOST));
    const stop = detector.watch(HOST, PEER, () => undefined);
    while (pingCount < 3) {
      await clock.sleep(10);
    }
    other.send('here', own.address().port, '127.0.0.1');
    holdEventLoop(300);
    await clock.sleep(100);
    stop();
    own.close();
    other.close();
    expect(changes).toEqual([]);
  });
});
