import type { RequestHandler } from '@lentillb/standins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { FleetHost } from '../support/sidecarFleet.js';

const STATUSES = [503, 429, 408];

let fleet: SidecarFleet;
let front: FleetHost;

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
});

afterEach(() => fleet.close());

function answerWith(status: number, fields: Readonly<Record<string, string>> = {}): RequestHandler {
  return (response, { requestId }) => {
    const own = { 'x-attempt-id': requestId, 'x-server-seal': 's', 'retry-after': '0' };
    response.writeHead(status, { ...own, ...fields }).end('busy');
  };
}

/** Starts the host of the callers, and one with a backend server of a service. */
async function start(service: string): Promise<FleetHost> {
  front = await fleet.addHost('front', service === 'pages' ? 'letters' : 'pages');
  const back = await fleet.addHost('back', service);
  await fleet.waitUntilServed(front, service);
  return back;
}

/** Waits until the host of the callers sends requests to another host. */
async function waitUntilUsed({ backendServer }: FleetHost): Promise<void> {
  for (let count = 0; count < 200 && backendServer.runs.length === 0; count += 1) {
    await fleet.send(front, 'pages').answer;
    await fleet.clock.sleep(20);
  }
  expect(backendServer.runs.length).toBeGreaterThan(0);
}

// Guards against callers that send a request again which has run, because its answer says that it has not.
describe('an answer that promises "not run" without stating so', () => {
  it.each(STATUSES)(
    'should reach no caller as status %i where the request has run',
    async (status) => {
      const back = await start('letters');
      back.backendServer.setHandler(answerWith(status));
      for (const host of [front, back]) {
        const runsBefore = back.backendServer.runs.length;
        const answer = await fleet.send(host, 'letters').answer;
        expect(answer.status).toBe(502);
        expect(answer.headers).not.toHaveProperty('x-server-seal');
        expect(answer.headers).not.toHaveProperty('retry-after');
        expect(back.backendServer.runs.length).toBe(runsBefore + 1);
      }
    },
  );

  it.each(STATUSES)(
    'should lead to another attempt where the request may be repeated, status %i',
    async (status) => {
      const back = await start('pages');
      const other = await fleet.addHost('other', 'pages');
      await waitUntilUsed(other);
      back.backendServer.setHandler(answerWith(status));
      const answers = await Promise.all(
        Array.from({ length: 6 }, () => fleet.send(front, 'pages').answer),
      );
      expect(answers.map((answer) => answer.status)).toEqual(Array(6).fill(200));
    },
  );

  it('should reach the caller as 503 where the backend server states that it has not run', async () => {
    const back = await start('letters');
    back.backendServer.setHandler(answerWith(503, { 'x-not-executed': '1' }));
    for (const host of [front, back]) {
      expect((await fleet.send(host, 'letters').answer).status).toBe(503);
    }
  });
});
