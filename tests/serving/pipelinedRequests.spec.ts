import { once } from 'node:events';
import { connect } from 'node:net';
import { parseAddress } from 'lentillb/utils/networkAddress.js';
import { wireHeaders } from '@lentillb/platform';
import { SystemClock } from 'lentillb';
import { CallerListener } from 'lentillb/serving/callerListener.js';
import { expect, it } from 'vitest';
import { createCallerPresence } from '../support/callerPresence.js';
import { freeAddress } from '../support/freeAddress.js';
import { openListener } from '../support/openListener.js';

const REQUESTS = 30;

it('should answer many pipelined requests on one connection without a Node.js warning', async () => {
  const clock = new SystemClock();
  const warnings: Error[] = [];
  const recordWarning = (warning: Error): void => {
    warnings.push(warning);
  };
  process.on('warning', recordWarning);
  const serve = async () => {
    await clock.sleep(50);
    return { status: 200, headers: {}, body: Buffer.from('ran') };
  };
  const options = { requestIdName: wireHeaders.requestId };
  const listener = new CallerListener(clock, createCallerPresence(clock), serve, options);
  const address = await freeAddress();
  await openListener(listener.at('callers', address));
  const caller = connect(parseAddress(address));
  await once(caller, 'connect');
  caller.write('GET / HTTP/1.1\r\nhost: a.example\r\n\r\n'.repeat(REQUESTS));
  let received = '';
  while (received.split('ran').length - 1 < REQUESTS) {
    const [chunk] = (await once(caller, 'data')) as [Buffer];
    received += chunk.toString('latin1');
  }
  caller.destroy();
  listener.close();
  process.off('warning', recordWarning);
  expect(warnings).toEqual([]);
});
