/** Benchmarks of failures: storms, cuts, races and outages, with bounds from the stated target. */
import { PublishResult, Deadline } from 'lentillb';
import type { Bench, BenchOptions, BenchResult } from './benchmark.js';
import { fitLine, round } from './benchmark.js';
import { BenchFleet, loopbackBytes, rulesNamed } from './inProcessFleet.js';

const RIGA_DELAY_MS = 1.5;
const IN_FORCE_MS = 8_000;
const BYTES_PER_SECOND = 2_048;
const HERD_SHARE = 0.3;
const CUT_MS = 30_000;
const HEAL_WATCH_MS = 8_000;
const RACES = 20;
const RACERS = 4;
const PUBLISH_TIMEOUT_MS = 8_000;
const OUTAGE_RETENTION_MS = 10_000;
const SETTLE_MS = 3_000;
/** Requests that may be open at the log at once: each zone's readers, and a few that join. */
const OPEN_AT_LOG_PER_ZONE = 8;

type Print = (line: string) => void;

async function startFleet(options: BenchOptions, retentionMs?: number): Promise<BenchFleet> {
  const fleet = new BenchFleet({ ...options, zoneDelayMs: RIGA_DELAY_MS, retentionMs });
  await fleet.start();
  await fleet.append(rulesNamed('first'));
  await fleet.until(() => fleet.inForce());
  await fleet.clock.sleep(SETTLE_MS);
  return fleet;
}

async function runStorm(options: BenchOptions, print: Print): Promise<BenchResult> {
  const fleet = await startFleet(options);
  const herd = fleet.stations().filter((_, index) => (index % 10) / 10 < HERD_SHARE);
  herd.forEach(({ host }) => fleet.kill(host));
  const noticedMs = await fleet.until(() => fleet.settled());
  fleet.mostAtLog = 0;
  const before = { ...fleet.log.counters };
  const bytesBefore = loopbackBytes();
  const startMs = fleet.clock.monotonicMs();
  await Promise.all(herd.map((station) => fleet.add(station)));
  await fleet.until(() => fleet.inForce());
  const inForceMs = fleet.clock.monotonicMs() - startMs;
  await fleet.until(() => fleet.settled());
  const settledMs = fleet.clock.monotonicMs() - startMs;
  const { appends, reads, ranges } = fleet.log.counters;
  const figures = {
    herd: herd.length,
    noticedMs: round(noticedMs),
    inForceMs: round(inForceMs),
    settledMs: round(settledMs),
    appendsAtLog: appends - before.appends,
    requestsAtLog: reads - before.reads + ranges - before.ranges,
    mostOpenAtLog: fleet.mostAtLog,
    bytesPerNode: round((2 * (loopbackBytes() - bytesBefore)) / options.nodes),
  };
  print(JSON.stringify(figures));
  await fleet.stop();
  return {
    sizes: [options.nodes],
    figures,
    bounds: [
      { figure: 'inForceMs', most: IN_FORCE_MS },
      { figure: 'settledMs', most: 2 * IN_FORCE_MS },
      { figure: 'appendsAtLog', most: herd.length },
      { figure: 'mostOpenAtLog', most: OPEN_AT_LOG_PER_ZONE * options.zones + herd.length },
    ],
  };
}

async function runPartition(options: BenchOptions, print: Print): Promise<BenchResult> {
  const fleet = await startFleet(options);
  const nodes = [...fleet.nodes.values()];
  const within = nodes.filter(({ services }) => services.settings.zone === 'zone-1');
  const without = nodes.filter((node) => !within.includes(node));
  fleet.cut.add('zone-1');
  await fleet.clock.sleep(CUT_MS / 2);
  await fleet.append(rulesNamed('during'));
  const othersMs = await fleet.until(() => fleet.inForce(without));
  await fleet.clock.sleep(CUT_MS / 2);
  const kept = within.every(({ services }) => services.versionStore.state?.version === 1);
  const bytesBefore = loopbackBytes();
  fleet.cut.delete('zone-1');
  const healedMs = await fleet.until(() => fleet.inForce());
  await fleet.clock.sleep(Math.max(0, HEAL_WATCH_MS - healedMs));
  const settled = fleet.settled();
  const bytes = (2 * (loopbackBytes() - bytesBefore)) / options.nodes;
  const figures = {
    othersMs: round(othersMs),
    healedMs: round(healedMs),
    cutZoneLostItsVersion: kept ? 0 : 1,
    viewsThatDiffer: settled ? 0 : 1,
    healBytesPerNodeAndSecond: round(bytes / (HEAL_WATCH_MS / 1_000)),
  };
  print(JSON.stringify(figures));
  await fleet.stop();
  return {
    sizes: [options.nodes],
    figures,
    bounds: [
      { figure: 'othersMs', most: IN_FORCE_MS },
      { figure: 'healedMs', most: IN_FORCE_MS },
      { figure: 'cutZoneLostItsVersion', most: 0 },
      { figure: 'viewsThatDiffer', most: 0 },
      { figure: 'healBytesPerNodeAndSecond', most: BYTES_PER_SECOND },
    ],
  };
}

/** Several operators publish at once by different nodes; some answers of the log are lost. */
async function runRaces(options: BenchOptions, print: Print): Promise<BenchResult> {
  const fleet = await startFleet(options);
  const nodes = [...fleet.nodes.values()];
  let untrue = 0;
  let accepted = 0;
  let unknown = 0;
  for (let race = 0; race < RACES; race += 1) {
    const base = nodes[0]?.services.versionStore.state?.version ?? 0;
    await fleet.until(() =>
      nodes.every(({ services }) => services.versionStore.state?.version === base),
    );
    fleet.log.faults.loseAnswers = race % 3 === 0 ? 1 : 0;
    const outcomes = await Promise.all(
      Array.from({ length: RACERS }, (_, racer) => {
        const { publisher } = (nodes[(race * RACERS + racer) % nodes.length] as (typeof nodes)[0])
          .services;
        const publishId = `race-${race}-${racer}`;
        const publication = {
          publishId,
          base,
          author: publishId,
          text: rulesNamed(`r${race}-${racer}`),
        };
        return publisher.publish(publication, Deadline.after(fleet.clock, PUBLISH_TIMEOUT_MS));
      }),
    );
    const winners = outcomes.filter(({ result }) => result === PublishResult.Accepted);
    accepted += winners.length;
    unknown += outcomes.filter(({ result }) => result === PublishResult.Unknown).length;
    const store = nodes[0]?.services.versionStore;
    untrue += outcomes.filter(({ result, publishId }) => {
      const verdict = store?.judgementOf(publishId)?.verdict;
      return result === PublishResult.Accepted
        ? verdict !== 'accepted'
        : result === PublishResult.Refused && verdict === 'accepted';
    }).length;
  }
  await fleet.until(() =>
    nodes.every(
      ({ services }) => services.versionStore.through === nodes[0]?.services.versionStore.through,
    ),
  );
  const versions = new Set(nodes.map(({ services }) => services.versionStore.state?.version));
  const figures = {
    races: RACES,
    accepted,
    unknown,
    untrue,
    racesWithoutOneWinner: Math.abs(RACES - accepted),
    versionsAtTheEnd: versions.size,
  };
  print(JSON.stringify(figures));
  await fleet.stop();
  return {
    sizes: [options.nodes],
    figures,
    bounds: [
      { figure: 'untrue', most: 0 },
      { figure: 'racesWithoutOneWinner', most: 0 },
      { figure: 'versionsAtTheEnd', most: 1 },
    ],
  };
}

/** The platform is away past its retention while every node is replaced. */
async function runOutage(options: BenchOptions, print: Print): Promise<BenchResult> {
  const fleet = await startFleet(options, OUTAGE_RETENTION_MS);
  const first = [...fleet.nodes.values()];
  fleet.log.faults.outage = true;
  fleet.log.wakeReaders();
  const startMs = fleet.clock.monotonicMs();
  let wentBack = 0;
  const replaced = fleet.stations();
  const BATCH = Math.max(1, Math.floor(options.nodes / 10));
  for (let index = 0; index < replaced.length; index += BATCH) {
    const batch = replaced.slice(index, index + BATCH);
    await Promise.all(batch.map(({ host }) => fleet.remove(host)));
    const contacts = [...fleet.nodes.values()]
      .slice(0, 8)
      .map(({ ports }) => `127.0.0.1:${ports.peerPort}`);
    await Promise.all(
      batch.map(({ host, zone }) => fleet.add({ host: `${host}-new`, zone }, contacts.join(','))),
    );
    await fleet.until(() => fleet.inForce());
    wentBack += [...fleet.nodes.values()].filter(
      ({ services }) => services.versionStore.state?.version !== fleet.version,
    ).length;
  }
  const outMs = fleet.clock.monotonicMs() - startMs;
  await fleet.clock.sleep(Math.max(0, 2 * OUTAGE_RETENTION_MS - outMs));
  const survivors = first.filter((node) => [...fleet.nodes.values()].includes(node)).length;
  fleet.log.faults.outage = false;
  await fleet.clock.sleep(OUTAGE_RETENTION_MS);
  await fleet.append(rulesNamed('after'));
  const backMs = await fleet.until(() => fleet.inForce());
  const figures = {
    outageMs: round(outMs),
    retentionMs: OUTAGE_RETENTION_MS,
    wentBack,
    firstNodesLeft: survivors,
    nextVersionMs: round(backMs),
  };
  print(JSON.stringify(figures));
  await fleet.stop();
  return {
    sizes: [options.nodes],
    figures,
    bounds: [
      { figure: 'wentBack', most: 0 },
      { figure: 'firstNodesLeft', most: 0 },
      { figure: 'nextVersionMs', most: IN_FORCE_MS },
    ],
  };
}

/** Runs at three sizes: the figures are those of the largest, with the slope of each a node. */
function overSizes(run: Bench['run']): Bench['run'] {
  return async (options, print) => {
    const sizes = [options.nodes / 4, options.nodes / 2, options.nodes].map(Math.round);
    const results: BenchResult[] = [];
    for (const nodes of sizes) {
      results.push(await run({ ...options, nodes }, (line) => print(`${nodes} nodes | ${line}`)));
    }
    const largest = results.at(-1) as BenchResult;
    const slopes = Object.keys(largest.figures).map((figure) => {
      const points = results.map(
        ({ figures }, index) => [sizes[index] ?? 0, figures[figure] ?? 0] as const,
      );
      return [`${figure}Slope`, round(fitLine(points).slope)] as const;
    });
    const figures = { ...largest.figures, ...Object.fromEntries(slopes) };
    return { sizes, figures, bounds: largest.bounds };
  };
}

/** The benchmarks of failures, by name. */
export const faultBenches: Readonly<Record<string, Bench>> = {
  'reconnect-storm': {
    description: '30% of the nodes are killed and come back at once',
    run: overSizes(runStorm),
  },
  partition: {
    description: 'a zone is cut off from the others and the log',
    run: overSizes(runPartition),
  },
  races: {
    description: 'operators publish at once while answers are lost',
    run: overSizes(runRaces),
  },
  outage: {
    description: 'the log is away past its retention while every node is replaced',
    run: overSizes(runOutage),
  },
};
