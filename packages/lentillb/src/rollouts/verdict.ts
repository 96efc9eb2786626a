/** Judges the target version of a rollout by the answers of both versions. */
import type { RouteEvidence } from './evidence.js';
import { NO_ROUTE_EVIDENCE } from './evidence.js';
import type { EvidenceLedger, TimeSpread, VersionEvidence } from './evidenceLedger.js';

/** The judgements of a target version. */
export const Verdict = {
  /** It fails or is slow, more than chance explains. */
  Bad: 'bad',
  /** Nothing speaks against it, but too little is known. */
  Unclear: 'unclear',
  /** Nothing speaks against it after a few answers. */
  Plausible: 'plausible',
  /** Nothing speaks against it after enough answers on every route. */
  Good: 'good',
  /** Nothing speaks against it after so many answers that more would hardly change the verdict. */
  Certain: 'certain',
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** The fewest bad answers by which a version is bad. */
const MIN_BAD_ANSWERS = 8;
/** The fewest bad answers by which a version is bad if one of its gates has stopped. */
const MIN_BAD_ANSWERS_OF_STOP = 5;
/** The share of bad answers beyond that of the base version by which a version is bad. */
const MAX_BAD_DIFFERENCE = 0.1;
/** The fewest answers on a route by which a version is slow. */
const MIN_TIMED_ANSWERS = 20;
/** The ratio of the mean times by which a version is slow, after very many answers. */
const MAX_TIME_RATIO = 2.5;
/**
 * Added to the ratio, divided by the square root of the number of answers. Service times have a standard
 * deviation of 1.3 of their mean, and a good version may run on servers of half the typical speed, so its
 * ratio after 20 answers is 2 with a standard deviation of 0.6; the limit is 4.1 then.
 */
const TIME_RATIO_CHANCE = 7;
/** The same for recent answers, which are compared many times in a rollout. */
const RECENT_TIME_RATIO_CHANCE = 10;
/**
 * The difference of the variances of logarithmic times by which a version is slow at times. Half of its
 * answers taking 8 times as long add 1.08.
 */
const MAX_SPREAD_DIFFERENCE = 0.45;
/**
 * Added to the difference, divided by the square root of the number of answers: 4 standard deviations of
 * the variance of log-normal times with a spread of 0.8. More for each route, since there are many, and
 * single answers that take very long weigh more.
 */
const SPREAD_CHANCE = 2.5;
const ROUTE_SPREAD_CHANCE = 4;
/** The fewest answers on a route by which a version is slow at times. */
const MIN_ROUTE_SPREAD_ANSWERS = 40;
/** The fewest answers of a good version, over all routes and on each route. */
const MIN_ANSWERS = 20;
const MIN_ROUTE_ANSWERS = 3;
/** The answers after which a version that fails or is slow has most likely been found out. */
const CERTAIN_ANSWERS = 100;
/** The share of a route in the answers of the base version from which on the route is required. */
const MIN_ROUTE_SHARE = 0.05;
/** The fewest answers after which a version is plausible. */
const MIN_PLAUSIBLE_ANSWERS = 3;

type AnswerCount = Pick<RouteEvidence, 'answers' | 'bad'>;

const NO_ANSWERS: AnswerCount = { answers: 0, bad: 0 };

function badShare({ answers, bad }: AnswerCount): number {
  return answers === 0 ? 0 : bad / answers;
}

function worseOf<Count extends AnswerCount>(left: Count, right: Count): Count {
  return badShare(right) > badShare(left) ? right : left;
}

function failsMore(target: AnswerCount, base: AnswerCount, hasStopped: boolean): boolean {
  const limit = badShare(base) + MAX_BAD_DIFFERENCE;
  const chance = 1 / Math.sqrt(Math.max(1, target.answers));
  return (
    (target.bad >= MIN_BAD_ANSWERS && badShare(target) > limit + chance) ||
    (hasStopped && target.bad >= MIN_BAD_ANSWERS_OF_STOP && badShare(target) > limit)
  );
}

function isSlow(
  { answers, totalMs }: RouteEvidence,
  typicalMs: number | undefined,
  chance: number,
): boolean {
  const limit = MAX_TIME_RATIO + chance / Math.sqrt(answers);
  return (
    typicalMs !== undefined && answers >= MIN_TIMED_ANSWERS && totalMs / answers > typicalMs * limit
  );
}

/** Whether some answers take much longer than others of the same gate, more than at the base version. */
function isSlowAtTimes(
  target: TimeSpread,
  base: TimeSpread,
  { chance, minAnswers }: { readonly chance: number; readonly minAnswers: number },
): boolean {
  const limit = MAX_SPREAD_DIFFERENCE + chance / Math.sqrt(target.answers);
  return (
    target.answers >= minAnswers &&
    base.answers >= minAnswers &&
    target.variance > base.variance + limit
  );
}

/** Compares the times of all routes together, which shows a slow version sooner than each route alone. */
function sumOfTimes(
  routes: readonly RouteEvidence[],
  typicalMsOf: (routeHash: number) => number | undefined,
): { readonly sum: RouteEvidence; readonly typicalMs: number | undefined } {
  const sum = { ...NO_ROUTE_EVIDENCE, routeHash: 0 };
  let typicalTotalMs = 0;
  routes.forEach(({ answers, routeHash, totalMs }) => {
    const typicalMs = typicalMsOf(routeHash);
    if (typicalMs !== undefined) {
      sum.answers += answers;
      sum.totalMs += totalMs;
      typicalTotalMs += answers * typicalMs;
    }
  });
  return { sum, typicalMs: sum.answers === 0 ? undefined : typicalTotalMs / sum.answers };
}

/** The versions that a rollout compares. */
export interface ComparedVersions {
  readonly baseVersion: string;
  readonly targetVersion: string;
}

/**
 * Judges the target version, by all answers so far and by the recent ones.
 *
 * @param ledger - the evidence
 * @param versions - the versions to compare
 * @returns the verdict
 */
export function judge(
  ledger: EvidenceLedger,
  { baseVersion, targetVersion }: ComparedVersions,
): Verdict {
  const base = ledger.of(baseVersion);
  const target = ledger.of(targetVersion);
  const hasStopped = ledger.hasStoppedGate(targetVersion);
  const typicalMsOf = (routeHash: number): number | undefined =>
    ledger.typicalMsOf(baseVersion, routeHash);
  const isSlowInSum = (evidence: VersionEvidence, chance: number): boolean => {
    const { sum, typicalMs } = sumOfTimes([...evidence.routes.values()], typicalMsOf);
    return isSlow(sum, typicalMs, chance);
  };
  const isBadBy = (evidence: VersionEvidence, compared: VersionEvidence, chance: number): boolean =>
    failsMore(evidence, compared, hasStopped) ||
    isSlowInSum(evidence, chance) ||
    [...evidence.routes.values()].some((route) => {
      const { routeHash } = route;
      const ofRoute = worseOf(
        base.routes.get(routeHash) ?? NO_ANSWERS,
        compared.routes.get(routeHash) ?? NO_ANSWERS,
      );
      return failsMore(route, ofRoute, hasStopped) || isSlow(route, typicalMsOf(routeHash), chance);
    });
  const hasSpreadOf = (routeHash: number | undefined): boolean =>
    isSlowAtTimes(
      ledger.spreadOf(targetVersion, routeHash),
      ledger.spreadOf(baseVersion, routeHash),
      routeHash === undefined
        ? { chance: SPREAD_CHANCE, minAnswers: MIN_TIMED_ANSWERS }
        : { chance: ROUTE_SPREAD_CHANCE, minAnswers: MIN_ROUTE_SPREAD_ANSWERS },
    );
  // What makes requests fail everywhere for a while must not count against the target version alone.
  const compared = worseOf(base, ledger.recentOf(baseVersion));
  const recent = ledger.recentOf(targetVersion);
  if (
    [undefined, ...target.routes.keys()].some(hasSpreadOf) ||
    isBadBy(target, base, TIME_RATIO_CHANCE) ||
    isBadBy(recent, compared, RECENT_TIME_RATIO_CHANCE)
  ) {
    return Verdict.Bad;
  }
  // Too few bad answers for a verdict do not make a version good.
  if (badShare(target) > badShare(base) + MAX_BAD_DIFFERENCE) {
    return Verdict.Unclear;
  }
  const isCovered = [...base.routes.values()]
    .filter(({ answers }) => answers >= base.answers * MIN_ROUTE_SHARE)
    .every(({ routeHash }) => (target.routes.get(routeHash)?.answers ?? 0) >= MIN_ROUTE_ANSWERS);
  if (target.answers >= MIN_ANSWERS && isCovered) {
    return target.answers >= CERTAIN_ANSWERS ? Verdict.Certain : Verdict.Good;
  }
  return target.answers >= MIN_PLAUSIBLE_ANSWERS ? Verdict.Plausible : Verdict.Unclear;
}
