/** Measures how long a change takes to reach every node, and the cost of the control plane per node. */
import { computeTopology } from 'lentillb';
import type { Benchmark, BenchmarkOptions, BenchmarkResult } from './benchmark.js';
import { fitLine, round } from './benchmark.js';
import { InProcessFleet, loopbackBytes } from './inProcessFleet.js';
import { LatencyHistogram } from './latencyHistogram.js';

const CHANGES = 100;
const CHANGE_INTERVAL_MS = 100;
const IDLE_MEASUREMENT_MS = 10_000;
/** The fraction of the nodes to restart while changes are measured. */
const RESTARTED_SHARE = 0.05;
/** One-way delays between the availability zones of the Muscat and Riga regions. */
const MUSCAT_DELAY_MS = 0.5;
const RIGA_DELAY_MS = 1.5;
const MICROS_PER_SECOND = 1_000_000;
const MS_PER_SECOND = 1_000;
const SECONDS_PER_DAY = 86_400;

/** The size of the target deployment and the limits it sets. */
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
  /** The number of open links, each counted at both ends. */
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

/** Creates a rule file with 200 services, one of which differs between versions. */
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

/**
 * Returns a callback that restarts a node before some of the changes, at regular intervals.
 * An index past the end of the list of hosts restarts none.
 */
function nodeRestarter(fleet: InProcessFleet): (change: number) => Promise<void> {
  const hosts = [...fleet.nodes.keys()];
  const restarts = Math.max(1, Math.round(hosts.length * RESTARTED_SHARE));
  const changesPerRestart = Math.floor(CHANGES / restarts);
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
      const restartedNode = await fleet.add({ host, zone });
      await fleet.waitUntil(() => restartedNode.services.versionStore.state !== undefined);
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
  const idleStart = { bytes: loopbackBytes(), cpu: process.cpuUsage(), atMs: clock.monotonicMs() };
  await clock.sleep(IDLE_MEASUREMENT_MS);
  const idleSeconds = (clock.monotonicMs() - idleStart.atMs) / MS_PER_SECOND;
  const idleBytes = loopbackBytes() - idleStart.bytes;
  const idleCpu = process.cpuUsage(idleStart.cpu);
  const readsBefore = fleet.log.counters.reads;
  const changesStart = {
    bytes: loopbackBytes(),
    cpu: process.cpuUsage(),
    atMs: clock.monotonicMs(),
  };
  const steadyLatencies = new LatencyHistogram();
  await measureChanges(fleet, steadyLatencies, async () => undefined);
  const changesSeconds = (clock.monotonicMs() - changesStart.atMs) / MS_PER_SECOND;
  const changesBytes =
    loopbackBytes() - changesStart.bytes - (idleBytes / idleSeconds) * changesSeconds;
  const changesCpu = process.cpuUsage(changesStart.cpu);
  const idleCpuMicros = idleCpu.user + idleCpu.system;
  const changesCpuMicros =
    changesCpu.user + changesCpu.system - (idleCpuMicros / idleSeconds) * changesSeconds;
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
    // Each byte counts twice: one node sends it and another receives it.
    idleBytesPerSecond: (2 * idleBytes) / idleSeconds / nodes,
    bytesPerChange: (2 * changesBytes) / CHANGES / nodes,
    idleCpuPercent: (idleCpuMicros / MICROS_PER_SECOND / idleSeconds / nodes) * 100,
    cpuMsPerChange: changesCpuMicros / 1_000 / CHANGES / nodes,
    memoryMb,
    sourceReads: sourceReads / CHANGES,
  };
}

function printRow(
  print: (line: string) => void,
  nodes: number,
  delayMs: number,
  measurement: Measurement,
): void {
  const { steadyLatencies, restartLatencies } = measurement;
  const cells = [
    `${nodes} nodes, ${delayMs} ms`,
    `p50 ${round(steadyLatencies.percentileMs(50))} p99 ${round(steadyLatencies.percentileMs(99))} max ${round(steadyLatencies.maxMs)} ms`,
    `with restarts p99 ${round(restartLatencies.percentileMs(99))} max ${round(restartLatencies.maxMs)} ms`,
    `idle ${round(measurement.idleBytesPerSecond)} B/s`,
    `${round(measurement.bytesPerChange)} B/change`,
    `idle CPU ${round(measurement.idleCpuPercent)}%`,
    `${round(measurement.cpuMsPerChange)} ms CPU/change`,
    `${round(measurement.memoryMb)} MB in total`,
    `${round(measurement.sourceReads)} reads/change`,
  ];
  print(cells.join(' | '));
}

/** Computes the links of a node at the target size from the topology that the nodes use. */
function computeTargetLinks(): { mean: number; max: number } {
  const places = Array.from({ length: TARGET_NODES }, (_, index) => ({
    host: `host-${index}`,
    zone: `zone-${index % TARGET_ZONES}`,
  }));
  const linkedHosts = new Map<string, number>();
  const addLink = (host: string): number =>
    linkedHosts.set(host, (linkedHosts.get(host) ?? 0) + 1).size;
  // Zone links go from each zone to those after it by name, so nodes of the first zone have the most links.
  const [first] = places;
  const firstZonePlaces = places.filter(({ zone }) => zone === first?.zone);
  firstZonePlaces.forEach((place) =>
    computeTopology(place, places).links.forEach((_, host) => {
      addLink(place.host);
      addLink(host);
    }),
  );
  const counts = firstZonePlaces.map(({ host }) => linkedHosts.get(host) ?? 0);
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
    const measurement = await measureFleet(options, nodes, RIGA_DELAY_MS);
    printRow(print, nodes, RIGA_DELAY_MS, measurement);
    rigaMeasurements.push(measurement);
  }
  const muscatMeasurement = await measureFleet(options, options.nodes, MUSCAT_DELAY_MS);
  printRow(print, options.nodes, MUSCAT_DELAY_MS, muscatMeasurement);
  const fitFigure = (figure: (measurement: Measurement) => number): ReturnType<typeof fitLine> =>
    fitLine(rigaMeasurements.map((measurement) => [measurement.nodes, figure(measurement)]));
  // The traffic of a node is proportional to its links, and their number follows from the topology.
  const perLink = ({ nodes, linkEnds }: Measurement, bytes: number): number =>
    (bytes * nodes) / linkEnds;
  const idleBytesPerLinkOf = (measurement: Measurement): number =>
    perLink(measurement, measurement.idleBytesPerSecond);
  const changeBytesPerLinkOf = (measurement: Measurement): number =>
    perLink(measurement, measurement.bytesPerChange);
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

/** Measures convergence time and the cost of the control plane. */
export const convergenceBenchmark: Benchmark = {
  description:
    'time from publication to enforcement on every node; traffic, CPU time and memory of the control plane',
  run,
};
