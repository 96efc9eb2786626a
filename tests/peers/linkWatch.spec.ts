import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { SystemClock } from 'lentillb';
import { LinkWatch } from 'lentillb/peers/linkWatch.js';
import { describe, expect, it } from 'vitest';
import { holdEventLoop } from '../support/holdEventLoop.js';
import { ManualClock } from '../support/manualClock.js';

const HOST = '10.0.0.2';
const PEER = '10.0.0.2:7600';

function fixture(answers: () => boolean) {
  const clock = new ManualClock();
  const changes: string[] = [];
  let asked = 0;
  const links: LinkWatch = new LinkWatch(
    clock,
    (peerAddress) => {
      asked += 1;
      if (answers()) {
        clock.after(2, () => links.hearFrom(peerAddress));
      }
    },
    (host, silent) => changes.push(`${host} ${silent ? 'silent' : 'heard'}`),
  );
  return { asked: () => asked, changes, clock, links };
}

describe('link watch', () => {
  it('should tell within half a second that a host with requests under way is silent', async () => {
    const { changes, clock, links } = fixture(() => false);
    let told = 0;
    links.watch(HOST, PEER, () => {
      told += 1;
    });
    links.watch(HOST, PEER, () => {
      told += 1;
    });
    await clock.advance(700);
    expect(links.isSilent(HOST)).toBe(true);
    expect(told).toBe(2);
    expect(changes).toEqual([`${HOST} silent`]);
  });

  it('should not take a slow run for a silent host', async () => {
    const { changes, clock, links } = fixture(() => true);
    links.watch(HOST, PEER, () => undefined);
    await clock.advance(10_000);
    expect(changes).toEqual([]);
  });

  it('should bear one lost datagram', async () => {
    let number = 0;
    const { changes, clock, links } = fixture(() => {
      number += 1;
      return number % 2 === 0;
    });
    links.watch(HOST, PEER, () => undefined);
    await clock.advance(5_000);
    expect(changes).toEqual([]);
  });

  it('should ask nobody without requests under way', async () => {
    const { asked, clock, links } = fixture(() => true);
    const stop = links.watch(HOST, PEER, () => undefined);
    stop();
    await clock.advance(5_000);
    expect(asked()).toBe(0);
  });

  it('should notice a silent host that is back', async () => {
    let back = false;
    const { changes, clock, links } = fixture(() => back);
    const stop = links.watch(HOST, PEER, () => undefined);
    await clock.advance(1_000);
    stop();
    back = true;
    await clock.advance(1_000);
    expect(changes).toEqual([`${HOST} silent`, `${HOST} heard`]);
    expect(links.isSilent(HOST)).toBe(false);
  });

  it('should not take a host as silent whose answer lies unread', async () => {
    const clock = new SystemClock();
    const changes: string[] = [];
    const own = createSocket('udp4').bind(0, '127.0.0.1');
    const other = createSocket('udp4').bind(0, '127.0.0.1');
    await Promise.all([once(own, 'listening'), once(other, 'listening')]);
    let asked = 0;
    const links: LinkWatch = new LinkWatch(
      clock,
      () => {
        asked += 1;
      },
      (host, silent) => changes.push(`${host} ${silent ? 'silent' : 'heard'}`),
    );
    own.on('message', () => links.hear(HOST));
    const stop = links.watch(HOST, PEER, () => undefined);
    while (asked < 3) {
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
