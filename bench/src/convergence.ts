/** How long a change takes to every node, and what control costs a node. */
import { topologyOf } from 'lentillb';
import type { Benchmark, BenchmarkOptions, BenchmarkResult } from './benchmark.js';
import { fitLine, round } from './benchmark.js';
import { InProcessFleet, loopbackBytes } from './inProcessFleet.js';
import { LatencyHistogram } from './latencyHistogram.js';

const CHANGES = 100;
const CHANGE_INTERVAL_MS = 100;
const IDLE_MEASUREMENT_MS = 10_000;
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
const MAX_CONVERGENCE_MS = 8_000;
const TARGET_P99_MS = 500;
const MAX_BYTES_PER_SECOND = 2_048;
const MAX_CPU_PERCENT = 1;
const MAX_MEMORY_MB = 256;
const BYTES_PER_MB = 1024 * 1024;

interface Measurement {
  readonly nodes: number;
  /** Open links, counted at both their ends. */
  readonly linkEnds: number;
  readonly steadyLatencies: LatencyHistogram;
  readonly restartLatencies: LatencyHistogram;
  readonly idleBytesPerSecond: number;
  readonly bytesPerChange: number;
  readonly idleCpuPercent: number;
  readonly cpuMsPerChange: number;
  readonly memoryMb: number;
  readonly sourceReads: number;
}

/** Two hundred rules, one of which differs between versions. */
function createRuleFile(version: number): string {
  const services = Array.from(
    { length: 200 },
    (_, index) =>
      `service s${index} port any slots ${index === 0 ? (version % 9) + 1 : 12} connections 64 ramp 0s drain 5s # Bench: rule ${index}`,
  );
  return `${services.join('\n')}\n`;
}

async function measureChanges(
  fleet: InProcessFleet,
  latencies: LatencyHistogram,
  beforeChange: (change: number) => Promise<void>,
): Promise<void> {
  for (let change = 0; change < CHANGES; change += 1) {
    await beforeChange(change);
    const startMs = fleet.clock.monotonicMs();
    await fleet.appendAndMeasure(createRuleFile(fleet.latestVersion + 1), latencies);
    const remainingMs = CHANGE_INTERVAL_MS - (fleet.clock.monotonicMs() - startMs);
    await fleet.clock.sleep(Math.max(0, remainingMs));
  }
}

/** Replaces one node in twenty, spread over the changes. */
function nodeRestarter(fleet: InProcessFleet): (change: number) => Promise<void> {
  const hosts = [...fleet.nodes.keys()];
  const addLink = Math.max(1, Math.round(hosts.length * RESTARTED_SHARE));
  const changesPerRestart = Math.floor(CHANGES / addLink);
  return async (change) => {
    const host = hosts[change * 7];
    if (change % Math.max(1, changesPerRestart) !== 0 || host === undefined) {
      return;
    }
    const node = fleet.nodes.get(host);
    const zone = node?.services.settings.zone;
    if (node !== undefined && zone !== undefined) {
      fleet.nodes.delete(host);
      await node.stop();
      const added = await fleet.add({ host, zone });
      await fleet.waitUntil(() => added.services.versionStore.state !== undefined);
    }
  };
}

async function measureFleet(
  options: BenchmarkOptions,
  nodes: number,
  zoneDelayMs: number,
): Promise<Measurement> {
  const fleet = new InProcessFleet({ ...options, nodes, zoneDelayMs });
  await fleet.start();
  const { clock } = fleet;
  await fleet.append(createRuleFile(0));
  await clock.sleep(IDLE_MEASUREMENT_MS / 2);
  const linkEnds = [...fleet.nodes.values()].reduce(
    (total, { services }) => total + services.linkTable.open().length,
    0,
  );
  const idle = { bytes: loopbackBytes(), cpu: process.cpuUsage(), atMs: clock.monotonicMs() };
  await clock.sleep(IDLE_MEASUREMENT_MS);
  const idleSeconds = (clock.monotonicMs() - idle.atMs) / MS_PER_SECOND;
  const idleBytes = loopbackBytes() - idle.bytes;
  const idleCpu = process.cpuUsage(idle.cpu);
  const readsBefore = fleet.log.counters.reads;
  const busy = { bytes: loopbackBytes(), cpu: process.cpuUsage(), atMs: clock.monotonicMs() };
  const steadyLatencies = new LatencyHistogram();
  await measureChanges(fleet, steadyLatencies, async () => undefined);
  const busySeconds = (clock.monotonicMs() - busy.atMs) / MS_PER_SECOND;
  const busyBytes = loopbackBytes() - busy.bytes - (idleBytes / idleSeconds) * busySeconds;
  const busyCpu = process.cpuUsage(busy.cpu);
  const idleCpuMicros = idleCpu.user + idleCpu.system;
  const changeCpuMicros =
    busyCpu.user + busyCpu.system - (idleCpuMicros / idleSeconds) * busySeconds;
  const sourceReads = fleet.log.counters.reads - readsBefore;
  const memoryMb = process.memoryUsage().rss / BYTES_PER_MB;
  const restartLatencies = new LatencyHistogram();
  await measureChanges(fleet, restartLatencies, nodeRestarter(fleet));
  await fleet.stop();
  return {
    nodes,
    linkEnds,
    steadyLatencies,
    restartLatencies,
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
  measured: Measurement,
): void {
  const { steadyLatencies, restartLatencies } = measured;
  const cells = [
    `${nodes} nodes, ${delayMs} ms`,
    `p50 ${round(steadyLatencies.percentileMs(50))} p99 ${round(steadyLatencies.percentileMs(99))} max ${round(steadyLatencies.maxMs)} ms`,
    `with restarts p99 ${round(restartLatencies.percentileMs(99))} max ${round(restartLatencies.maxMs)} ms`,
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
function computeTargetLinks(): { mean: number; max: number } {
  const places = Array.from({ length: TARGET_NODES }, (_, index) => ({
    host: `host-${index}`,
    zone: `zone-${index % TARGET_ZONES}`,
  }));
  const linkedHosts = new Map<string, number>();
  const addLink = (host: string): number =>
    linkedHosts.set(host, (linkedHosts.get(host) ?? 0) + 1).size;
  // Zone links go from each zone to those after it by name: the first zone's nodes have the most.
  const [first] = places;
  const sample = places.filter(({ zone }) => zone === first?.zone);
  sample.forEach((place) =>
    topologyOf(place, places).links.forEach((_, host) => {
      addLink(place.host);
      addLink(host);
    }),
  );
  const counts = sample.map(({ host }) => linkedHosts.get(host) ?? 0);
  const mean = counts.reduce((sum, links) => sum + links, 0) / counts.length;
  return { mean, max: Math.max(...counts) };
}

async function run(
  options: BenchmarkOptions,
  print: (line: string) => void,
): Promise<BenchmarkResult> {
  const sizes = [options.nodes / 4, options.nodes / 2, options.nodes].map(Math.round);
  const rigaMeasurements: Measurement[] = [];
  for (const nodes of sizes) {
    const measured = await measureFleet(options, nodes, RIGA_DELAY_MS);
    printRow(print, nodes, RIGA_DELAY_MS, measured);
    rigaMeasurements.push(measured);
  }
  const muscatMeasurement = await measureFleet(options, options.nodes, MUSCAT_DELAY_MS);
  printRow(print, options.nodes, MUSCAT_DELAY_MS, muscatMeasurement);
  const fitFigure = (figure: (measured: Measurement) => number): ReturnType<typeof fitLine> =>
    fitLine(rigaMeasurements.map((measured) => [measured.nodes, figure(measured)]));
  // What a node sends and receives goes with its links; how many those are follows from the topology.
  const perLink = ({ nodes, linkEnds }: Measurement, bytes: number): number =>
    (bytes * nodes) / linkEnds;
  const idleBytesPerLinkOf = (measured: Measurement): number =>
    perLink(measured, measured.idleBytesPerSecond);
  const changeBytesPerLinkOf = (measured: Measurement): number =>
    perLink(measured, measured.bytesPerChange);
  const idleFit = fitFigure(idleBytesPerLinkOf);
  const changeFit = fitFigure(changeBytesPerLinkOf);
  const memoryFit = fitFigure(({ memoryMb }) => memoryMb);
  const readsFit = fitFigure(({ sourceReads }) => sourceReads);
  const targetLinks = computeTargetLinks();
  const changesPerSecond = TARGET_CHANGES_PER_DAY / SECONDS_PER_DAY;
  const largest = rigaMeasurements.at(-1) as Measurement;
  const figures = {
    p50Ms: round(largest.steadyLatencies.percentileMs(50)),
    p99Ms: round(largest.steadyLatencies.percentileMs(99)),
    maxMs: round(Math.max(largest.steadyLatencies.maxMs, muscatMeasurement.steadyLatencies.maxMs)),
    restartP99Ms: round(largest.restartLatencies.percentileMs(99)),
    restartMaxMs: round(
      Math.max(largest.restartLatencies.maxMs, muscatMeasurement.restartLatencies.maxMs),
    ),
    muscatP99Ms: round(muscatMeasurement.steadyLatencies.percentileMs(99)),
    idleBytesPerLink: round(idleBytesPerLinkOf(largest)),
    idleBytesPerLinkSlope: round(idleFit.slope),
    idleResidual: round(idleFit.residual),
    changeBytesPerLink: round(changeBytesPerLinkOf(largest)),
    changeBytesPerLinkSlope: round(changeFit.slope),
    changeResidual: round(changeFit.residual),
    targetMeanLinks: round(targetLinks.mean),
    targetMostLinks: targetLinks.max,
    targetMeanBytesPerSecond: round(
      targetLinks.mean *
        (idleBytesPerLinkOf(largest) + changeBytesPerLinkOf(largest) * changesPerSecond),
    ),
    targetMostBytesPerSecond: round(
      targetLinks.max *
        (idleBytesPerLinkOf(largest) + changeBytesPerLinkOf(largest) * changesPerSecond),
    ),
    targetPeakMostBytesPerSecond: round(
      targetLinks.max *
        (idleBytesPerLinkOf(largest) +
          changeBytesPerLinkOf(largest) * changesPerSecond * PEAK_FACTOR),
    ),
    idleCpuPercent: round(largest.idleCpuPercent),
    cpuMsPerChange: round(largest.cpuMsPerChange),
    targetPeakCpuPercent: round(
      largest.idleCpuPercent +
        (largest.cpuMsPerChange * changesPerSecond * PEAK_FACTOR * 100) / MS_PER_SECOND,
    ),
    memoryMbPerNode: round(memoryFit.slope),
    sourceReadsPerChange: round(largest.sourceReads),
    sourceReadsSlope: round(readsFit.slope),
  };
  return {
    sizes,
    figures,
    bounds: [
      { figure: 'p99Ms', most: TARGET_P99_MS + RIGA_DELAY_MS },
      { figure: 'muscatP99Ms', most: TARGET_P99_MS + MUSCAT_DELAY_MS },
      { figure: 'maxMs', most: MAX_CONVERGENCE_MS },
      { figure: 'restartMaxMs', most: MAX_CONVERGENCE_MS },
      { figure: 'targetMeanBytesPerSecond', most: MAX_BYTES_PER_SECOND },
      { figure: 'targetMostBytesPerSecond', most: MAX_BYTES_PER_SECOND },
      { figure: 'targetPeakMostBytesPerSecond', most: MAX_BYTES_PER_SECOND },
      { figure: 'targetPeakCpuPercent', most: MAX_CPU_PERCENT },
      { figure: 'memoryMbPerNode', most: MAX_MEMORY_MB },
    ],
  };
}

/** The benchmark of spreading. */
export const convergenceBenchmark: Benchmark = {
  description: 'publication to enforced on every node; bytes, processor time and memory of control',
  run,
};
