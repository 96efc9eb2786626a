import type { Socket } from 'node:net';
import { wireHeaders } from '@lentillb/platform';
import { SystemClock } from 'lentillb';
import { BackendServerClient } from 'lentillb/serving/backendServerClient.js';
import { FailureCause } from 'lentillb/serving/messages.js';
import { afterEach, describe, expect, it } from 'vitest';
import { createForwardedRequest } from '../support/forwardedRequest.js';
import { ScriptedServer } from '../support/scriptedServer.js';

const clock = new SystemClock();
const EMPTY = 'content-length: 0\r\n\r\n';

let server: ScriptedServer | undefined;
let client: BackendServerClient | undefined;
let causes: (string | undefined)[];

afterEach(() => {
  client?.close();
  server?.close();
});

function identity(requestId: string | undefined): string {
  return requestId === undefined ? '' : `${wireHeaders.requestId}: ${requestId}\r\n`;
}

function success(requestId: string): string {
  return `HTTP/1.1 200 OK\r\n${identity(requestId)}${wireHeaders.seal}: s\r\n${EMPTY}`;
}

function refusal(requestId?: string): string {
  return `HTTP/1.1 503 Busy\r\n${identity(requestId)}${wireHeaders.notRun}: 1\r\n${EMPTY}`;
}

function misdirected(requestId?: string): string {
  return `HTTP/1.1 421 Misdirected\r\n${identity(requestId)}${EMPTY}`;
}

/**
 * Sends requests one after the other. The server answers the first one on a connection by the first
 * answer, and the later ones, which it runs, by the second.
 */
async function sendInTurn(
  requestIds: readonly string[],
  firstAnswer: string,
  laterAnswer: string,
): Promise<readonly string[]> {
  const answered = new WeakSet<Socket>();
  let connections = 0;
  server = new ScriptedServer((socket) => {
    const isLater = answered.has(socket);
    connections += isLater ? 0 : 1;
    answered.add(socket);
    const reply = connections > 1 ? success(requestIds.at(-1) ?? '') : firstAnswer;
    socket.write(isLater ? laterAnswer : reply);
  });
  const address = `127.0.0.1:${await server.listen()}`;
  client = new BackendServerClient(clock, wireHeaders, {
    onSent: () => undefined,
    mayResend: () => false,
    onStatement: () => undefined,
  });
  const outcomes: string[] = [];
  causes = [];
  for (const requestId of requestIds) {
    const headers = { host: 'a.example', [wireHeaders.requestId]: requestId };
    const request = createForwardedRequest(clock, { requestId, headers, repeatable: false });
    const result = await client.send(request, { address, instanceId: 'i' });
    causes.push(result.isErr() ? result.error.cause : undefined);
    outcomes.push(result.isOk() ? `${result.value.status}` : result.error.outcome);
    await clock.sleep(10);
  }
  return outcomes;
}

describe('a refusal that is written once more on a kept connection', () => {
  it.each([
    ['without an identity, after a refusal with one', refusal('a'), refusal(), ['not-run', '200']],
    ['with the identity of the earlier request', refusal('a'), refusal('a'), ['not-run', '200']],
    ['without an identity, after an answer', success('a'), refusal(), ['200', 'unknown']],
    ['as a bare 421, after an answer', success('a'), misdirected(), ['200', 'unknown']],
    ['as a bare 421, after a 421', misdirected('a'), misdirected(), ['not-run', '200']],
  ])('should not count as not run when it comes %s', async (_, first, later, expected) => {
    expect(await sendInTurn(['a', 'b'], first, later)).toEqual(expected);
  });

  it('should not count as not run when the same request is sent there again', async () => {
    expect(await sendInTurn(['a', 'a'], refusal('a'), refusal('a'))).toEqual(['not-run', '200']);
  });
});

describe('a refusal', () => {
  it.each([
    ['without an identity on a new connection', [refusal()], FailureCause.Rejected],
    ['with its identity on a kept connection', [success('a'), refusal('b')], FailureCause.Rejected],
    ['as a bare 421 on a new connection', [misdirected()], FailureCause.NotServing],
  ])('should count as not run when it comes %s', async (_, [first = '', later], cause) => {
    const outcomes = await sendInTurn(later === undefined ? ['a'] : ['a', 'b'], first, later ?? '');
    expect(outcomes.at(-1)).toBe('not-run');
    expect(causes.at(-1)).toBe(cause);
  });
});
