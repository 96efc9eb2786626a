/** Ways of spreading compared in one run: flood, tree, and tree with repair. */
import type { Place, Placement, Topology } from 'lentillb';
import { Link, topologyOf } from 'lentillb';
import type { Bench, BenchOptions, BenchResult } from './benchmark.js';
import { round } from './benchmark.js';
import { BenchFleet, loopbackBytes, rulesNamed } from './inProcessFleet.js';
import { Latencies } from './latencyHistogram.js';

const RIGA_DELAY_MS = 1.5;
const CHANGES = 30;
const CHANGE_INTERVAL_MS = 100;
const SETTLE_MS = 4_000;
const IN_FORCE_MS = 8_000;
const FLOOD_PARENTS = 4;

/** The tree without second links. */
function treeOnly(self: Place, places: readonly Place[]): Topology {
  const topology = topologyOf(self, places);
  const links = [...topology.links].filter(([, link]) => link !== Link.Backup);
  return { ...topology, links: new Map(links) };
}

/** Every node takes records from several others of its zone, chosen by position on a ring. */
function flood(self: Place, places: readonly Place[]): Topology {
  const topology = topologyOf(self, places);
  const ring = places
    .filter(({ zone }) => zone === self.zone)
    .map(({ host }) => host)
    .sort();
  const links = new Map([...topology.links].filter(([, link]) => link === Link.Zone));
  const own = ring.indexOf(self.host);
  for (let step = 1; step <= FLOOD_PARENTS && step < ring.length; step += 1) {
    const jump = step * step;
    const host = ring[(own + jump) % ring.length];
    if (host !== undefined && host !== self.host) {
      links.set(host, Link.Parent);
    }
  }
  return { ...topology, links, children: [] };
}

const placements: Readonly<Record<string, Placement>> = {
  flood,
  tree: treeOnly,
  repair: topologyOf,
};

/** Two nodes in the middle of the tree go silent just before a change. */
async function loseMiddle(fleet: BenchFleet): Promise<number> {
  const inner = [...fleet.nodes.entries()]
    .filter(([, { services }]) => {
      const { current } = services.topologyView;
      return !current.reader && current.children.length > 0;
    })
    .slice(0, 2);
  inner.forEach(([host]) => fleet.silence(host));
  const startMs = fleet.clock.monotonicMs();
  await fleet.append(rulesNamed('lost'));
  const others = [...fleet.nodes.entries()]
    .filter(([host]) => !inner.some(([lost]) => lost === host))
    .map(([, node]) => node);
  await fleet.until(() => fleet.inForce(others));
  return fleet.clock.monotonicMs() - startMs;
}

async function run(options: BenchOptions, print: (line: string) => void): Promise<BenchResult> {
  const figures: Record<string, number> = {};
  for (const [name, placement] of Object.entries(placements)) {
    const fleet = new BenchFleet({
      ...options,
      zoneDelayMs: RIGA_DELAY_MS,
      replacements: { placement },
    });
    await fleet.start();
    await fleet.append(rulesNamed('first'));
    await fleet.clock.sleep(SETTLE_MS);
    const latencies = new Latencies();
    const bytesBefore = loopbackBytes();
    for (let number = 0; number < CHANGES; number += 1) {
      await fleet.appendAndTime(rulesNamed(`v${number}`), latencies);
      await fleet.clock.sleep(CHANGE_INTERVAL_MS);
    }
    const bytes = (2 * (loopbackBytes() - bytesBefore)) / CHANGES / options.nodes;
    const lostMs = await loseMiddle(fleet);
    figures[`${name}P50Ms`] = round(latencies.at(50));
    figures[`${name}P99Ms`] = round(latencies.at(99));
    figures[`${name}BytesPerChange`] = round(bytes);
    figures[`${name}SilentParentMs`] = round(lostMs);
    print(
      `${name} | p50 ${round(latencies.at(50))} p99 ${round(latencies.at(99))} ms | ${round(bytes)} B per node and change, idle traffic included | ${round(lostMs)} ms with two silent parents`,
    );
    await fleet.stop();
  }
  return {
    sizes: [options.nodes],
    figures,
    bounds: [
      { figure: 'repairP99Ms', most: IN_FORCE_MS },
      { figure: 'repairSilentParentMs', most: IN_FORCE_MS },
    ],
  };
}

/** The benchmark that compares ways of spreading. */
export const spreading: Bench = {
  description: 'flood, tree, and tree with repair: convergence, bytes, and silent parents',
  run,
};
