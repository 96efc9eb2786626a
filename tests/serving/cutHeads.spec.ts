import type { Socket } from 'node:net';
import { wireHeaders } from '@lentillb/platform';
import { SystemClock } from 'lentillb';
import { BackendServerClient } from 'lentillb/serving/backendServerClient.js';
import { afterEach, describe, expect, it } from 'vitest';
import { blockEventLoop } from '../support/blockEventLoop.js';
import { createForwardedRequest } from '../support/forwardedRequest.js';
import { createRequestSender } from '../support/requestSender.js';
import { ScriptedServer } from '../support/scriptedServer.js';

const clock = new SystemClock();
const IDENTITY = `${wireHeaders.requestId}: r\r\n${wireHeaders.seal}: s\r\n`;
const STATUS = 'HTTP/1.1 200 OK\r\n';
const BODY = 'the whole body';
const LENGTH = `content-length: ${BODY.length}\r\n`;
const CHUNKED = `transfer-encoding: chunked\r\n`;
const CHUNKS = `${BODY.length.toString(16)}\r\n${BODY}\r\n0\r\n`;

/** Complete answers; no part of one is complete. */
const ANSWERS: Readonly<Record<string, string>> = {
  'with a length': `${STATUS}${IDENTITY}${LENGTH}\r\n${BODY}`,
  'with the length first': `${STATUS}${LENGTH}${IDENTITY}\r\n${BODY}`,
  'without a body': `${STATUS}${IDENTITY}content-length: 0\r\n\r\n`,
  'in chunks': `${STATUS}${IDENTITY}${CHUNKED}\r\n${CHUNKS}\r\n`,
  'in chunks with a trailer': `${STATUS}${IDENTITY}${CHUNKED}trailer: x-a\r\n\r\n${CHUNKS}x-a: b\r\n\r\n`,
  'after an interim answer': `HTTP/1.1 100 Continue\r\n\r\n${STATUS}${IDENTITY}${LENGTH}\r\n${BODY}`,
  'after two interim answers': `HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 103 Hints\r\nlink: a\r\n\r\n${STATUS}${IDENTITY}${LENGTH}\r\n${BODY}`,
};
const UNFRAMED = `${STATUS}${IDENTITY}\r\n${BODY}`;

type End = (socket: Socket, bytes: string) => void;

/** The distance between two cuts where each of them pauses the process, in bytes. */
const PAUSED_STEP = 7;

const ENDS: Readonly<Record<string, End>> = {
  closed: (socket, bytes) => socket.end(bytes),
  reset: (socket, bytes) => socket.write(bytes, () => socket.resetAndDestroy()),
  'closed while the process is paused': (socket, bytes) => {
    socket.end(bytes);
    setImmediate(() => blockEventLoop(3));
  },
  'reset while the process is paused': (socket, bytes) => {
    socket.write(bytes, () => socket.resetAndDestroy());
    setImmediate(() => blockEventLoop(3));
  },
};

let server: ScriptedServer | undefined;
let client: BackendServerClient | undefined;

afterEach(() => {
  client?.close();
  server?.close();
});

async function start(script: (socket: Socket, count: number) => void) {
  server = new ScriptedServer(script);
  const address = `127.0.0.1:${await server.listen()}`;
  const started = new BackendServerClient(clock, createRequestSender(clock), wireHeaders, {
    onSent: () => undefined,
    mayResend: () => false,
    onStatement: () => undefined,
  });
  client = started;
  return () => {
    const headers = { host: 'a.example', [wireHeaders.requestId]: 'r' };
    const request = createForwardedRequest(clock, { headers, repeatable: false });
    return started.send(request, { address, instanceId: 'i', usualServiceMs: 50 });
  };
}

/** The number of plays of one cut within which its request must reach the kept connection. */
const MAX_PLAYS = 20;

/**
 * Returns the bodies of the cut answers that were taken for complete ones, by the length of the cut. A
 * kept connection that was idle for too long is not reused, so such a cut is played again.
 */
async function completeAfterCut(answer: string, end: End, kept: boolean, cuts: readonly number[]) {
  let cut = 0;
  let isCutNext = false;
  let wasKept: boolean | undefined;
  const whole = ANSWERS['with a length'] as string;
  const answered = new WeakSet<Socket>();
  const send = await start((socket) => {
    if (isCutNext) {
      wasKept = answered.has(socket);
      end(socket, answer.slice(0, cut));
    } else {
      answered.add(socket);
      socket.write(whole);
    }
  });
  const complete: string[] = [];
  const play = async () => {
    wasKept = undefined;
    if (kept) {
      isCutNext = false;
      expect((await send()).isOk()).toBe(true);
    }
    isCutNext = true;
    const result = await send();
    if (result.isOk()) {
      complete.push(`${cut}: ${result.value.status} ${result.value.body.toString()}`);
    }
  };
  for (cut of cuts) {
    let plays = 0;
    do {
      await play();
      plays += 1;
    } while (wasKept !== kept && plays < MAX_PLAYS);
    expect(wasKept).toBe(kept);
  }
  return complete;
}

function cutsOf(length: number, end: string): readonly number[] {
  const step = end.endsWith('paused') ? PAUSED_STEP : 1;
  return Array.from({ length }, (_, index) => index).filter((index) => index % step === 0);
}

describe('an answer whose connection ends early', () => {
  it.each(
    Object.keys(ANSWERS).flatMap((answer) =>
      Object.keys(ENDS).flatMap((end) => [false, true].map((kept) => ({ answer, end, kept }))),
    ),
  )('should be no success: $answer, $end, kept $kept', async ({ answer, end, kept }) => {
    const bytes = ANSWERS[answer] as string;
    const complete = await completeAfterCut(
      bytes,
      ENDS[end] as End,
      kept,
      cutsOf(bytes.length, end),
    );
    expect(complete).toEqual([]);
  });

  it.each(Object.keys(ENDS))(
    'should be no success within its head without a length: %s',
    async (end) => {
      const headLength = UNFRAMED.length - BODY.length;
      for (const kept of [false, true]) {
        const complete = await completeAfterCut(
          UNFRAMED,
          ENDS[end] as End,
          kept,
          cutsOf(headLength, end),
        );
        expect(complete).toEqual([]);
      }
    },
  );
});

describe('an answer with a status out of range', () => {
  it.each(['099', '000', '101', '600', '999'])('should be no answer: %s', async (status) => {
    const send = await start((socket) =>
      socket.write(`HTTP/1.1 ${status} Odd\r\n${IDENTITY}${LENGTH}\r\n${BODY}`),
    );
    const result = await send();
    expect(result.isErr() && result.error.outcome).toBe('unknown');
  });
});
