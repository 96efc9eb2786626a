/** Compares the call outcomes reported to callers with the requests that faulty backend servers executed. */
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';
import { SeededRandomness } from 'lentillb';
import { Agent, request } from 'undici';
import type { Benchmark, BenchmarkOptions, BenchmarkResult } from './benchmark.js';
import { runAtFixedRate, ProcessFleet } from './processFleet.js';

const REQUESTS = 100_000;
const RATE_PER_SECOND = 1_500;
const SLOTS = 64;
const FAULT_PERCENT = 10;
/** A port that refuses connections. */
const REFUSING_PORT = 1;
const RULES = `service pages port any slots ${SLOTS} connections 256 ramp 0s drain 5s # Bench: all calls
route GET /pages/** to pages within 300ms repeat priority normal # Bench: reading
route POST /pages/** to pages within 300ms once priority normal # Bench: writing
retry pages attempts 3 budget 50% # Bench: reading survives
`;
const HEAD_END = '\r\n\r\n';

type Fault = (socket: Socket, id: string) => void;

function completeResponse(id: string): string {
  return `HTTP/1.1 200 OK\r\ncontent-length: ${id.length}\r\n\r\n${id}`;
}

/** Faults of a backend server after it has executed a request. */
const faults: Readonly<Record<string, Fault>> = {
  reset: (socket) => socket.resetAndDestroy(),
  close: (socket) => socket.end(),
  garbage: (socket) => socket.end('garbage\r\n\r\n'),
  noResponse: () => undefined,
  truncatedBody: (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nhalf'),
  truncatedChunks: (socket) =>
    socket.end('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'),
  lateResponse: (socket, id) => {
    setTimeout(() => socket.write(completeResponse(id)), 400);
  },
  duplicateResponse: (socket, id) => {
    socket.write(completeResponse(id) + completeResponse('nobody asked'));
  },
  falseOutcome: (socket, id) => {
    socket.write(completeResponse(id).replace('\r\n', '\r\nlentillb-outcome: not-run\r\n'));
  },
};

interface CallerResult {
  readonly outcome: string;
  readonly text: string;
}

/** Starts a server that executes requests with random faults and counts executions by request id. */
async function startFaultyServer(
  executions: Map<string, number>,
  seed: number,
): Promise<() => number> {
  const randomness = new SeededRandomness(seed);
  const faultKinds = Object.values(faults);
  const server = createServer((socket) => {
    let received = '';
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      const headEnd = received.indexOf(HEAD_END);
      const length = Number(/content-length: (\d+)/i.exec(received)?.[1] ?? 0);
      if (headEnd < 0 || received.length < headEnd + HEAD_END.length + length) {
        return;
      }
      const id = /x-request-id: (\S+)/i.exec(received)?.[1] ?? '';
      received = '';
      executions.set(id, (executions.get(id) ?? 0) + 1);
      const fault =
        randomness.integer(100) < FAULT_PERCENT
          ? faultKinds[randomness.integer(faultKinds.length)]
          : undefined;
      if (fault === undefined) {
        socket.write(completeResponse(id));
      } else {
        fault(socket, id);
      }
    });
  });
  await listenOnLoopback(server);
  return () => (server.address() as AddressInfo).port;
}

async function send(agent: Agent, url: string, id: string, once: boolean): Promise<CallerResult> {
  try {
    const { headers, body } = await request(`${url}/pages/1`, {
      dispatcher: agent,
      method: once ? 'POST' : 'GET',
      body: once ? 'once' : undefined,
      headers: { 'x-request-id': id },
    });
    const text = await body.text();
    return { outcome: String(headers['lentillb-outcome'] ?? 'answered'), text };
  } catch {
    return { outcome: 'broken', text: '' };
  }
}

async function run(
  { seed }: BenchmarkOptions,
  print: (line: string) => void,
): Promise<BenchmarkResult> {
  const fleet = new ProcessFleet();
  await fleet.start('entry', 'beside');
  const [entryNode, gateNode] = fleet.nodes;
  if (entryNode === undefined || gateNode === undefined) {
    throw new Error('the nodes on hosts "entry" and "beside" did not start');
  }
  const executions = new Map<string, number>();
  for (const [index, node] of [entryNode, gateNode].entries()) {
    const getPort = await startFaultyServer(executions, seed + index);
    const id = `server-${index}`;
    await fleet.announce(node, { id, service: 'pages', port: getPort(), slots: SLOTS });
  }
  const refusingServer = { id: 'refusing', service: 'pages', port: REFUSING_PORT, slots: SLOTS };
  await fleet.announce(gateNode, refusingServer);
  await fleet.publish(RULES);
  const agent = new Agent({ connections: 512 });
  const outcomes: Record<string, number> = {};
  const violations = { notRunButRan: 0, ranTwice: 0, wrongAnswer: 0, answeredButNeverRan: 0 };
  const checks: (() => void)[] = [];
  await runAtFixedRate(RATE_PER_SECOND, REQUESTS, async (number) => {
    const id = `request-${number}`;
    const once = number % 2 === 0;
    const url = number % 3 === 0 ? entryNode.callUrl : gateNode.callUrl;
    const { outcome, text } = await send(agent, url, id, once);
    outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
    checks.push(() => {
      const count = executions.get(id) ?? 0;
      violations.notRunButRan += outcome === 'not-run' && count > 0 ? 1 : 0;
      violations.ranTwice += once && count > 1 ? 1 : 0;
      violations.wrongAnswer += outcome === 'answered' && text !== id ? 1 : 0;
      violations.answeredButNeverRan += outcome === 'answered' && count === 0 ? 1 : 0;
    });
  });
  // Waits for late executions, because a call reported as not-run must not be executed later either.
  await fleet.clock.sleep(1_000);
  checks.forEach((check) => check());
  print(JSON.stringify({ ...outcomes, ...violations }));
  await agent.destroy();
  await fleet.stop();
  return {
    sizes: [REQUESTS],
    figures: { ...outcomes, ...violations },
    bounds: Object.keys(violations).map((figure) => ({ figure, most: 0 })),
  };
}

/** Checks that reported call outcomes agree with actual executions. */
export const callOutcomesBenchmark: Benchmark = {
  description:
    'compares reported outcomes with actual executions over 100,000 calls to faulty backend servers',
  run,
};
