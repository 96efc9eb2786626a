/** How long a change takes to every node, and what control costs a node. */
import { topologyOf } from 'lentillb';
import type { Bench, BenchOptions, BenchResult } from './benchmark.js';
import { fitLine, round } from './benchmark.js';
import { BenchFleet, loopbackBytes } from './inProcessFleet.js';
import { Latencies } from './latencyHistogram.js';

const CHANGES = 100;
const CHANGE_INTERVAL_MS = 100;
const IDLE_MS = 10_000;
const RESTARTED_SHARE = 0.05;
const MUSCAT_DELAY_MS = 0.5;
const RIGA_DELAY_MS = 1.5;
const MICROS_PER_SECOND = 1_000_000;
const MS_PER_SECOND = 1_000;
const SECONDS_PER_DAY = 86_400;

/** The target's size and budgets. */
const TARGET_NODES = 3_400;
const TARGET_ZONES = 9;
const TARGET_CHANGES_PER_DAY = 7_800;
const PEAK_FACTOR = 10;
const IN_FORCE_MS = 8_000;
const GOAL_P99_MS = 500;
const BYTES_PER_SECOND = 2_048;
const CPU_PERCENT = 1;
const MEMORY_MB = 256;
const BYTES_PER_MB = 1024 * 1024;

interface Measured {
  readonly nodes: number;
  /** Open links, counted at both their ends. */
  readonly linkEnds: number;
  readonly calm: Latencies;
  readonly restarting: Latencies;
  readonly idleBytesPerSecond: number;
  readonly bytesPerChange: number;
  readonly idleCpuPercent: number;
  readonly cpuMsPerChange: number;
  readonly memoryMb: number;
  readonly sourceReads: number;
}

/** Two hundred rules, one of which differs between versions. */
function rulesOf(version: number): string {
  const services = Array.from(
    { length: 200 },
    (_, index) =>
      `service s${index} port any slots ${index === 0 ? (version % 9) + 1 : 12} connections 64 ramp 0s drain 5s # Bench: rule ${index}`,
  );
  return `${services.join('\n')}\n`;
}

async function measureChanges(
  fleet: BenchFleet,
  latencies: Latencies,
  disturb: (change: number) => Promise<void>,
): Promise<void> {
  for (let change = 0; change < CHANGES; change += 1) {
    await disturb(change);
    const startMs = fleet.clock.monotonicMs();
    await fleet.appendAndTime(rulesOf(fleet.version + 1), latencies);
    const leftMs = CHANGE_INTERVAL_MS - (fleet.clock.monotonicMs() - startMs);
    await fleet.clock.sleep(Math.max(0, leftMs));
  }
}

/** Replaces one node in twenty, spread over the changes. */
function restarting(fleet: BenchFleet): (change: number) => Promise<void> {
  const hosts = [...fleet.nodes.keys()];
  const count = Math.max(1, Math.round(hosts.length * RESTARTED_SHARE));
  const every = Math.floor(CHANGES / count);
  return async (change) => {
    const host = hosts[change * 7];
    if (change % Math.max(1, every) !== 0 || host === undefined) {
      return;
    }
    const node = fleet.nodes.get(host);
    const zone = node?.services.settings.zone;
    if (node !== undefined && zone !== undefined) {
      fleet.nodes.delete(host);
      await node.stop();
      const added = await fleet.add({ host, zone });
      await fleet.until(() => added.services.versionStore.state !== undefined);
    }
  };
}

async function measureFleet(
  options: BenchOptions,
  nodes: number,
  zoneDelayMs: number,
): Promise<Measured> {
  const fleet = new BenchFleet({ ...options, nodes, zoneDelayMs });
  await fleet.start();
  const { clock } = fleet;
  await fleet.append(rulesOf(0));
  await clock.sleep(IDLE_MS / 2);
  const linkEnds = [...fleet.nodes.values()].reduce(
    (total, { services }) => total + services.linkTable.open().length,
    0,
  );
  const idle = { bytes: loopbackBytes(), cpu: process.cpuUsage(), atMs: clock.monotonicMs() };
  await clock.sleep(IDLE_MS);
  const idleSeconds = (clock.monotonicMs() - idle.atMs) / MS_PER_SECOND;
  const idleBytes = loopbackBytes() - idle.bytes;
  const idleCpu = process.cpuUsage(idle.cpu);
  const readsBefore = fleet.log.counters.reads;
  const busy = { bytes: loopbackBytes(), cpu: process.cpuUsage(), atMs: clock.monotonicMs() };
  const calm = new Latencies();
  await measureChanges(fleet, calm, async () => undefined);
  const busySeconds = (clock.monotonicMs() - busy.atMs) / MS_PER_SECOND;
  const busyBytes = loopbackBytes() - busy.bytes - (idleBytes / idleSeconds) * busySeconds;
  const busyCpu = process.cpuUsage(busy.cpu);
  const idleCpuMicros = idleCpu.user + idleCpu.system;
  const changeCpuMicros =
    busyCpu.user + busyCpu.system - (idleCpuMicros / idleSeconds) * busySeconds;
  const sourceReads = fleet.log.counters.reads - readsBefore;
  const memoryMb = process.memoryUsage().rss / BYTES_PER_MB;
  const disturbed = new Latencies();
  await measureChanges(fleet, disturbed, restarting(fleet));
  await fleet.stop();
  return {
    nodes,
    linkEnds,
    calm,
    restarting: disturbed,
    // Each byte is sent by one node and received by another.
    idleBytesPerSecond: (2 * idleBytes) / idleSeconds / nodes,
    bytesPerChange: (2 * busyBytes) / CHANGES / nodes,
    idleCpuPercent: (idleCpuMicros / MICROS_PER_SECOND / idleSeconds / nodes) * 100,
    cpuMsPerChange: changeCpuMicros / 1_000 / CHANGES / nodes,
    memoryMb,
    sourceReads: sourceReads / CHANGES,
  };
}

function printRow(
  print: (line: string) => void,
  nodes: number,
  delayMs: number,
  measured: Measured,
): void {
  const { calm, restarting: disturbed } = measured;
  const cells = [
    `${nodes} nodes, ${delayMs} ms`,
    `p50 ${round(calm.at(50))} p99 ${round(calm.at(99))} max ${round(calm.mostMs)} ms`,
    `with restarts p99 ${round(disturbed.at(99))} max ${round(disturbed.mostMs)} ms`,
    `idle ${round(measured.idleBytesPerSecond)} B/s`,
    `${round(measured.bytesPerChange)} B/change`,
    `idle CPU ${round(measured.idleCpuPercent)}%`,
    `${round(measured.cpuMsPerChange)} ms CPU/change`,
    `${round(measured.memoryMb)} MB in all`,
    `${round(measured.sourceReads)} reads/change`,
  ];
  print(cells.join(' | '));
}

/** Links of a node at the target's size, from the same topology the nodes use. */
function linksAtTarget(): { mean: number; most: number } {
  const places = Array.from({ length: TARGET_NODES }, (_, index) => ({
    host: `host-${index}`,
    zone: `zone-${index % TARGET_ZONES}`,
  }));
  const ends = new Map<string, number>();
  const count = (host: string): number => ends.set(host, (ends.get(host) ?? 0) + 1).size;
  // Zone links go from each zone to those after it by name: the first zone's nodes have the most.
  const [first] = places;
  const sample = places.filter(({ zone }) => zone === first?.zone);
  sample.forEach((place) =>
    topologyOf(place, places).links.forEach((_, host) => {
      count(place.host);
      count(host);
    }),
  );
  const counts = sample.map(({ host }) => ends.get(host) ?? 0);
  const mean = counts.reduce((sum, links) => sum + links, 0) / counts.length;
  return { mean, most: Math.max(...counts) };
}

async function run(options: BenchOptions, print: (line: string) => void): Promise<BenchResult> {
  const sizes = [options.nodes / 4, options.nodes / 2, options.nodes].map(Math.round);
  const riga: Measured[] = [];
  for (const nodes of sizes) {
    const measured = await measureFleet(options, nodes, RIGA_DELAY_MS);
    printRow(print, nodes, RIGA_DELAY_MS, measured);
    riga.push(measured);
  }
  const muscat = await measureFleet(options, options.nodes, MUSCAT_DELAY_MS);
  printRow(print, options.nodes, MUSCAT_DELAY_MS, muscat);
  const fitOf = (figure: (measured: Measured) => number): ReturnType<typeof fitLine> =>
    fitLine(riga.map((measured) => [measured.nodes, figure(measured)]));
  // What a node sends and receives goes with its links; how many those are follows from the topology.
  const perLink = ({ nodes, linkEnds }: Measured, bytes: number): number =>
    (bytes * nodes) / linkEnds;
  const idleOf = (measured: Measured): number => perLink(measured, measured.idleBytesPerSecond);
  const changeOf = (measured: Measured): number => perLink(measured, measured.bytesPerChange);
  const idle = fitOf(idleOf);
  const change = fitOf(changeOf);
  const memory = fitOf(({ memoryMb }) => memoryMb);
  const reads = fitOf(({ sourceReads }) => sourceReads);
  const links = linksAtTarget();
  const changesPerSecond = TARGET_CHANGES_PER_DAY / SECONDS_PER_DAY;
  const largest = riga.at(-1) as Measured;
  const figures = {
    p50Ms: round(largest.calm.at(50)),
    p99Ms: round(largest.calm.at(99)),
    maxMs: round(Math.max(largest.calm.mostMs, muscat.calm.mostMs)),
    restartP99Ms: round(largest.restarting.at(99)),
    restartMaxMs: round(Math.max(largest.restarting.mostMs, muscat.restarting.mostMs)),
    muscatP99Ms: round(muscat.calm.at(99)),
    idleBytesPerLink: round(idleOf(largest)),
    idleBytesPerLinkSlope: round(idle.slope),
    idleResidual: round(idle.residual),
    changeBytesPerLink: round(changeOf(largest)),
    changeBytesPerLinkSlope: round(change.slope),
    changeResidual: round(change.residual),
    targetMeanLinks: round(links.mean),
    targetMostLinks: links.most,
    targetMeanBytesPerSecond: round(
      links.mean * (idleOf(largest) + changeOf(largest) * changesPerSecond),
    ),
    targetMostBytesPerSecond: round(
      links.most * (idleOf(largest) + changeOf(largest) * changesPerSecond),
    ),
    targetPeakMostBytesPerSecond: round(
      links.most * (idleOf(largest) + changeOf(largest) * changesPerSecond * PEAK_FACTOR),
    ),
    idleCpuPercent: round(largest.idleCpuPercent),
    cpuMsPerChange: round(largest.cpuMsPerChange),
    targetPeakCpuPercent: round(
      largest.idleCpuPercent +
        (largest.cpuMsPerChange * changesPerSecond * PEAK_FACTOR * 100) / MS_PER_SECOND,
    ),
    memoryMbPerNode: round(memory.slope),
    sourceReadsPerChange: round(largest.sourceReads),
    sourceReadsSlope: round(reads.slope),
  };
  return {
    sizes,
    figures,
    bounds: [
      { figure: 'p99Ms', most: GOAL_P99_MS + RIGA_DELAY_MS },
      { figure: 'muscatP99Ms', most: GOAL_P99_MS + MUSCAT_DELAY_MS },
      { figure: 'maxMs', most: IN_FORCE_MS },
      { figure: 'restartMaxMs', most: IN_FORCE_MS },
      { figure: 'targetMeanBytesPerSecond', most: BYTES_PER_SECOND },
      { figure: 'targetMostBytesPerSecond', most: BYTES_PER_SECOND },
      { figure: 'targetPeakMostBytesPerSecond', most: BYTES_PER_SECOND },
      { figure: 'targetPeakCpuPercent', most: CPU_PERCENT },
      { figure: 'memoryMbPerNode', most: MEMORY_MB },
    ],
  };
}

/** The benchmark of spreading. */
export const convergence: Bench = {
  description: 'publication to enforced on every node; bytes, processor time and memory of control',
  run,
};
