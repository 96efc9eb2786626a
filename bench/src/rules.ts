/** Measures the CPU time to apply a version and to look up a route, by the number of rules. */
import { EMPTY_STATE, judgeRecord, parseRuleFile, publishRecordOf, RoutingTable } from 'lentillb';
import type { Benchmark, BenchmarkResult } from './benchmark.js';
import { fitLine, round } from './benchmark.js';

const SIZES = [500, 1_000, 2_000, 4_000];
const ROUNDS = 20;
const ROUTES_PER_SERVICE = 3;
const TARGET_SERVICES = 540;
const TARGET_RULES = TARGET_SERVICES * (ROUTES_PER_SERVICE + 1);
/** The target of 7,800 changes per day. */
const CHANGES_PER_SECOND = 7_800 / 86_400;
const MAX_CPU_PERCENT = 1;
const LOOKUPS = 200_000;
const MAX_LOOKUP_MS = 0.67;

function createRuleFile(count: number, variant: number): string {
  const lines = Array.from({ length: Math.floor(count / (ROUTES_PER_SERVICE + 1)) }, (_, index) => [
    `service s${index} port any slots ${1 + (variant % 9)} connections 64 ramp 0s drain 5s # Bench: ${index}`,
    `route GET /s${index}/items/** to s${index} within 2s repeat priority normal # Bench: read ${index}`,
    `route POST /s${index}/items to s${index} within 5s once priority high # Bench: write ${index}`,
    `route PUT /s${index}/items/* to s${index} within 5s once priority high # Bench: change ${index}`,
  ]).flat();
  return `${lines.join('\n')}\n`;
}

/** Returns the median duration of an action over several rounds, in milliseconds. */
function medianDurationMs(action: (round: number) => void): number {
  const times = Array.from({ length: ROUNDS }, (_, index) => {
    const startMs = performance.now();
    action(index);
    return performance.now() - startMs;
  });
  return times.sort((left, right) => left - right)[Math.floor(ROUNDS / 2)] as number;
}

async function run(_: unknown, print: (line: string) => void): Promise<BenchmarkResult> {
  const applyDurations: [number, number][] = [];
  let lookupMs = 0;
  for (const size of SIZES) {
    const before = createRuleFile(size, 1);
    const firstRecord = publishRecordOf({
      publishId: 'a',
      base: 0,
      author: 'b',
      before: '',
      after: before,
    });
    const state = judgeRecord(EMPTY_STATE, firstRecord, 1, new Date());
    const parseMs = medianDurationMs(() => parseRuleFile(before));
    const applyMs = medianDurationMs((index) => {
      const after = before.replace('slots 2', `slots ${index + 3}`);
      const edit = { publishId: `p${index}`, base: 1, author: 'b', before, after };
      const next = judgeRecord(state, publishRecordOf(edit), 2, new Date());
      return new RoutingTable(next);
    });
    const table = new RoutingTable(state);
    const startMs = performance.now();
    for (let count = 0; count < LOOKUPS; count += 1) {
      table.route('PUT', `/s${count % (size / 4)}/items/17`);
    }
    lookupMs = (performance.now() - startMs) / LOOKUPS;
    applyDurations.push([size, applyMs]);
    print(
      `${size} rules | parse ${round(parseMs)} ms | edit, validate and compile ${round(applyMs)} ms | route lookup ${round(lookupMs * 1_000)} us`,
    );
  }
  const fit = fitLine(applyDurations);
  const targetApplyMs = fit.intercept + fit.slope * TARGET_RULES;
  return {
    sizes: SIZES,
    figures: {
      applyMsPerThousandRules: round(fit.slope * 1_000),
      residual: round(fit.residual),
      targetApplyMs: round(targetApplyMs),
      targetCpuPercent: round((targetApplyMs * CHANGES_PER_SECOND) / 10),
      lookupMs: round(lookupMs),
    },
    bounds: [
      { figure: 'targetCpuPercent', most: MAX_CPU_PERCENT },
      { figure: 'lookupMs', most: MAX_LOOKUP_MS },
    ],
  };
}

/** Measures how the cost of rules grows with their number. */
export const rulesBenchmark: Benchmark = {
  description: 'time to apply a version and to look up a route, by the number of rules',
  run,
};
