/** Measures the latency that the mesh adds to calls, against direct calls in the same run. */
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { Worker, isMainThread, parentPort } from 'node:worker_threads';
import { Agent, request } from 'undici';
import type { Benchmark, BenchmarkOptions, BenchmarkResult } from './benchmark.js';
import { round } from './benchmark.js';
import { runAtFixedRate, ProcessFleet } from './processFleet.js';
import { LatencyHistogram } from './latencyHistogram.js';

/** Calls per second on each path. */
const RATES_PER_SECOND = [94, 1_000];
const MEASUREMENT_MS = 12_000;
const WARM_UP_MS = 4_000;
const RESPONSE_BYTES = 512;
const MAX_ADDED_P99_MS = 0.67;
const MAX_MEMORY_MB = 256;
const SLOTS = 64;
const RULES = `service pages port any slots ${SLOTS} connections 128 ramp 0s drain 5s # Bench: reading
route GET /pages/** to pages within 5s repeat priority normal # Bench: reading
`;

/** The length of a CPU time tick in /proc/PID/stat: USER_HZ is 100. */
const TICK_MS = 10;
const BYTES_PER_KB = 1_024;
/** Zero-based positions of utime and stime in /proc/PID/stat. */
const USER_TICKS_INDEX = 13;
const SYSTEM_TICKS_INDEX = 14;

/** Returns the CPU time that a process has used, in milliseconds. */
function cpuMsOf(processId: number): number {
  // Fields are counted from the closing parenthesis, because the process name may contain spaces.
  const stat = readFileSync(`/proc/${processId}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = [USER_TICKS_INDEX, SYSTEM_TICKS_INDEX].map((field) => Number(fields[field - 2]));
  return ticks.reduce((sum, count) => sum + count, 0) * TICK_MS;
}

/** Returns the resident memory of a process, in megabytes. */
function memoryMbOf(processId: number): number {
  const status = readFileSync(`/proc/${processId}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1]) / BYTES_PER_KB;
}

/** The path of a call: directly to the backend server, through its gate, or through entry and gate. */
const CallPath = { Direct: 'direct', OneHop: 'one hop', TwoHops: 'two hops' } as const;
type CallPath = (typeof CallPath)[keyof typeof CallPath];

/** Runs an HTTP server that responds at once, in a worker thread so that callers do not delay it. */
function runBackendServer(): void {
  const body = Buffer.alloc(RESPONSE_BYTES, 'x');
  const server = createServer((incoming, response) => {
    incoming.resume();
    response.writeHead(200, { 'content-type': 'text/plain', 'content-length': RESPONSE_BYTES });
    response.end(body);
  });
  server.keepAliveTimeout = 60_000;
  server.listen(0, '127.0.0.1', () => parentPort?.postMessage(server.address()));
}

if (!isMainThread) {
  runBackendServer();
}

async function measureCall(agent: Agent, url: string): Promise<number> {
  const startMs = performance.now();
  const { body, statusCode } = await request(url, { dispatcher: agent });
  await body.dump();
  if (statusCode !== 200) {
    throw new Error(`${url} responded with status ${statusCode} instead of 200`);
  }
  return performance.now() - startMs;
}

/** Sends calls at a fixed rate for each path, alternating between the paths. */
async function measureLatencies(
  urls: Readonly<Record<CallPath, string>>,
  ratePerSecond: number,
  durationMs: number,
): Promise<Record<CallPath, LatencyHistogram>> {
  const agent = new Agent({ connections: 64, pipelining: 1 });
  const paths = Object.values(CallPath);
  const latencies = Object.fromEntries(
    paths.map((callPath) => [callPath, new LatencyHistogram()]),
  ) as Record<CallPath, LatencyHistogram>;
  const rate = ratePerSecond * paths.length;
  await runAtFixedRate(rate, Math.floor((rate * durationMs) / 1_000), async (number) => {
    const callPath = paths[number % paths.length] as CallPath;
    latencies[callPath].record(await measureCall(agent, urls[callPath]));
  });
  await agent.close();
  return latencies;
}

async function startBackendServer(): Promise<{ worker: Worker; port: number }> {
  const worker = new Worker(new URL(import.meta.url));
  const address = await new Promise<{ port: number }>((resolve) => {
    worker.once('message', resolve);
  });
  return { worker, port: address.port };
}

async function run(_: BenchmarkOptions, print: (line: string) => void): Promise<BenchmarkResult> {
  const fleet = new ProcessFleet();
  await fleet.start('entry', 'beside');
  const [entryNode, gateNode] = fleet.nodes;
  if (entryNode === undefined || gateNode === undefined) {
    throw new Error('the nodes on hosts "entry" and "beside" did not start');
  }
  const { worker, port } = await startBackendServer();
  await fleet.announce(gateNode, { id: 'bench', service: 'pages', port, slots: SLOTS });
  await fleet.publish(RULES);
  const urls = {
    [CallPath.Direct]: `http://127.0.0.1:${port}/pages/1`,
    [CallPath.OneHop]: `${gateNode.callUrl}/pages/1`,
    [CallPath.TwoHops]: `${entryNode.callUrl}/pages/1`,
  };
  await measureLatencies(urls, 1_000, WARM_UP_MS);
  const figures: Record<string, number> = {};
  for (const rate of RATES_PER_SECOND) {
    const cpuBefore = [entryNode, gateNode].map(({ processId }) => cpuMsOf(processId));
    const latencies = await measureLatencies(urls, rate, MEASUREMENT_MS);
    const [entryCpuMs = 0, gateCpuMs = 0] = [entryNode, gateNode].map(
      ({ processId }, index) => cpuMsOf(processId) - (cpuBefore[index] ?? 0),
    );
    const calls = latencies[CallPath.TwoHops].count;
    figures[`entryCpuMsPerCallAt${rate}`] = round(entryCpuMs / calls);
    figures[`gateCpuMsPerCallAt${rate}`] = round(gateCpuMs / (2 * calls));
    const direct = latencies[CallPath.Direct];
    for (const [name, callPath] of [
      ['oneHop', CallPath.OneHop],
      ['twoHops', CallPath.TwoHops],
    ] as const) {
      const measured = latencies[callPath];
      figures[`${name}P50At${rate}`] = round(measured.percentileMs(50) - direct.percentileMs(50));
      figures[`${name}P99At${rate}`] = round(measured.percentileMs(99) - direct.percentileMs(99));
      print(
        `${rate} calls/s | ${callPath} | p50 ${round(measured.percentileMs(50))} ms (direct ${round(direct.percentileMs(50))}) | p99 ${round(measured.percentileMs(99))} ms (direct ${round(direct.percentileMs(99))}) | ${measured.count} calls`,
      );
    }
  }
  figures.memoryMb = round(
    Math.max(...[entryNode, gateNode].map((node) => memoryMbOf(node.processId))),
  );
  await worker.terminate();
  await fleet.stop();
  const bounds = [
    { figure: 'memoryMb', most: MAX_MEMORY_MB },
    ...RATES_PER_SECOND.flatMap((rate) => [
      { figure: `oneHopP99At${rate}`, most: MAX_ADDED_P99_MS },
      { figure: `twoHopsP99At${rate}`, most: MAX_ADDED_P99_MS },
    ]),
  ];
  return { sizes: RATES_PER_SECOND, figures, bounds };
}

/** Measures the latency, CPU time and memory that calls through the mesh cost. */
export const addedLatencyBenchmark: Benchmark = {
  description: 'latency added to a call by one and by two hops, at 94 and 1,000 calls a second',
  run,
};
