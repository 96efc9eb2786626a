import { respondSuccessfully } from '@lentillb/standins';
import type { RequestHandler } from '@lentillb/standins';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SidecarFleet } from '../support/sidecarFleet.js';
import type { CallerResponse, FleetHost } from '../support/sidecarFleet.js';

/** Status lines of answers that no caller may get; each is followed by valid headers and a body. */
const STATUS_LINES = [
  'HTTP/1.1 000 X',
  'HTTP/1.1 000',
  'HTTP/1.1 0',
  'HTTP/1.1 0 X',
  'HTTP/1.1 00 X',
  'HTTP/1.1 099 X',
  'HTTP/1.1 600 X',
  'HTTP/1.1 999 X',
  'HTTP/1.1 1000 X',
  'HTTP/1.1 -01 X',
  'HTTP/1.1  X',
  'HTTP/1.0 000 X',
];
const DEADLINE_MS = 250;
/** Longer than the deadline and the allowance for answers that are in transit then, in milliseconds. */
const LATE_MS = 500;

let fleet: SidecarFleet;
let front: FleetHost;
let back: FleetHost;

beforeEach(async () => {
  fleet = new SidecarFleet();
  await fleet.start();
  fleet.publish();
});

afterEach(() => fleet.close());

/** Starts the host of the callers, and one with a backend server of a service. */
async function start(service: string): Promise<void> {
  front = await fleet.addHost('front', service === 'pages' ? 'letters' : 'pages');
  back = await fleet.addHost('back', service);
  await fleet.waitUntilServed(front, service);
}

function answerText(statusLine: string, requestId: string): string {
  return `${statusLine}\r\nx-attempt-id: ${requestId}\r\nx-server-seal: s\r\ncontent-length: 2\r\n\r\nno`;
}

/** Answers with a status line that HTTP libraries do not write. */
function answerWith(statusLine: string, delayMs = 0): RequestHandler {
  return (response, { requestId }) => {
    const { socket } = response;
    setTimeout(() => socket?.write(answerText(statusLine, requestId), 'latin1'), delayMs);
  };
}

/** Answers with status 200, and at once with another status line on the same connection. */
function answerTwice(statusLine: string): RequestHandler {
  return (response, { requestId }) => {
    const texts = ['HTTP/1.1 200 OK', statusLine].map((line) => answerText(line, requestId));
    response.socket?.write(texts.join(''), 'latin1');
  };
}

/** Sends a request from each host whose answer nobody awaits. */
function sendAndIgnore(): readonly { readonly disconnect: () => void }[] {
  return [back, front].map((host) => {
    const sent = fleet.send(host, 'letters');
    sent.answer.catch(() => undefined);
    return sent;
  });
}

function waitForRuns(count: number): Promise<void> {
  return fleet.waitUntil(() => back.backendServer.runs.length === count);
}

async function sendFromBoth(service: string, deadlineMs?: number): Promise<CallerResponse[]> {
  const own = await fleet.send(back, service, 'own', deadlineMs).answer;
  return [own, await fleet.send(front, service, 'other', deadlineMs).answer];
}

/** Waits until both other hosts send requests to a host. */
async function waitUntilUsed({ backendServer }: FleetHost): Promise<void> {
  for (const host of [front, back]) {
    const runsBefore = backendServer.runs.length;
    for (let count = 0; count < 200 && backendServer.runs.length === runsBefore; count += 1) {
      await fleet.send(host, 'pages').answer;
      await fleet.clock.sleep(20);
    }
    expect(backendServer.runs.length).toBeGreaterThan(runsBefore);
  }
}

/** Checks that the next requests get the answers to them, and not one that was left on a connection. */
async function expectServed(service: string): Promise<void> {
  back.backendServer.setHandler((response, { body, requestId }) => {
    response.writeHead(200, { 'x-attempt-id': requestId, 'x-server-seal': 's' }).end(body);
  });
  const answers = await sendFromBoth(service);
  expect(answers.map(({ body, status }) => [status, body])).toEqual([
    [200, 'own'],
    [200, 'other'],
  ]);
}

// Guards against answers of backend servers in trouble, such as status 000, that reach a caller.
describe('an answer with an invalid status', () => {
  it('should reach no caller, on either call path, and be no reason to run a request again', async () => {
    await start('letters');
    for (const statusLine of STATUS_LINES) {
      const runsBefore = back.backendServer.runs.length;
      back.backendServer.setHandler(answerWith(statusLine));
      const answers = await sendFromBoth('letters');
      expect([statusLine, ...answers.map(({ status }) => status)]).toEqual([statusLine, 502, 502]);
      answers.forEach(({ body, headers }) => {
        expect(body).toBe('');
        expect(headers).not.toHaveProperty('x-server-seal');
      });
      expect(back.backendServer.runs.length).toBe(runsBefore + 2);
    }
    await expectServed('letters');
  });

  it('should lead to another attempt where the request may be repeated', async () => {
    await start('pages');
    const other = await fleet.addHost('other', 'pages');
    await waitUntilUsed(other);
    const firstRuns = new Set<string>();
    for (const statusLine of STATUS_LINES) {
      const answerInvalidly = answerWith(statusLine);
      const handler: RequestHandler = (response, run) => {
        const isFirst = !firstRuns.has(run.requestId);
        firstRuns.add(run.requestId);
        (isFirst ? answerInvalidly : respondSuccessfully)(response, run);
      };
      [back, other].forEach(({ backendServer }) => backendServer.setHandler(handler));
      const statuses = (await sendFromBoth('pages')).map(({ status }) => status);
      expect([statusLine, ...statuses]).toEqual([statusLine, 200, 200]);
    }
    expect(firstRuns.size).toBe(STATUS_LINES.length * 2);
  });

  it('should reach no caller where it is late', async () => {
    await start('letters');
    for (const statusLine of STATUS_LINES.slice(0, 6)) {
      back.backendServer.setHandler(answerWith(statusLine, LATE_MS));
      const statuses = (await sendFromBoth('letters', DEADLINE_MS)).map(({ status }) => status);
      expect([statusLine, ...statuses]).toEqual([statusLine, 504, 504]);
    }
    await fleet.clock.sleep(LATE_MS);
    await expectServed('letters');
  });

  it('should not be taken for the answer to a later request where its caller has left', async () => {
    await start('letters');
    for (const statusLine of STATUS_LINES) {
      back.backendServer.setHandler(answerWith(statusLine, 40));
      const runsBefore = back.backendServer.runs.length;
      const sent = sendAndIgnore();
      await waitForRuns(runsBefore + 2);
      sent.forEach(({ disconnect }) => disconnect());
      await fleet.clock.sleep(10);
      await expectServed('letters');
    }
  });

  it('should reach no caller where it follows another answer on the same connection', async () => {
    await start('letters');
    for (const statusLine of STATUS_LINES) {
      back.backendServer.setHandler(answerTwice(statusLine));
      const answers = [...(await sendFromBoth('letters')), ...(await sendFromBoth('letters'))];
      answers.forEach(({ status }) => expect([200, 502]).toContain(status));
    }
  });
});
