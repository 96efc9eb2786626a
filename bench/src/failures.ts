/** Benchmarks of failures: reconnect storms, network partitions, publication races and log outages. */
import { PublishResult, Deadline } from 'lentillb';
import type { Benchmark, BenchmarkOptions, BenchmarkResult } from './benchmark.js';
import { fitLine, round } from './benchmark.js';
import { InProcessFleet, loopbackBytes, ruleFileFor } from './inProcessFleet.js';

/** One-way delay between the availability zones of the Riga region. */
const RIGA_DELAY_MS = 1.5;
const MAX_CONVERGENCE_MS = 8_000;
const MAX_BYTES_PER_SECOND = 2_048;
/** The fraction of the nodes that a reconnect storm kills. */
const KILLED_SHARE = 0.3;
const PARTITION_MS = 30_000;
const RECOVERY_OBSERVATION_MS = 8_000;
const RACES = 20;
const PUBLISHERS_PER_RACE = 4;
const PUBLISH_TIMEOUT_MS = 8_000;
const OUTAGE_RETENTION_MS = 10_000;
const SETTLE_MS = 3_000;
/** The maximum number of open log requests per zone: those of its readers and of a few joining nodes. */
const MAX_OPEN_LOG_REQUESTS_PER_ZONE = 8;

type Print = (line: string) => void;

async function startFleet(
  options: BenchmarkOptions,
  retentionMs?: number,
): Promise<InProcessFleet> {
  const fleet = new InProcessFleet({ ...options, zoneDelayMs: RIGA_DELAY_MS, retentionMs });
  await fleet.start();
  await fleet.append(ruleFileFor('first'));
  await fleet.waitUntil(() => fleet.hasConverged());
  await fleet.clock.sleep(SETTLE_MS);
  return fleet;
}

/** Kills a fraction of the nodes and restarts them at the same time. */
async function runReconnectStorm(
  options: BenchmarkOptions,
  print: Print,
): Promise<BenchmarkResult> {
  const fleet = await startFleet(options);
  const killed = fleet.nodeLocations().filter((_, index) => (index % 10) / 10 < KILLED_SHARE);
  killed.forEach(({ host }) => fleet.kill(host));
  const noticedMs = await fleet.waitUntil(() => fleet.membershipConverged());
  fleet.maxOpenLogRequests = 0;
  const before = { ...fleet.log.counters };
  const bytesBefore = loopbackBytes();
  const startMs = fleet.clock.monotonicMs();
  await Promise.all(killed.map((location) => fleet.add(location)));
  await fleet.waitUntil(() => fleet.hasConverged());
  const inForceMs = fleet.clock.monotonicMs() - startMs;
  await fleet.waitUntil(() => fleet.membershipConverged());
  const settledMs = fleet.clock.monotonicMs() - startMs;
  const { appends, reads, ranges } = fleet.log.counters;
  const figures = {
    herd: killed.length,
    noticedMs: round(noticedMs),
    inForceMs: round(inForceMs),
    settledMs: round(settledMs),
    appendsAtLog: appends - before.appends,
    requestsAtLog: reads - before.reads + ranges - before.ranges,
    mostOpenAtLog: fleet.maxOpenLogRequests,
    bytesPerNode: round((2 * (loopbackBytes() - bytesBefore)) / options.nodes),
  };
  print(JSON.stringify(figures));
  await fleet.stop();
  return {
    sizes: [options.nodes],
    figures,
    bounds: [
      { figure: 'inForceMs', most: MAX_CONVERGENCE_MS },
      { figure: 'settledMs', most: 2 * MAX_CONVERGENCE_MS },
      { figure: 'appendsAtLog', most: killed.length },
      {
        figure: 'mostOpenAtLog',
        most: MAX_OPEN_LOG_REQUESTS_PER_ZONE * options.zones + killed.length,
      },
    ],
  };
}

/** Isolates one zone from the others and the log, publishes a version, and heals the partition. */
async function runPartition(options: BenchmarkOptions, print: Print): Promise<BenchmarkResult> {
  const fleet = await startFleet(options);
  const nodes = [...fleet.nodes.values()];
  const isolatedNodes = nodes.filter(({ services }) => services.settings.zone === 'zone-1');
  const otherNodes = nodes.filter((node) => !isolatedNodes.includes(node));
  fleet.partitionedZones.add('zone-1');
  await fleet.clock.sleep(PARTITION_MS / 2);
  await fleet.append(ruleFileFor('during'));
  const othersMs = await fleet.waitUntil(() => fleet.hasConverged(otherNodes));
  await fleet.clock.sleep(PARTITION_MS / 2);
  const versionKept = isolatedNodes.every(
    ({ services }) => services.versionStore.state?.version === 1,
  );
  const bytesBefore = loopbackBytes();
  fleet.partitionedZones.delete('zone-1');
  const healedMs = await fleet.waitUntil(() => fleet.hasConverged());
  await fleet.clock.sleep(Math.max(0, RECOVERY_OBSERVATION_MS - healedMs));
  const membershipAgrees = fleet.membershipConverged();
  const bytes = (2 * (loopbackBytes() - bytesBefore)) / options.nodes;
  const figures = {
    othersMs: round(othersMs),
    healedMs: round(healedMs),
    cutZoneLostItsVersion: versionKept ? 0 : 1,
    viewsThatDiffer: membershipAgrees ? 0 : 1,
    healBytesPerNodeAndSecond: round(bytes / (RECOVERY_OBSERVATION_MS / 1_000)),
  };
  print(JSON.stringify(figures));
  await fleet.stop();
  return {
    sizes: [options.nodes],
    figures,
    bounds: [
      { figure: 'othersMs', most: MAX_CONVERGENCE_MS },
      { figure: 'healedMs', most: MAX_CONVERGENCE_MS },
      { figure: 'cutZoneLostItsVersion', most: 0 },
      { figure: 'viewsThatDiffer', most: 0 },
      { figure: 'healBytesPerNodeAndSecond', most: MAX_BYTES_PER_SECOND },
    ],
  };
}

/** Publishes from several nodes at the same time, while some responses of the log are lost. */
async function runRaces(options: BenchmarkOptions, print: Print): Promise<BenchmarkResult> {
  const fleet = await startFleet(options);
  const nodes = [...fleet.nodes.values()];
  let untrue = 0;
  let accepted = 0;
  let unknown = 0;
  for (let race = 0; race < RACES; race += 1) {
    const base = nodes[0]?.services.versionStore.state?.version ?? 0;
    await fleet.waitUntil(() =>
      nodes.every(({ services }) => services.versionStore.state?.version === base),
    );
    fleet.log.faults.loseAnswers = race % 3 === 0 ? 1 : 0;
    const outcomes = await Promise.all(
      Array.from({ length: PUBLISHERS_PER_RACE }, (_, publisherIndex) => {
        const { publisher } = (
          nodes[(race * PUBLISHERS_PER_RACE + publisherIndex) % nodes.length] as (typeof nodes)[0]
        ).services;
        const publishId = `race-${race}-${publisherIndex}`;
        const publication = {
          publishId,
          base,
          author: publishId,
          text: ruleFileFor(`r${race}-${publisherIndex}`),
        };
        return publisher.publish(publication, Deadline.after(fleet.clock, PUBLISH_TIMEOUT_MS));
      }),
    );
    const acceptedOutcomes = outcomes.filter(({ result }) => result === PublishResult.Accepted);
    accepted += acceptedOutcomes.length;
    unknown += outcomes.filter(({ result }) => result === PublishResult.Unknown).length;
    const store = nodes[0]?.services.versionStore;
    // Counts reported results that differ from the verdict in the version store.
    untrue += outcomes.filter(({ result, publishId }) => {
      const verdict = store?.judgementOf(publishId)?.verdict;
      return result === PublishResult.Accepted
        ? verdict !== 'accepted'
        : result === PublishResult.Refused && verdict === 'accepted';
    }).length;
  }
  await fleet.waitUntil(() =>
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

/** Replaces every node during a log outage that lasts longer than the retention of the log. */
async function runOutage(options: BenchmarkOptions, print: Print): Promise<BenchmarkResult> {
  const fleet = await startFleet(options, OUTAGE_RETENTION_MS);
  const firstNodes = [...fleet.nodes.values()];
  fleet.log.faults.outage = true;
  fleet.log.wakeReaders();
  const startMs = fleet.clock.monotonicMs();
  let wentBack = 0;
  const locations = fleet.nodeLocations();
  const batchSize = Math.max(1, Math.floor(options.nodes / 10));
  for (let index = 0; index < locations.length; index += batchSize) {
    const batch = locations.slice(index, index + batchSize);
    await Promise.all(batch.map(({ host }) => fleet.remove(host)));
    const contacts = [...fleet.nodes.values()]
      .slice(0, 8)
      .map(({ ports }) => `127.0.0.1:${ports.peerPort}`);
    await Promise.all(
      batch.map(({ host, zone }) => fleet.add({ host: `${host}-new`, zone }, contacts.join(','))),
    );
    await fleet.waitUntil(() => fleet.hasConverged());
    // Counts nodes that do not enforce the latest version after a batch was replaced.
    wentBack += [...fleet.nodes.values()].filter(
      ({ services }) => services.versionStore.state?.version !== fleet.latestVersion,
    ).length;
  }
  const outageDurationMs = fleet.clock.monotonicMs() - startMs;
  await fleet.clock.sleep(Math.max(0, 2 * OUTAGE_RETENTION_MS - outageDurationMs));
  const remainingFirstNodes = firstNodes.filter((node) =>
    [...fleet.nodes.values()].includes(node),
  ).length;
  fleet.log.faults.outage = false;
  await fleet.clock.sleep(OUTAGE_RETENTION_MS);
  await fleet.append(ruleFileFor('after'));
  const nextVersionMs = await fleet.waitUntil(() => fleet.hasConverged());
  const figures = {
    outageMs: round(outageDurationMs),
    retentionMs: OUTAGE_RETENTION_MS,
    wentBack,
    firstNodesLeft: remainingFirstNodes,
    nextVersionMs: round(nextVersionMs),
  };
  print(JSON.stringify(figures));
  await fleet.stop();
  return {
    sizes: [options.nodes],
    figures,
    bounds: [
      { figure: 'wentBack', most: 0 },
      { figure: 'firstNodesLeft', most: 0 },
      { figure: 'nextVersionMs', most: MAX_CONVERGENCE_MS },
    ],
  };
}

/**
 * Runs a benchmark at a quarter, half and all of the nodes.
 * Returns the figures of the largest fleet and, for each figure, its slope per node.
 */
function runAtThreeSizes(run: Benchmark['run']): Benchmark['run'] {
  return async (options, print) => {
    const sizes = [options.nodes / 4, options.nodes / 2, options.nodes].map(Math.round);
    const results: BenchmarkResult[] = [];
    for (const nodes of sizes) {
      results.push(await run({ ...options, nodes }, (line) => print(`${nodes} nodes | ${line}`)));
    }
    const largest = results.at(-1) as BenchmarkResult;
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

/** Benchmarks of failures by name. */
export const failureBenchmarks: Readonly<Record<string, Benchmark>> = {
  'reconnect-storm': {
    description: '30% of the nodes are killed and restarted at the same time',
    run: runAtThreeSizes(runReconnectStorm),
  },
  partition: {
    description: 'a zone is partitioned from the other zones and the log',
    run: runAtThreeSizes(runPartition),
  },
  races: {
    description: 'operators publish at the same time while responses of the log are lost',
    run: runAtThreeSizes(runRaces),
  },
  outage: {
    description: 'every node is replaced during a log outage that is longer than the retention',
    run: runAtThreeSizes(runOutage),
  },
};
