/** Measures goodput and priorities while callers send more than the backend server can process. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';
import { Agent, request } from 'undici';
import type { Benchmark, BenchmarkResult } from './benchmark.js';
import { round } from './benchmark.js';
import { runAtFixedRate, ProcessFleet } from './processFleet.js';
import { LatencyHistogram } from './latencyHistogram.js';

const SLOTS = 4;
const SERVICE_TIME_MS = 20;
const DEADLINE_MS = 500;
/** The offered load as multiples of the capacity. */
const LOAD_FACTORS = [2, 5];
const MEASUREMENT_SECONDS = 8;
const CAPACITY_CALLS = 600;
/** Every fifth call has high priority. */
const HIGH_PRIORITY_INTERVAL = 5;
const MAX_LOST_GOODPUT_PERCENT = 5;
const RULES = `service desk port any slots ${SLOTS} connections 16 ramp 0s drain 5s # Bench: the desk
route GET /high/** to desk within ${DEADLINE_MS}ms repeat priority high # Bench: internal checks
route GET /low/** to desk within ${DEADLINE_MS}ms repeat priority low # Bench: browsing
`;

interface Measurement {
  answered: number;
  refused: number;
  highAnswered: number;
  highSent: number;
  readonly highLatencies: LatencyHistogram;
  readonly refusalLatencies: LatencyHistogram;
}

async function measureCapacity(url: string): Promise<number> {
  const startMs = performance.now();
  let remainingCalls = CAPACITY_CALLS;
  const sendCalls = async (): Promise<void> => {
    while (remainingCalls > 0) {
      remainingCalls -= 1;
      const { body } = await request(url);
      await body.dump();
    }
  };
  await Promise.all(Array.from({ length: SLOTS }, sendCalls));
  return (CAPACITY_CALLS * 1_000) / (performance.now() - startMs);
}

async function measureOverload(callUrl: string, ratePerSecond: number): Promise<Measurement> {
  const agent = new Agent({ connections: 512 });
  const measurement: Measurement = {
    answered: 0,
    refused: 0,
    highAnswered: 0,
    highSent: 0,
    highLatencies: new LatencyHistogram(),
    refusalLatencies: new LatencyHistogram(),
  };
  await runAtFixedRate(ratePerSecond, ratePerSecond * MEASUREMENT_SECONDS, async (number) => {
    const high = number % HIGH_PRIORITY_INTERVAL === 0;
    measurement.highSent += high ? 1 : 0;
    const startMs = performance.now();
    const { body, statusCode } = await request(`${callUrl}${high ? '/high/1' : '/low/1'}`, {
      dispatcher: agent,
    });
    await body.dump();
    const latencyMs = performance.now() - startMs;
    if (statusCode === 200) {
      measurement.answered += 1;
      if (high) {
        measurement.highAnswered += 1;
        measurement.highLatencies.record(latencyMs);
      }
    } else {
      measurement.refused += 1;
      measurement.refusalLatencies.record(latencyMs);
    }
  });
  await agent.close();
  return measurement;
}

async function run(_: unknown, print: (line: string) => void): Promise<BenchmarkResult> {
  let inFlight = 0;
  let maxInFlight = 0;
  const server = createServer((incoming, response) => {
    incoming.resume();
    inFlight += 1;
    maxInFlight = Math.max(maxInFlight, inFlight);
    setTimeout(() => {
      inFlight -= 1;
      response.end('done');
    }, SERVICE_TIME_MS);
  });
  await listenOnLoopback(server);
  const { port } = server.address() as AddressInfo;
  const capacity = await measureCapacity(`http://127.0.0.1:${port}/`);
  const fleet = new ProcessFleet();
  await fleet.start('desk');
  const [node] = fleet.nodes;
  if (node === undefined) {
    throw new Error('the node on host "desk" did not start');
  }
  await fleet.announce(node, { id: 'desk-1', service: 'desk', port, slots: SLOTS });
  await fleet.publish(RULES);
  maxInFlight = 0;
  const figures: Record<string, number> = { capacity: round(capacity) };
  for (const factor of LOAD_FACTORS) {
    const measurement = await measureOverload(node.callUrl, Math.round(capacity * factor));
    const goodput = measurement.answered / MEASUREMENT_SECONDS;
    figures[`lostGoodputPercentAt${factor}`] = round(Math.max(0, 100 - (100 * goodput) / capacity));
    figures[`highP99MsAt${factor}`] = round(measurement.highLatencies.percentileMs(99));
    figures[`highRefusedPercentAt${factor}`] = round(
      100 - (100 * measurement.highAnswered) / measurement.highSent,
    );
    figures[`refusalP99MsAt${factor}`] = round(measurement.refusalLatencies.percentileMs(99));
    print(
      `${factor} times ${round(capacity)} calls/s | goodput ${round(goodput)} | high p99 ${round(measurement.highLatencies.percentileMs(99))} ms, ${measurement.highAnswered} of ${measurement.highSent} answered | refused ${measurement.refused}, p99 ${round(measurement.refusalLatencies.percentileMs(99))} ms`,
    );
  }
  figures.callsBeyondSlots = Math.max(0, maxInFlight - SLOTS);
  await fleet.stop();
  server.close();
  server.closeAllConnections();
  return {
    sizes: LOAD_FACTORS,
    figures,
    bounds: [
      ...LOAD_FACTORS.flatMap((factor) => [
        { figure: `lostGoodputPercentAt${factor}`, most: MAX_LOST_GOODPUT_PERCENT },
        { figure: `highP99MsAt${factor}`, most: DEADLINE_MS },
        { figure: `refusalP99MsAt${factor}`, most: DEADLINE_MS },
      ]),
      { figure: 'callsBeyondSlots', most: 0 },
    ],
  };
}

/** Measures goodput and priorities under overload. */
export const overloadBenchmark: Benchmark = {
  description: 'goodput and high-priority latency at two and five times the capacity',
  run,
};
