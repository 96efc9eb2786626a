/** What is still served when callers send more than the backend server can take. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { listenOnLoopback } from '@lentillb/standins';
import { Agent, request } from 'undici';
import type { Bench, BenchResult } from './benchmark.js';
import { round } from './benchmark.js';
import { atFixedTimes, CallBench } from './processFleet.js';
import { Latencies } from './latencyHistogram.js';

const SLOTS = 4;
const SERVICE_MS = 20;
const DEADLINE_MS = 500;
const FACTORS = [2, 5];
const MEASURE_SECONDS = 8;
const CAPACITY_CALLS = 600;
const HIGH_SHARE = 5;
const LOST_GOODPUT_PERCENT = 5;
const RULES = `service desk port any slots ${SLOTS} connections 16 ramp 0s drain 5s # Bench: the desk
route GET /high/** to desk within ${DEADLINE_MS}ms repeat priority high # Bench: internal checks
route GET /low/** to desk within ${DEADLINE_MS}ms repeat priority low # Bench: browsing
`;

interface Counts {
  answered: number;
  refused: number;
  highAnswered: number;
  highSent: number;
  readonly high: Latencies;
  readonly refusals: Latencies;
}

async function measureCapacity(url: string): Promise<number> {
  const startMs = performance.now();
  let left = CAPACITY_CALLS;
  const work = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const { body } = await request(url);
      await body.dump();
    }
  };
  await Promise.all(Array.from({ length: SLOTS }, work));
  return (CAPACITY_CALLS * 1_000) / (performance.now() - startMs);
}

async function overload(callUrl: string, ratePerSecond: number): Promise<Counts> {
  const agent = new Agent({ connections: 512 });
  const counts: Counts = {
    answered: 0,
    refused: 0,
    highAnswered: 0,
    highSent: 0,
    high: new Latencies(),
    refusals: new Latencies(),
  };
  await atFixedTimes(ratePerSecond, ratePerSecond * MEASURE_SECONDS, async (number) => {
    const high = number % HIGH_SHARE === 0;
    counts.highSent += high ? 1 : 0;
    const startMs = performance.now();
    const { body, statusCode } = await request(`${callUrl}${high ? '/high/1' : '/low/1'}`, {
      dispatcher: agent,
    });
    await body.dump();
    const tookMs = performance.now() - startMs;
    if (statusCode === 200) {
      counts.answered += 1;
      if (high) {
        counts.highAnswered += 1;
        counts.high.record(tookMs);
      }
    } else {
      counts.refused += 1;
      counts.refusals.record(tookMs);
    }
  });
  await agent.close();
  return counts;
}

async function run(_: unknown, print: (line: string) => void): Promise<BenchResult> {
  let inFlight = 0;
  let mostInFlight = 0;
  const server = createServer((incoming, response) => {
    incoming.resume();
    inFlight += 1;
    mostInFlight = Math.max(mostInFlight, inFlight);
    setTimeout(() => {
      inFlight -= 1;
      response.end('done');
    }, SERVICE_MS);
  });
  await listenOnLoopback(server);
  const { port } = server.address() as AddressInfo;
  const capacity = await measureCapacity(`http://127.0.0.1:${port}/`);
  const bench = new CallBench();
  await bench.start('desk');
  const [node] = bench.nodes;
  if (node === undefined) {
    throw new Error('no node was started');
  }
  await bench.announce(node, { id: 'desk-1', service: 'desk', port, slots: SLOTS });
  await bench.publish(RULES);
  mostInFlight = 0;
  const figures: Record<string, number> = { capacity: round(capacity) };
  for (const factor of FACTORS) {
    const counts = await overload(node.callUrl, Math.round(capacity * factor));
    const goodput = counts.answered / MEASURE_SECONDS;
    figures[`lostGoodputPercentAt${factor}`] = round(Math.max(0, 100 - (100 * goodput) / capacity));
    figures[`highP99MsAt${factor}`] = round(counts.high.at(99));
    figures[`highRefusedPercentAt${factor}`] = round(
      100 - (100 * counts.highAnswered) / counts.highSent,
    );
    figures[`refusalP99MsAt${factor}`] = round(counts.refusals.at(99));
    print(
      `${factor} times ${round(capacity)} calls/s | goodput ${round(goodput)} | high p99 ${round(counts.high.at(99))} ms, ${counts.highAnswered} of ${counts.highSent} answered | refused ${counts.refused}, p99 ${round(counts.refusals.at(99))} ms`,
    );
  }
  figures.callsBeyondSlots = Math.max(0, mostInFlight - SLOTS);
  await bench.stop();
  server.close();
  server.closeAllConnections();
  return {
    sizes: FACTORS,
    figures,
    bounds: [
      ...FACTORS.flatMap((factor) => [
        { figure: `lostGoodputPercentAt${factor}`, most: LOST_GOODPUT_PERCENT },
        { figure: `highP99MsAt${factor}`, most: DEADLINE_MS },
        { figure: `refusalP99MsAt${factor}`, most: DEADLINE_MS },
      ]),
      { figure: 'callsBeyondSlots', most: 0 },
    ],
  };
}

/** The benchmark of overload. */
export const overloadBench: Bench = {
  description: 'goodput and priorities at two and five times the capacity',
  run,
};
