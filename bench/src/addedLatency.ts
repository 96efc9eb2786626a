/** What the mesh adds to a call, in pairs with direct calls in the same run. */
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { Worker, isMainThread, parentPort } from 'node:worker_threads';
import { Agent, request } from 'undici';
import type { Bench, BenchOptions, BenchResult } from './benchmark.js';
import { round } from './benchmark.js';
import { atFixedTimes, CallBench } from './processFleet.js';
import { Latencies } from './latencyHistogram.js';

const RATES = [94, 1_000];
const MEASURE_MS = 12_000;
const WARM_UP_MS = 4_000;
const ANSWER_BYTES = 512;
const ADDED_P99_MS = 0.67;
const MEMORY_MB = 256;
const SLOTS = 64;
const RULES = `service pages port any slots ${SLOTS} connections 128 ramp 0s drain 5s # Bench: reading
route GET /pages/** to pages within 5s repeat priority normal # Bench: reading
`;

const TICK_MS = 10;
const BYTES_PER_KB = 1_024;
const USER_TICKS_FIELD = 13;
const SYSTEM_TICKS_FIELD = 14;

/** Processor time of a process so far, in milliseconds. */
function cpuMsOf(processId: number): number {
  // The fields after the name in parentheses, which may hold spaces.
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = [USER_TICKS_FIELD, SYSTEM_TICKS_FIELD].map((field) => Number(fields[field - 2]));
  return ticks.reduce((sum, count) => sum + count, 0) * TICK_MS;
}

/** Resident memory of a process, in megabytes. */
function memoryMbOf(processId: number): number {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / BYTES_PER_KB;
}

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
  const rate = ratePerSecond * ways.length;
  await atFixedTimes(rate, Math.floor((rate * durationMs) / 1_000), async (number) => {
    const way = ways[number % ways.length] as Way;
    latencies[way].record(await callOnce(agent, urls[way]));
  });
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

async function run(_: BenchOptions, print: (line: string) => void): Promise<BenchResult> {
  const bench = new CallBench();
  await bench.start('entry', 'beside');
  const [entry, beside] = bench.nodes;
  if (entry === undefined || beside === undefined) {
    throw new Error('no node was started');
  }
  const { worker, port } = await startBackend();
  await bench.announce(beside, { id: 'bench', service: 'pages', port, slots: SLOTS });
  await bench.publish(RULES);
  const urls = {
    [Way.Direct]: `http://127.0.0.1:${port}/pages/1`,
    [Way.OneHop]: `${beside.callUrl}/pages/1`,
    [Way.TwoHops]: `${entry.callUrl}/pages/1`,
  };
  await measure(urls, 1_000, WARM_UP_MS);
  const figures: Record<string, number> = {};
  for (const rate of RATES) {
    const cpuBefore = [entry, beside].map(({ processId }) => cpuMsOf(processId));
    const latencies = await measure(urls, rate, MEASURE_MS);
    const [entryMs = 0, besideMs = 0] = [entry, beside].map(
      ({ processId }, index) => cpuMsOf(processId) - (cpuBefore[index] ?? 0),
    );
    const calls = latencies[Way.TwoHops].count;
    figures[`entryCpuMsPerCallAt${rate}`] = round(entryMs / calls);
    figures[`gateCpuMsPerCallAt${rate}`] = round(besideMs / (2 * calls));
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
  figures.memoryMb = round(Math.max(...[entry, beside].map((node) => memoryMbOf(node.processId))));
  await worker.terminate();
  await bench.stop();
  const bounds = [
    { figure: 'memoryMb', most: MEMORY_MB },
    ...RATES.flatMap((rate) => [
      { figure: `oneHopP99At${rate}`, most: ADDED_P99_MS },
      { figure: `twoHopsP99At${rate}`, most: ADDED_P99_MS },
    ]),
  ];
  return { sizes: RATES, figures, bounds };
}

/** The benchmark of what calls cost. */
export const addedLatency: Bench = {
  description: 'latency added to a call by one and by two hops, at 94 and 1,000 calls a second',
  run,
};
