import type { Readable } from 'node:stream';
import { SystemClock } from 'lentillb';
import { HeadLimitedClient } from 'lentillb/calls/headLimitedClient.js';
import { Cancellation } from 'lentillb/calls/cancellation.js';
import { exchange } from 'lentillb/calls/httpExchange.js';
import { Pool } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';
import { endlessAnswers, EndlessServer } from '../support/endlessServer.js';

const MAX_WAIT_MS = 1_500;
const clock = new SystemClock();

let server: EndlessServer | undefined;
let pool: Pool | undefined;

/**
 * Responses whose head never ends. Excludes endless bodies, which are streamed to the receiver and
 * end only when it stops reading.
 */
const endlessHeadCases = Object.entries(endlessAnswers).filter(
  ([title]) => !/body|chunk|trailers/.test(title),
);

afterEach(async () => {
  server?.close();
  await pool?.destroy();
});

async function sendRequest(origin: string): ReturnType<typeof exchange> {
  pool = new Pool(origin, {
    connections: 1,
    factory: (target, options) => new HeadLimitedClient(target, options),
  });
  return exchange(pool, {
    origin,
    method: 'GET',
    target: '/',
    headers: { host: 'a.example' },
    body: undefined,
    cancellation: new Cancellation(),
    toGate: false,
  });
}

describe('endless response from a server, received by the HTTP client of calls', () => {
  it.each(endlessHeadCases)('should be aborted long before the deadline: %s', async (_, answer) => {
    server = new EndlessServer(answer);
    const address = await server.listen();
    const result = await Promise.race([sendRequest(`http://${address}`), clock.sleep(MAX_WAIT_MS)]);
    expect(result?.isErr()).toBe(true);
    await clock.sleep(100);
    expect(server.openResponses).toBe(0);
  });

  it('should read no more of an endless body than its receiver does', async () => {
    server = new EndlessServer(endlessAnswers['a body of a huge length']!);
    const address = await server.listen();
    const answer = (await sendRequest(`http://${address}`)).unwrap();
    await clock.sleep(300);
    const { sentBytes } = server;
    await clock.sleep(300);
    expect(server.sentBytes - sentBytes).toBe(0);
    (answer.body as Readable).on('error', () => undefined).destroy();
    await clock.sleep(100);
    expect(server.openResponses).toBe(0);
  });
});
