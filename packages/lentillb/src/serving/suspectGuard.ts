/** Keeps requests away from backend servers that would end under them, and reports what it sees. */
import type { AnnouncedInterruptedRun, Announcement } from '../directory/announcement.js';
import type { InterruptedRun, SuspectReport } from '../directory/suspectReport.js';
import { ReportSource, SuspectReportKind } from '../directory/suspectReport.js';
import type { Clock } from '../kernel/clock.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import { hash32 } from '../utils/hash.js';
import type { Heartbeat } from './localBackendServer.js';
import type { ForwardedRequest } from './messages.js';
import { hashContent, hashTarget } from './requestContent.js';
import type { SuspectJudgement, SuspectRequests } from './suspectRequests.js';
import { ALLOWED, SuspectVerdict } from './suspectRequests.js';

/** The maximum number of ends that a host announces, to bound the size of its announcement. */
const MAX_ANNOUNCED_RUNS = 16;

/** The services that the guard depends on. */
export interface SuspectGuardServices {
  readonly clock: Clock;
  readonly suspects: SuspectRequests;
  readonly log: DecisionLog;
  /** Tells other nodes. */
  readonly report: (report: SuspectReport, source: ReportSource) => void;
  /** Called when what this host announces may have changed. */
  readonly onBlockChange: () => void;
}

/** Judges requests by what backend servers have ended under, on any host. */
export class SuspectGuard {
  /**
   * @param services - the services that the guard depends on
   * @param host - the address of this host
   */
  constructor(
    private readonly services: SuspectGuardServices,
    private readonly host: string,
  ) {}

  /**
   * Judges a request.
   *
   * @param request - the request
   * @returns whether it may be sent to a backend server
   */
  judge(request: ForwardedRequest): SuspectJudgement {
    const { suspects } = this.services;
    return this.mayBeSuspect(request) ? suspects.judge(hashContent(request)) : ALLOWED;
  }

  /**
   * Checks whether the backend server of this host may get a request.
   *
   * @param request - the request
   * @returns false if the request is blocked, unless its trial is due on this host
   */
  mayRun(request: ForwardedRequest): boolean {
    const { trialHostHash, verdict } = this.judge(request);
    const isTriedHere = verdict === SuspectVerdict.Trial && trialHostHash === hash32(this.host);
    return isTriedHere || verdict === SuspectVerdict.Allowed;
  }

  /**
   * Checks whether the backend server of this host may get a request now. If the trial of its content
   * is due, the trial starts.
   *
   * @param request - the request
   * @returns whether to send the request
   */
  admit(request: ForwardedRequest): boolean {
    const mayRun = this.mayRun(request);
    if (mayRun && this.judge(request).verdict === SuspectVerdict.Trial) {
      this.startTrial(request);
    }
    return mayRun;
  }

  /**
   * Records that the backend server of this host ended while it ran a request.
   *
   * @param request - the request
   * @param heartbeat - the last heartbeat of the backend server
   */
  recordInterrupted(request: ForwardedRequest, { id, startedAtMs }: Heartbeat): void {
    this.receive({
      kind: SuspectReportKind.Interrupted,
      run: {
        contentHash: hashContent(request),
        runHash: hash32(`${id} ${startedAtMs}`),
        hostHash: hash32(this.host),
        endedAtMs: this.services.clock.now().getTime(),
      },
    });
  }

  /**
   * Records that the node of another host ended while a request was under way there.
   *
   * @param request - the request
   * @param announcement - what the node announced
   */
  recordNodeEnded(request: ForwardedRequest, { host, incarnation }: Announcement): void {
    this.receive({
      kind: SuspectReportKind.Interrupted,
      run: {
        contentHash: hashContent(request),
        runHash: hash32(`node ${host} ${incarnation}`),
        hostHash: hash32(host),
        endedAtMs: this.services.clock.now().getTime(),
      },
    });
  }

  /**
   * Records that a backend server answered a request, and not by a server error.
   *
   * @param request - the request
   */
  recordAnswered(request: ForwardedRequest): void {
    if (this.mayBeSuspect(request)) {
      this.receive({ kind: SuspectReportKind.Answered, contentHash: hashContent(request) });
    }
  }

  /**
   * Takes a report of this or another node into account, and passes it on if it is new.
   *
   * @param report - the report
   * @param source - where it came from
   */
  receive(report: SuspectReport, source: ReportSource = ReportSource.Own): void {
    const isNew =
      report.kind === SuspectReportKind.Interrupted
        ? this.recordEnd(report.run)
        : this.services.suspects.recordAnswer(report.contentHash);
    if (isNew) {
      this.services.report(report, source);
      this.services.onBlockChange();
    }
  }

  /**
   * Takes into account what the node of a host announced, possibly before a restart of this node.
   *
   * @param announcement - the announcement
   */
  learn({ host, interruptedRuns = [] }: Announcement): void {
    const hostHash = hash32(host);
    interruptedRuns.forEach((run) => this.recordEnd({ ...run, hostHash }));
  }

  /** The ends on this host to announce: the newest ones under contents that are blocked. */
  get announced(): readonly AnnouncedInterruptedRun[] {
    return this.services.suspects
      .blockingEndsOn(hash32(this.host))
      .slice(-MAX_ANNOUNCED_RUNS)
      .map(({ contentHash, endedAtMs, runHash }) => ({ contentHash, runHash, endedAtMs }));
  }

  private mayBeSuspect(request: ForwardedRequest): boolean {
    const { suspects } = this.services;
    return suspects.size > 0 && suspects.mayKnow(hashTarget(request));
  }

  private startTrial(request: ForwardedRequest): void {
    const contentHash = hashContent(request);
    this.services.suspects.startTrial(contentHash);
    const { requestId } = request;
    this.services.log.record(Importance.Notable, 'suspect-trial', { requestId, contentHash });
  }

  private recordEnd(run: InterruptedRun): boolean {
    const { log, suspects } = this.services;
    const isNew = suspects.recordEnd(run);
    const { contentHash } = run;
    const { trialInMs, verdict } = suspects.judge(contentHash);
    if (isNew && verdict !== SuspectVerdict.Allowed) {
      const ends = suspects.endsOf(contentHash);
      log.record(Importance.Notable, 'suspect-blocked', { contentHash, ends, trialInMs });
    }
    return isNew;
  }
}
