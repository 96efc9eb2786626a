/** Compares load balancing strategies over healthy and faulty backend servers. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { RunningNode } from '@lentillb/node';
import { listenOnLoopback, MemoryLog } from '@lentillb/standins';
import type { Endpoint, Services } from 'lentillb';
import {
  Deadline,
  encodePublication,
  LogStream,
  readSettings,
  SeededRandomness,
  SystemClock,
} from 'lentillb';
import { Agent, request } from 'undici';
import type { Benchmark, BenchmarkOptions, BenchmarkResult } from './benchmark.js';
import { round } from './benchmark.js';
import { runAtFixedRate } from './processFleet.js';
import { LatencyHistogram } from './latencyHistogram.js';

const RATE_PER_SECOND = 300;
const CALLS = 3_000;
const WARM_UP_CALLS = 300;
const SLOTS = 12;
const LEASE_MS = 120_000;
const NORMAL_DELAY_MS = 5;
const SLOW_DELAY_MS = 150;
const COLD_DELAY_MS = 60;
/** The time after start in which the cold server responds slowly. */
const COLD_DURATION_MS = 6_000;
const RAMP_MS = 6_000;
/** The number of requests that the server with overstated slots processes at a time. */
const ACTUAL_CONCURRENCY = 2;
/** A port that refuses connections. */
const REFUSING_PORT = 1;
const RULES = `service pages port any slots ${SLOTS} connections 64 ramp ${RAMP_MS / 1_000}s drain 5s # Bench: all calls
route GET /pages/** to pages within 2s repeat priority normal # Bench: reading
retry pages attempts 3 budget 20% # Bench: reading survives
zone pages any spill 100% # Bench: one zone
`;

type Balancer = Pick<Services['balancer'], 'choose'>;

function untriedEndpoints(
  endpoints: readonly Endpoint[],
  tried: ReadonlySet<string>,
): readonly Endpoint[] {
  return endpoints.filter(({ host, id }) => !tried.has(`${host}/${id}`));
}

/** Creates a new balancer for each run; undefined selects the default balancer of the node. */
const balancerFactories: Readonly<
  Record<
    string,
    ((getFleetView: () => Services['fleetView'], seed: number) => Balancer) | undefined
  >
> = {
  twoChoices: undefined,
  random: (getFleetView, seed) => {
    const randomness = new SeededRandomness(seed);
    return {
      choose: (_, service, tried) => {
        const candidates = untriedEndpoints(getFleetView().endpointsOf(service), tried);
        return candidates.length === 0
          ? undefined
          : candidates[randomness.integer(candidates.length)];
      },
    };
  },
  roundRobin: (getFleetView) => {
    let callCount = 0;
    return {
      choose: (_, service, tried) => {
        const candidates = untriedEndpoints(getFleetView().endpointsOf(service), tried);
        callCount += 1;
        return candidates[callCount % Math.max(1, candidates.length)];
      },
    };
  },
};

/** Starts a server that responds after a delay, which may depend on its number of open requests. */
async function startServer(delayMs: (inFlight: number) => number): Promise<Server> {
  let inFlight = 0;
  const server = createServer((incoming, response) => {
    incoming.resume();
    inFlight += 1;
    setTimeout(() => {
      inFlight -= 1;
      response.end('done');
    }, delayMs(inFlight));
  });
  await listenOnLoopback(server);
  return server;
}

async function startServers(): Promise<ReadonlyMap<string, Server>> {
  const coldUntilMs = performance.now() + COLD_DURATION_MS;
  return new Map([
    ['good-1', await startServer(() => NORMAL_DELAY_MS)],
    ['good-2', await startServer(() => NORMAL_DELAY_MS)],
    ['slow', await startServer(() => SLOW_DELAY_MS)],
    [
      'cold',
      await startServer(() => (performance.now() < coldUntilMs ? COLD_DELAY_MS : NORMAL_DELAY_MS)),
    ],
    // Announces as many slots as the others, but processes only two requests at a time and four times slower.
    [
      'lying',
      await startServer(
        (inFlight) => NORMAL_DELAY_MS * Math.ceil(inFlight / ACTUAL_CONCURRENCY) * 4,
      ),
    ],
  ]);
}

interface Measurement {
  readonly latencies: LatencyHistogram;
  readonly failures: number;
}

async function measure(name: string, seed: number): Promise<Measurement> {
  const clock = new SystemClock();
  const log = new MemoryLog({ clock, retentionMs: 3_600_000, appendsPerSecond: 300 });
  const ports = { callPort: 0, gatePort: 0, peerPort: 0, adminPort: 0, localPort: 0 };
  const nodeFlags = { host: 'h', zone: 'z', logUrl: 'http://127.0.0.1:9', logLevel: 'fatal', seed };
  const settings = readSettings({ ...nodeFlags, ...ports, leaseMs: LEASE_MS }, {}).unwrap();
  const nodeReference: { node?: RunningNode } = {};
  const createBalancer = balancerFactories[name];
  const getFleetView = (): Services['fleetView'] =>
    (nodeReference.node as RunningNode).services.fleetView;
  const balancer = createBalancer?.(getFleetView, seed) as Services['balancer'] | undefined;
  const replacements = { log, ...(balancer === undefined ? {} : { balancer }) };
  const node = await RunningNode.start(settings, { replacements });
  nodeReference.node = node;
  const publication = { publishId: 'b', base: 0, author: 'bench', before: '', after: RULES };
  const deadline = Deadline.after(clock, LEASE_MS);
  await log.append(LogStream.Configuration, encodePublication(publication), deadline);
  await node.waitUntilReady();
  const servers = await startServers();
  const { backendServerRegistry } = node.services;
  const serverPorts = [...servers].map(
    ([id, server]) => [id, (server.address() as AddressInfo).port] as const,
  );
  [...serverPorts, ['dead', REFUSING_PORT] as const].forEach(([id, port]) => {
    const registration = { service: 'pages', address: '127.0.0.1', port, slots: SLOTS };
    backendServerRegistry.announce({ id, ...registration, state: 'ready' });
  });
  await clock.sleep(200);
  const agent = new Agent({ connections: 256 });
  const latencies = new LatencyHistogram();
  let failures = 0;
  await runAtFixedRate(RATE_PER_SECOND, CALLS + WARM_UP_CALLS, async (number) => {
    const startMs = performance.now();
    const { statusCode, body } = await request(`${node.callUrl}/pages/1`, { dispatcher: agent });
    await body.dump();
    if (number >= WARM_UP_CALLS) {
      latencies.record(performance.now() - startMs);
      failures += statusCode === 200 ? 0 : 1;
    }
  });
  await agent.close();
  await node.stop();
  servers.forEach((server) => {
    server.close();
    server.closeAllConnections();
  });
  return { latencies, failures };
}

async function run(
  { seed }: BenchmarkOptions,
  print: (line: string) => void,
): Promise<BenchmarkResult> {
  const figures: Record<string, number> = {};
  for (const name of Object.keys(balancerFactories)) {
    const { latencies, failures } = await measure(name, seed);
    figures[`${name}P50Ms`] = round(latencies.percentileMs(50));
    figures[`${name}P99Ms`] = round(latencies.percentileMs(99));
    figures[`${name}Failures`] = failures;
    print(
      `${name} | p50 ${round(latencies.percentileMs(50))} p99 ${round(latencies.percentileMs(99))} ms | ${failures} of ${CALLS} failed`,
    );
  }
  const baselines = ['random', 'roundRobin'];
  const bestBaseline = (figure: string): number =>
    Math.min(...baselines.map((name) => figures[`${name}${figure}`] ?? 0));
  figures.p99RatioToBestOther = round((figures.twoChoicesP99Ms ?? 0) / bestBaseline('P99Ms'));
  return {
    sizes: [CALLS],
    figures,
    bounds: [
      { figure: 'p99RatioToBestOther', most: 1 },
      { figure: 'twoChoicesFailures', most: 0 },
    ],
  };
}

/** Compares two random choices with random and round robin balancing. */
export const balanceBenchmark: Benchmark = {
  description:
    'compares two random choices with random and round robin balancing over normal, slow, cold and dead backend servers and one that announces more slots than it has',
  run,
};
