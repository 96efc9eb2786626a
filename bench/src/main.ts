/** Runs one benchmark and ends with one JSON object. */
import { parseArgs } from 'node:util';
import { addedLatency } from './addedLatency.js';
import { balance } from './balance.js';
import type { Bench } from './benchmark.js';
import { brokenBounds } from './benchmark.js';
import { convergence } from './convergence.js';
import { faultBenches } from './failures.js';
import { overloadBench } from './overload.js';
import { rules } from './rules.js';
import { spreading } from './spreading.js';
import { truthBench } from './callOutcomes.js';

const EXIT_BROKEN = 1;
const EXIT_USAGE = 2;

const benches: Readonly<Record<string, Bench>> = {
  'added-latency': addedLatency,
  balance,
  convergence,
  faults: truthBench,
  overload: overloadBench,
  rules,
  spreading,
  ...faultBenches,
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
const bench = benches[name];
if (bench === undefined) {
  const list = Object.entries(benches).map(([key, { description }]) => `  ${key}: ${description}`);
  console.error(`unknown benchmark "${name}"; choose one of\n${list.join('\n')}`);
  // eslint-disable-next-line n/no-process-exit -- nothing has been started
  process.exit(EXIT_USAGE);
}
const options = {
  nodes: Number(values.nodes),
  zones: Number(values.zones),
  seed: Number(values.seed),
};
const result = await bench.run(options, (line) => {
  if (!values.json) {
    console.log(line);
  }
});
const broken = brokenBounds(result);
broken.forEach(({ figure, most }) => console.error(`${figure} is over its bound of ${most}`));
const held = broken.length === 0;
console.log(JSON.stringify({ bench: name, seed: options.seed, ...result, held }));
// eslint-disable-next-line n/no-process-exit -- nothing may keep a finished benchmark alive
process.exit(held ? 0 : EXIT_BROKEN);
