/** Ways of choosing a backend server, compared among good and bad ones. */
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
import type { Bench, BenchOptions, BenchResult } from './benchmark.js';
import { round } from './benchmark.js';
import { atFixedTimes } from './processFleet.js';
import { Latencies } from './latencyHistogram.js';

const RATE_PER_SECOND = 300;
const CALLS = 3_000;
const WARM_UP_CALLS = 300;
const SLOTS = 12;
const LEASE_MS = 120_000;
const GOOD_MS = 5;
const SLOW_MS = 150;
const COLD_MS = 60;
const COLD_FOR_MS = 6_000;
const RAMP_MS = 6_000;
const LYING_PLACES = 2;
const REFUSING_PORT = 1;
const RULES = `service pages port any slots ${SLOTS} connections 64 ramp ${RAMP_MS / 1_000}s drain 5s # Bench: all calls
route GET /pages/** to pages within 2s repeat priority normal # Bench: reading
retry pages attempts 3 budget 20% # Bench: reading survives
zone pages any spill 100% # Bench: one zone
`;

type Choice = Pick<Services['balancer'], 'choose'>;

function untried(endpoints: readonly Endpoint[], tried: ReadonlySet<string>): readonly Endpoint[] {
  return endpoints.filter(({ host, id }) => !tried.has(`${host}/${id}`));
}

/** The ways of choosing, made anew for each run. */
const ways: Readonly<
  Record<string, ((view: () => Services['fleetView'], seed: number) => Choice) | undefined>
> = {
  twoChoices: undefined,
  random: (view, seed) => {
    const randomness = new SeededRandomness(seed);
    return {
      choose: (_, service, tried) => {
        const left = untried(view().endpointsOf(service), tried);
        return left.length === 0 ? undefined : left[randomness.integer(left.length)];
      },
    };
  },
  roundRobin: (view) => {
    let turn = 0;
    return {
      choose: (_, service, tried) => {
        const left = untried(view().endpointsOf(service), tried);
        turn += 1;
        return left[turn % Math.max(1, left.length)];
      },
    };
  },
};

/** Answers after a delay that may depend on how many requests it has. */
async function listen(delayMs: (inFlight: number) => number): Promise<Server> {
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
  const coldUntilMs = performance.now() + COLD_FOR_MS;
  return new Map([
    ['good-1', await listen(() => GOOD_MS)],
    ['good-2', await listen(() => GOOD_MS)],
    ['slow', await listen(() => SLOW_MS)],
    ['cold', await listen(() => (performance.now() < coldUntilMs ? COLD_MS : GOOD_MS))],
    // It claims as many slots as the others and works on two requests at a time.
    ['lying', await listen((inFlight) => GOOD_MS * Math.ceil(inFlight / LYING_PLACES) * 4)],
  ]);
}

interface Measured {
  readonly latencies: Latencies;
  readonly failures: number;
}

async function measure(name: string, seed: number): Promise<Measured> {
  const clock = new SystemClock();
  const log = new MemoryLog({ clock, retentionMs: 3_600_000, appendsPerSecond: 300 });
  const ports = { callPort: 0, gatePort: 0, peerPort: 0, adminPort: 0, localPort: 0 };
  const given = { host: 'h', zone: 'z', logUrl: 'http://127.0.0.1:9', logLevel: 'fatal', seed };
  const settings = readSettings({ ...given, ...ports, leaseMs: LEASE_MS }, {}).unwrap();
  const holder: { node?: RunningNode } = {};
  const way = ways[name];
  const view = (): Services['fleetView'] => (holder.node as RunningNode).services.fleetView;
  const balancer = way?.(view, seed) as Services['balancer'] | undefined;
  const replacements = { log, ...(balancer === undefined ? {} : { balancer }) };
  const node = await RunningNode.start(settings, { replacements });
  holder.node = node;
  const edited = { publishId: 'b', base: 0, author: 'bench', before: '', after: RULES };
  const deadline = Deadline.after(clock, LEASE_MS);
  await log.append(LogStream.Configuration, encodePublication(edited), deadline);
  await node.untilReady();
  const servers = await startServers();
  const { backendServerRegistry } = node.services;
  const announced = [...servers].map(
    ([id, server]) => [id, (server.address() as AddressInfo).port] as const,
  );
  [...announced, ['dead', REFUSING_PORT] as const].forEach(([id, port]) => {
    const where = { service: 'pages', address: '127.0.0.1', port, slots: SLOTS };
    backendServerRegistry.announce({ id, ...where, state: 'ready' });
  });
  await clock.sleep(200);
  const agent = new Agent({ connections: 256 });
  const latencies = new Latencies();
  let failures = 0;
  await atFixedTimes(RATE_PER_SECOND, CALLS + WARM_UP_CALLS, async (number) => {
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

async function run({ seed }: BenchOptions, print: (line: string) => void): Promise<BenchResult> {
  const figures: Record<string, number> = {};
  for (const name of Object.keys(ways)) {
    const { latencies, failures } = await measure(name, seed);
    figures[`${name}P50Ms`] = round(latencies.at(50));
    figures[`${name}P99Ms`] = round(latencies.at(99));
    figures[`${name}Failures`] = failures;
    print(
      `${name} | p50 ${round(latencies.at(50))} p99 ${round(latencies.at(99))} ms | ${failures} of ${CALLS} failed`,
    );
  }
  const others = ['random', 'roundRobin'];
  const best = (figure: string): number =>
    Math.min(...others.map((name) => figures[`${name}${figure}`] ?? 0));
  figures.p99RatioToBestOther = round((figures.twoChoicesP99Ms ?? 0) / best('P99Ms'));
  return {
    sizes: [CALLS],
    figures,
    bounds: [
      { figure: 'p99RatioToBestOther', most: 1 },
      { figure: 'twoChoicesFailures', most: 0 },
    ],
  };
}

/** The benchmark of choosing a backend server. */
export const balance: Bench = {
  description: 'two choices against random and round robin, with slow, lying, cold and dead ones',
  run,
};
