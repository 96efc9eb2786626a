/** Collects the reports of all gates about one rollout order. */
import type { Clock } from '../kernel/clock.js';
import type { EvidenceReport, RouteEvidence } from './evidence.js';
import { NO_ROUTE_EVIDENCE } from './evidence.js';

/** The answers of all gates of one version. */
export interface VersionEvidence {
  readonly answers: number;
  readonly bad: number;
  readonly routes: ReadonlyMap<number, RouteEvidence>;
}

/** A report and when it arrived, in milliseconds of the monotonic clock. */
interface ReceivedReport {
  readonly report: EvidenceReport;
  readonly atMs: number;
}

/** The answers of a version at a time, in milliseconds of the monotonic clock. */
interface Snapshot {
  readonly atMs: number;
  readonly evidence: VersionEvidence;
}

/** How much the times of answers differ. */
export interface TimeSpread {
  readonly answers: number;
  /** The variance of the natural logarithms of the times. */
  readonly variance: number;
}

/** The state of a gate as it reported it last. */
export interface ReportedGate extends ReceivedReport {
  readonly host: string;
}

/** The time over which recent answers are compared with those before, in milliseconds. */
const RECENT_MS = 3_000;
/** The fewest answers of a gate on a route that say something about its mean time. */
const MIN_ANSWERS_OF_GATE = 5;

function addRoute(
  sum: Omit<RouteEvidence, 'routeHash'> | undefined,
  route: RouteEvidence,
  sign = 1,
): RouteEvidence {
  const before = sum ?? NO_ROUTE_EVIDENCE;
  return {
    routeHash: route.routeHash,
    answers: before.answers + sign * route.answers,
    bad: before.bad + sign * route.bad,
    totalMs: before.totalMs + sign * route.totalMs,
    logSum: before.logSum + sign * route.logSum,
    logSquares: before.logSquares + sign * route.logSquares,
  };
}

function sumOf(reports: readonly EvidenceReport[]): VersionEvidence {
  const routes = new Map<number, RouteEvidence>();
  reports
    .flatMap((report) => report.routes)
    .forEach((route) => routes.set(route.routeHash, addRoute(routes.get(route.routeHash), route)));
  return {
    answers: reports.reduce((total, { answers }) => total + answers, 0),
    bad: reports.reduce((total, { bad }) => total + bad, 0),
    routes,
  };
}

function subtract(later: VersionEvidence, earlier: VersionEvidence): VersionEvidence {
  const routes = new Map(later.routes);
  earlier.routes.forEach((route, hash) => routes.set(hash, addRoute(routes.get(hash), route, -1)));
  return { answers: later.answers - earlier.answers, bad: later.bad - earlier.bad, routes };
}

/** The evidence about one rollout order. Reports count from when their gates learnt of it. */
export class EvidenceLedger {
  private readonly reportsByRun = new Map<string, ReceivedReport>();

  /** The totals of each version at earlier times, oldest first. */
  private readonly snapshots = new Map<string, readonly Snapshot[]>();

  /** @param clock - the clock by which evidence is recent */
  constructor(private readonly clock: Clock) {}

  /** @param report - a report of a gate; one with fewer answers than before was overtaken */
  accept(report: EvidenceReport): void {
    const key = `${report.host} ${report.run}`;
    const known = this.reportsByRun.get(key)?.report;
    if (known === undefined || report.answers >= known.answers) {
      this.reportsByRun.set(key, { report, atMs: this.clock.monotonicMs() });
    }
  }

  /**
   * @param version - a version
   * @returns the answers of all its gates, also of those that were lost since
   */
  of(version: string): VersionEvidence {
    return sumOf(this.reportsOf(version));
  }

  /**
   * @param version - a version
   * @returns whether a gate of the version has stopped because of bad answers
   */
  hasStoppedGate(version: string): boolean {
    return this.reportsOf(version).some(({ stopped }) => stopped);
  }

  /**
   * Returns the answers of the last seconds. A version may turn bad late, and many good answers before
   * would hide it.
   *
   * @param version - a version
   * @returns the recent answers of all its gates
   */
  recentOf(version: string): VersionEvidence {
    const atMs = this.clock.monotonicMs();
    const evidence = this.of(version);
    const snapshots = [...(this.snapshots.get(version) ?? []), { atMs, evidence }];
    const recent = snapshots.filter((one) => atMs - one.atMs <= RECENT_MS);
    const kept = [...snapshots.slice(0, -recent.length).slice(-1), ...recent];
    this.snapshots.set(version, kept);
    return subtract(evidence, kept[0]?.evidence ?? evidence);
  }

  /**
   * Returns the typical mean time of a route: the median over the gates, which a few slow backend
   * servers do not change.
   *
   * @param version - a version
   * @param routeHash - the hash of the route
   * @returns the mean time, in milliseconds; undefined if too little is known
   */
  typicalMsOf(version: string, routeHash: number): number | undefined {
    const means = this.reportsOf(version)
      .flatMap(({ routes }) => routes.filter((route) => route.routeHash === routeHash))
      .filter(({ answers }) => answers >= MIN_ANSWERS_OF_GATE)
      .map(({ answers, totalMs }) => totalMs / answers)
      .sort((left, right) => left - right);
    return means[Math.floor(means.length / 2)];
  }

  /**
   * Returns how much the times of the answers of a route differ at the same gate. Unlike the mean, this
   * does not depend on the speed of the machines.
   *
   * @param version - a version
   * @param routeHash - the hash of the route; by default, all routes are taken together
   * @returns the variance of the logarithms of the times, and the number of answers it was taken from
   */
  spreadOf(version: string, routeHash?: number): TimeSpread {
    const cells = this.reportsOf(version)
      .flatMap(({ routes }) => routes)
      .filter((route) => routeHash === undefined || route.routeHash === routeHash)
      .filter(({ answers }) => answers > 1);
    const answers = cells.reduce((total, cell) => total + cell.answers - 1, 0);
    const squares = cells.reduce(
      (total, cell) => total + cell.logSquares - (cell.logSum * cell.logSum) / cell.answers,
      0,
    );
    return { answers, variance: answers === 0 ? 0 : squares / answers };
  }

  /**
   * @param maxAgeMs - the age of a recent report, in milliseconds
   * @returns the number of hosts with a recent report
   */
  countReporting(maxAgeMs: number): number {
    const sinceMs = this.clock.monotonicMs() - maxAgeMs;
    const recent = [...this.reportsByRun.values()].filter(({ atMs }) => atMs >= sinceMs);
    return new Set(recent.map(({ report }) => report.host)).size;
  }

  /**
   * @param version - a version
   * @returns the last report of each host with the version
   */
  gatesOf(version: string): readonly ReportedGate[] {
    const byHost = new Map<string, ReportedGate>();
    this.reportsByRun.forEach((received) => {
      const { host } = received.report;
      const known = byHost.get(host);
      if (
        received.report.version === version &&
        (known === undefined || received.atMs >= known.atMs)
      ) {
        byHost.set(host, { ...received, host });
      }
    });
    return [...byHost.values()];
  }

  private reportsOf(version: string): readonly EvidenceReport[] {
    return [...this.reportsByRun.values()].flatMap(({ report }) =>
      report.version === version ? [report] : [],
    );
  }
}
