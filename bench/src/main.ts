/**
 * Runs one benchmark. Prints its table and, as the last line, a JSON object with its figures and bounds.
 * Exits with 1 where a figure is missing or exceeds its bound, and with 2 where the benchmark is unknown.
 */
import { parseArgs } from 'node:util';
import { addedLatencyBenchmark } from './addedLatency.js';
import { balanceBenchmark } from './balance.js';
import type { Benchmark } from './benchmark.js';
import { findExceededBounds } from './benchmark.js';
import { convergenceBenchmark } from './convergence.js';
import { failureBenchmarks } from './failures.js';
import { overloadBenchmark } from './overload.js';
import { rulesBenchmark } from './rules.js';
import { spreadingBenchmark } from './spreading.js';
import { callOutcomesBenchmark } from './callOutcomes.js';

const EXIT_BOUND_EXCEEDED = 1;
const EXIT_USAGE = 2;

const benchmarks: Readonly<Record<string, Benchmark>> = {
  'added-latency': addedLatencyBenchmark,
  balance: balanceBenchmark,
  convergence: convergenceBenchmark,
  faults: callOutcomesBenchmark,
  overload: overloadBenchmark,
  rules: rulesBenchmark,
  spreading: spreadingBenchmark,
  ...failureBenchmarks,
};

const { positionals, values } = parseArgs({
  allowPositionals: true,
  options: {
    nodes: { type: 'string', default: '200' },
    zones: { type: 'string', default: '4' },
    seed: { type: 'string', default: '1' },
    json: { type: 'boolean', default: false },
  },
});

const [name = ''] = positionals;
const benchmark = benchmarks[name];
if (benchmark === undefined) {
  const list = Object.entries(benchmarks).map(
    ([key, { description }]) => `  ${key}: ${description}`,
  );
  console.error(`unknown benchmark "${name}"; choose one of\n${list.join('\n')}`);
  // eslint-disable-next-line n/no-process-exit -- no server, timer or child process is running yet
  process.exit(EXIT_USAGE);
}
const options = {
  nodes: Number(values.nodes),
  zones: Number(values.zones),
  seed: Number(values.seed),
};
const result = await benchmark.run(options, (line) => {
  if (!values.json) {
    console.log(line);
  }
});
const exceededBounds = findExceededBounds(result);
exceededBounds.forEach(({ figure, most }) =>
  console.error(`${figure} is missing or exceeds its bound of ${most}`),
);
const held = exceededBounds.length === 0;
console.log(JSON.stringify({ bench: name, seed: options.seed, ...result, held }));
// eslint-disable-next-line n/no-process-exit -- open handles must not keep the process running
process.exit(held ? 0 : EXIT_BOUND_EXCEEDED);
