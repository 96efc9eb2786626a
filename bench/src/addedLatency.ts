/** What the mesh adds to a call, in pairs with direct calls in the same run. */
import { createServer } from 'node:http';
import { Worker, isMainThread, parentPort } from 'node:worker_threads';
import { AdminClient, NodeProcess } from '@lentillb/cli';
import { LogServer, MemoryLog } from '@lentillb/standins';
import { SystemClock } from 'lentillb';
import { Agent, request } from 'undici';
import type { Bench, BenchOptions, BenchResult } from './bench.js';
import { round } from './bench.js';
import { Latencies } from './percentiles.js';

const RATES = [94, 1_000];
const MEASURE_MS = 12_000;
const WARM_UP_MS = 4_000;
const ANSWER_BYTES = 512;
const ADDED_P99_MS = 0.67;
const LEASE_RENEW_MS = 1_000;
const TIMEOUT_MS = 10_000;
const SLOTS = 64;
const RULES = `service pages port any slots ${SLOTS} connections 128 ramp 0s drain 5s # Bench: reading
route GET /pages/** to pages within 5s repeat priority normal # Bench: reading
`;

/** The ways a call can take. */
const Way = { Direct: 'direct', OneHop: 'one hop', TwoHops: 'two hops' } as const;
type Way = (typeof Way)[keyof typeof Way];

/** Answers every request at once, in a thread of its own. */
function serve(): void {
  const body = Buffer.alloc(ANSWER_BYTES, 'x');
  const server = createServer((incoming, response) => {
    incoming.resume();
    response.writeHead(200, { 'content-type': 'text/plain', 'content-length': ANSWER_BYTES });
    response.end(body);
  });
  server.keepAliveTimeout = 60_000;
  server.listen(0, '127.0.0.1', () => parentPort?.postMessage(server.address()));
}

if (!isMainThread) {
  serve();
}

async function callOnce(agent: Agent, url: string): Promise<number> {
  const startMs = performance.now();
  const { body, statusCode } = await request(url, { dispatcher: agent });
  await body.dump();
  if (statusCode !== 200) {
    throw new Error(`${url} answered ${statusCode}`);
  }
  return performance.now() - startMs;
}

/** Sends calls at fixed arrival times, the ways in turn. */
async function measure(
  urls: Readonly<Record<Way, string>>,
  ratePerSecond: number,
  durationMs: number,
): Promise<Record<Way, Latencies>> {
  const agent = new Agent({ connections: 64, pipelining: 1 });
  const ways = Object.values(Way);
  const latencies = Object.fromEntries(ways.map((way) => [way, new Latencies()])) as Record<
    Way,
    Latencies
  >;
  const pending: Promise<void>[] = [];
  const startMs = performance.now();
  const total = Math.floor((ratePerSecond * ways.length * durationMs) / 1_000);
  for (let count = 0; count < total; count += 1) {
    const dueMs = startMs + (count * 1_000) / (ratePerSecond * ways.length);
    const waitMs = dueMs - performance.now();
    if (waitMs > 1) {
      await new Promise<void>((resolve) => {
        setTimeout(resolve, waitMs);
      });
    }
    const way = ways[count % ways.length] as Way;
    pending.push(callOnce(agent, urls[way]).then((tookMs) => latencies[way].record(tookMs)));
  }
  await Promise.all(pending);
  await agent.close();
  return latencies;
}

async function startBackend(): Promise<{ worker: Worker; port: number }> {
  const worker = new Worker(new URL(import.meta.url));
  const address = await new Promise<{ port: number }>((resolve) => {
    worker.once('message', resolve);
  });
  return { worker, port: address.port };
}

async function announce(node: NodeProcess, port: number): Promise<void> {
  const url = `http://127.0.0.1:${node.ports.localPort}/v1/backend-servers/bench`;
  const body = JSON.stringify({ service: 'pages', port, slots: SLOTS });
  const answer = await request(url, { method: 'PUT', body });
  await answer.body.dump();
}

async function run(_: BenchOptions, print: (line: string) => void): Promise<BenchResult> {
  const clock = new SystemClock();
  const log = new MemoryLog({ clock, retentionMs: 3_600_000, appendsPerSecond: 300 });
  const logServer = new LogServer(log, clock);
  await logServer.listen();
  const { url: logUrl } = logServer;
  const zone = 'zone-a';
  const entry = await NodeProcess.start({ host: 'entry', zone, logUrl });
  const beside = await NodeProcess.start({ host: 'beside', zone, logUrl });
  const { worker, port } = await startBackend();
  await announce(beside, port);
  const renewing = setInterval(() => announce(beside, port), LEASE_RENEW_MS);
  const admin = new AdminClient(entry.adminUrl, TIMEOUT_MS);
  const publishId = 'bench';
  await admin.publish({ publishId, base: 0, author: 'bench', text: RULES, timeoutMs: TIMEOUT_MS });
  await clock.sleep(500);
  const urls = {
    [Way.Direct]: `http://127.0.0.1:${port}/pages/1`,
    [Way.OneHop]: `${beside.callUrl}/pages/1`,
    [Way.TwoHops]: `${entry.callUrl}/pages/1`,
  };
  await measure(urls, 1_000, WARM_UP_MS);
  const figures: Record<string, number> = {};
  for (const rate of RATES) {
    const latencies = await measure(urls, rate, MEASURE_MS);
    const direct = latencies[Way.Direct];
    for (const [name, way] of [
      ['oneHop', Way.OneHop],
      ['twoHops', Way.TwoHops],
    ] as const) {
      const measured = latencies[way];
      figures[`${name}P50At${rate}`] = round(measured.at(50) - direct.at(50));
      figures[`${name}P99At${rate}`] = round(measured.at(99) - direct.at(99));
      print(
        `${rate} calls/s | ${way} | p50 ${round(measured.at(50))} ms (direct ${round(direct.at(50))}) | p99 ${round(measured.at(99))} ms (direct ${round(direct.at(99))}) | ${measured.count} calls`,
      );
    }
  }
  clearInterval(renewing);
  await worker.terminate();
  await Promise.all([entry.kill(), beside.kill()]);
  await logServer.close();
  const bounds = RATES.flatMap((rate) => [
    { figure: `oneHopP99At${rate}`, most: ADDED_P99_MS },
    { figure: `twoHopsP99At${rate}`, most: ADDED_P99_MS },
  ]);
  return { sizes: RATES, figures, bounds };
}

/** The benchmark of what calls cost. */
export const addedLatency: Bench = {
  description: 'latency added to a call by one and by two hops, at 94 and 1,000 calls a second',
  run,
};
