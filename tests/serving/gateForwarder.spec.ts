import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import { listenOnLoopback } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { DecisionLog } from 'lentillb/observability/decisionLog.js';
import type { GateEndpoint } from 'lentillb/directory/directory.js';
import type { Gate } from 'lentillb/serving/gate.js';
import { GateProcesses } from 'lentillb/serving/gateProcesses.js';
import { GateForwarder } from 'lentillb/serving/gateForwarder.js';
import { encodeReply } from 'lentillb/serving/gateProtocol.js';
import type { ForwardedRequest, GateReply } from 'lentillb/serving/messages.js';
import { ListenProbe } from 'lentillb/serving/listenProbe.js';
import { Ok } from 'ts-results-es';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { createForwardedRequest } from '../support/forwardedRequest.js';
import { createRequestSender } from '../support/requestSender.js';

const clock = new SystemClock();

const ANNOUNCEMENT = { host: 'other', zone: 'a', peerAddress: 'o:2', incarnation: 7, sequence: 1 };
/** Longer than a probe takes on loopback. */
const PROBE_MS = 100;
const EXPECTED_MS = 50;

let endedNodes: string[];
let lines: object[];
let server: Server;
let endpoint: GateEndpoint;
let forwarder: GateForwarder;
let markSilent: () => void;
let pendingResponse: Promise<ServerResponse>;

const answered: GateReply = {
  report: { load: 1, serviceMs: 5 },
  result: Ok({ status: 200, headers: {}, body: Buffer.from('ran') }),
};

function requestOf(repeatable: boolean): ForwardedRequest {
  return createForwardedRequest(clock, {
    repeatable,
    deadlineAtMs: clock.monotonicMs() + 2_000,
  });
}

async function respond(reply = answered): Promise<void> {
  const response = await pendingResponse;
  const { body, headers, status } = encodeReply(reply);
  response.writeHead(status, headers);
  response.end(body);
}

beforeEach(async () => {
  endedNodes = [];
  lines = [];
  let receive: (response: ServerResponse) => void;
  pendingResponse = new Promise((resolve) => {
    receive = resolve;
  });
  server = createServer((_, response) => receive(response));
  endpoint = {
    host: 'other',
    zone: 'a',
    gateAddress: await listenOnLoopback(server),
    peerAddress: 'other:2',
    backendServer: { id: 'i', startedAtMs: 1, service: 's', slots: 4, state: 'ready' },
  };
  forwarder = new GateForwarder(
    {
      clock,
      gate: {} as Gate,
      sender: createRequestSender(clock),
      directory: { announcementOf: () => ({ ...ANNOUNCEMENT, gateAddress: endpoint.gateAddress }) },
      listenProbe: new ListenProbe(),
      log: new DecisionLog(clock, {
        info: () => undefined,
        warn: (line) => lines.push(line),
      }),
      suspectGuard: {
        recordNodeEnded: ({ requestId }, { host, incarnation }) => {
          endedNodes.push(`${requestId} ${host} ${incarnation}`);
        },
      },
      deliveries: { watch: () => () => undefined },
      processes: new GateProcesses(clock),
      links: {
        isSilent: () => false,
        markHeard: () => undefined,
        watch: (_host, _peerAddress, onSilent) => {
          markSilent = onSilent;
          return () => undefined;
        },
      },
    },
    { host: 'own' },
  );
});

afterEach(() => {
  forwarder.close();
  server.closeAllConnections();
  server.close();
});

it('should not give up a repeatable request that runs on a host that is only slow to respond', async () => {
  const called = forwarder.call(endpoint, requestOf(true), EXPECTED_MS);
  await pendingResponse;
  markSilent();
  const { lateReply, result } = await called;
  expect(result.unwrapErr().outcome).toBe('unknown');
  await respond();
  expect((await lateReply)?.result.unwrap().body.toString()).toBe('ran');
});

it('should wait for the answer to a non-repeatable request while its host is silent', async () => {
  const called = forwarder.call(endpoint, requestOf(false), EXPECTED_MS);
  await pendingResponse;
  markSilent();
  await respond();
  expect((await called).result.isOk()).toBe(true);
});

it.each([{ limitPerSecond: 12.7 }, { limitPerSecond: 0 }, {}])(
  'should receive the request limit that a gate reports: %o',
  async (limit) => {
    const report = { load: 3, serviceMs: 40, ...limit };
    const called = forwarder.call(endpoint, requestOf(true), EXPECTED_MS);
    await respond({ ...answered, report });
    expect((await called).report).toEqual(report);
  },
);

it('should record a request as suspect if the node that it was sent to ended', async () => {
  const called = forwarder.call(endpoint, requestOf(true), EXPECTED_MS);
  const response = await pendingResponse;
  server.close();
  response.socket?.resetAndDestroy();
  expect((await called).result.unwrapErr().outcome).toBe('unknown');
  await clock.sleep(PROBE_MS);
  expect(endedNodes).toEqual(['r other 7']);
});

it('should not record a request as suspect if only its connection was lost', async () => {
  const called = forwarder.call(endpoint, requestOf(true), EXPECTED_MS);
  (await pendingResponse).socket?.resetAndDestroy();
  expect((await called).result.unwrapErr().outcome).toBe('unknown');
  await clock.sleep(PROBE_MS);
  expect(endedNodes).toEqual([]);
});

it('should log which host was not heard, on which kind of connection, and for how long', async () => {
  const called = forwarder.call(endpoint, requestOf(true), EXPECTED_MS);
  (await pendingResponse).socket?.resetAndDestroy();
  await called;
  expect(lines).toEqual([
    expect.objectContaining({
      event: 'gate-not-heard',
      requestId: 'r',
      host: 'other',
      cause: 'connection-lost',
      outcome: 'unknown',
      onReusedConnection: false,
      hostSilent: false,
    }),
  ]);
});
