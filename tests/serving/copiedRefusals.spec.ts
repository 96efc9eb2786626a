import type { Socket } from 'node:net';
import { wireHeaders } from '@lentillb/platform';
import { SystemClock } from 'lentillb';
import { BackendServerClient } from 'lentillb/serving/backendServerClient.js';
import { FailureCause } from 'lentillb/calls/failureCause.js';
import { afterEach, describe, expect, it } from 'vitest';
import { createForwardedRequest } from '../support/forwardedRequest.js';
import { createRequestSender } from '../support/requestSender.js';
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
 * Sends requests one after the other.
 *
 * @param connections - the answers that the server gives on each connection; it runs all requests that
 *   are not the first on theirs
 * @returns the status or the outcome of each request
 */
async function sendInTurn(
  requestIds: readonly string[],
  connections: readonly (readonly string[])[],
): Promise<readonly string[]> {
  const answersOf = new Map<Socket, string[]>();
  server = new ScriptedServer((socket) => {
    const answers = answersOf.get(socket) ?? [...(connections[answersOf.size] ?? [])];
    answersOf.set(socket, answers);
    socket.write(answers.shift() ?? '');
  });
  const address = `127.0.0.1:${await server.listen()}`;
  client = new BackendServerClient(clock, createRequestSender(clock), wireHeaders, {
    onSent: () => undefined,
    mayResend: () => false,
    onStatement: () => undefined,
  });
  const outcomes: string[] = [];
  causes = [];
  for (const requestId of requestIds) {
    const headers = { host: 'a.example', [wireHeaders.requestId]: requestId };
    const request = createForwardedRequest(clock, { requestId, headers, repeatable: false });
    const result = await client.send(request, { address, instanceId: 'i', usualServiceMs: 50 });
    causes.push(result.isErr() ? result.error.cause : undefined);
    outcomes.push(result.isOk() ? `${result.value.status}` : result.error.outcome);
    await clock.sleep(10);
  }
  return outcomes;
}

describe('a refusal that is written once more on a kept connection', () => {
  it.each([
    ['without an identity, after one with an identity', refusal('a'), refusal()],
    ['with the identity of the earlier request', refusal('a'), refusal('a')],
    ['without an identity, like the earlier one', refusal(), refusal()],
    ['as a bare 421', misdirected('a'), misdirected()],
  ])('should not be read as the next answer when it comes %s', async (_, first, copy) => {
    const outcomes = await sendInTurn(['a', 'b'], [[first, copy], [success('b')]]);
    expect(outcomes).toEqual(['not-run', '200']);
  });

  it('should not count as not run when the same request is sent there again', async () => {
    const outcomes = await sendInTurn(['a', 'a'], [[refusal('a'), refusal('a')], [success('a')]]);
    expect(outcomes).toEqual(['not-run', '200']);
  });

  it.each([
    ['without an identity', refusal()],
    ['as a bare 421', misdirected()],
    ['with another identity', refusal('a')],
  ])('should not count as not run when it comes on another connection %s', async (_, copy) => {
    const outcomes = await sendInTurn(
      ['a', 'b', 'c', 'd'],
      [[refusal('a')], [success('b'), copy], [success('d')]],
    );
    expect(outcomes).toEqual(['not-run', '200', 'unknown', '200']);
  });
});

describe('a refusal', () => {
  it.each([
    ['without an identity on a new connection', [[refusal()]], FailureCause.Rejected],
    [
      'without an identity on a kept connection, the first of its run',
      [[success('a'), refusal()]],
      FailureCause.Rejected,
    ],
    [
      'with its identity on a kept connection',
      [[success('a'), refusal('b')]],
      FailureCause.Rejected,
    ],
    ['as a bare 421 on a new connection', [[misdirected()]], FailureCause.NotServing],
  ])('should count as not run when it comes %s', async (_, connections, cause) => {
    const requestIds = ['a', 'b'].slice(0, connections[0]?.length);
    expect((await sendInTurn(requestIds, connections)).at(-1)).toBe('not-run');
    expect(causes.at(-1)).toBe(cause);
  });
});
