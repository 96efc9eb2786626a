/** Compares dissemination topologies in one run: flooding, a tree, and a tree with backup links. */
import type { HostLocation, TopologyStrategy, Topology } from 'lentillb';
import { LinkPurpose, computeTopology } from 'lentillb';
import type { Benchmark, BenchmarkOptions, BenchmarkResult } from './benchmark.js';
import { round } from './benchmark.js';
import { InProcessFleet, loopbackBytes, ruleFileFor } from './inProcessFleet.js';
import { LatencyHistogram } from './latencyHistogram.js';

/** One-way delay between the availability zones of the Riga region. */
const RIGA_DELAY_MS = 1.5;
const CHANGES = 30;
const CHANGE_INTERVAL_MS = 100;
const SETTLE_MS = 4_000;
const MAX_CONVERGENCE_MS = 8_000;
const FLOOD_PARENTS = 4;

/** Returns the tree topology without backup links. */
function treeWithoutBackups(self: HostLocation, places: readonly HostLocation[]): Topology {
  const topology = computeTopology(self, places);
  const links = [...topology.links].filter(([, link]) => link !== LinkPurpose.Backup);
  return { ...topology, links: new Map(links) };
}

/** Returns a topology where each node has several parents in its zone, at square distances on a ring. */
function flood(self: HostLocation, places: readonly HostLocation[]): Topology {
  const topology = computeTopology(self, places);
  const ring = places
    .filter(({ zone }) => zone === self.zone)
    .map(({ host }) => host)
    .sort();
  const links = new Map([...topology.links].filter(([, link]) => link === LinkPurpose.Zone));
  const ownIndex = ring.indexOf(self.host);
  for (let step = 1; step <= FLOOD_PARENTS && step < ring.length; step += 1) {
    const distance = step * step;
    const host = ring[(ownIndex + distance) % ring.length];
    if (host !== undefined && host !== self.host) {
      links.set(host, LinkPurpose.Parent);
    }
  }
  return { ...topology, links, children: [] };
}

/** The compared topologies; their names are prefixes of figures. */
const topologies: Readonly<Record<string, TopologyStrategy>> = {
  flood,
  tree: treeWithoutBackups,
  repair: computeTopology,
};

/** Silences two inner nodes of the tree and returns the time for a change to reach the others, in milliseconds. */
async function measureSilentParents(fleet: InProcessFleet): Promise<number> {
  const silencedNodes = [...fleet.nodes.entries()]
    .filter(([, { services }]) => {
      const { current } = services.topologyView;
      return !current.reader && current.children.length > 0;
    })
    .slice(0, 2);
  silencedNodes.forEach(([host]) => fleet.silence(host));
  const startMs = fleet.clock.monotonicMs();
  await fleet.append(ruleFileFor('lost'));
  const others = [...fleet.nodes.entries()]
    .filter(([host]) => !silencedNodes.some(([silencedHost]) => silencedHost === host))
    .map(([, node]) => node);
  await fleet.waitUntil(() => fleet.hasConverged(others));
  return fleet.clock.monotonicMs() - startMs;
}

async function run(
  options: BenchmarkOptions,
  print: (line: string) => void,
): Promise<BenchmarkResult> {
  const figures: Record<string, number> = {};
  for (const [name, placement] of Object.entries(topologies)) {
    const fleet = new InProcessFleet({
      ...options,
      zoneDelayMs: RIGA_DELAY_MS,
      replacements: { placement },
    });
    await fleet.start();
    await fleet.append(ruleFileFor('first'));
    await fleet.clock.sleep(SETTLE_MS);
    const latencies = new LatencyHistogram();
    const bytesBefore = loopbackBytes();
    for (let number = 0; number < CHANGES; number += 1) {
      await fleet.appendAndMeasure(ruleFileFor(`v${number}`), latencies);
      await fleet.clock.sleep(CHANGE_INTERVAL_MS);
    }
    const bytes = (2 * (loopbackBytes() - bytesBefore)) / CHANGES / options.nodes;
    const silentParentsMs = await measureSilentParents(fleet);
    figures[`${name}P50Ms`] = round(latencies.percentileMs(50));
    figures[`${name}P99Ms`] = round(latencies.percentileMs(99));
    figures[`${name}BytesPerChange`] = round(bytes);
    figures[`${name}SilentParentMs`] = round(silentParentsMs);
    print(
      `${name} | p50 ${round(latencies.percentileMs(50))} p99 ${round(latencies.percentileMs(99))} ms | ${round(bytes)} B per node and change, idle traffic included | ${round(silentParentsMs)} ms with two silent parents`,
    );
    await fleet.stop();
  }
  return {
    sizes: [options.nodes],
    figures,
    bounds: [
      { figure: 'repairP99Ms', most: MAX_CONVERGENCE_MS },
      { figure: 'repairSilentParentMs', most: MAX_CONVERGENCE_MS },
    ],
  };
}

/** Compares dissemination topologies. */
export const spreadingBenchmark: Benchmark = {
  description:
    'compares flooding, a tree and a tree with repair: convergence time, traffic, and time with two silent parents',
  run,
};
