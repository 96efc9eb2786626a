/** Keeps requests away from backend servers that would end under them, and reports what it sees. */
import type { InterruptedRun, SuspectReport } from '../directory/suspectReport.js';
import { SuspectReportKind } from '../directory/suspectReport.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import { Importance } from '../observability/decisionLog.js';
import { hash32 } from '../utils/hash.js';
import type { Heartbeat } from './localBackendServer.js';
import type { ForwardedRequest } from './messages.js';
import { hashContent } from './requestContent.js';
import type { SuspectJudgement, SuspectRequests } from './suspectRequests.js';
import { ALLOWED, SuspectVerdict } from './suspectRequests.js';

/** The services that the guard depends on. */
export interface SuspectGuardServices {
  readonly suspects: SuspectRequests;
  readonly log: DecisionLog;
  /** Tells other nodes. */
  readonly report: (report: SuspectReport) => void;
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
    return suspects.size === 0 ? ALLOWED : suspects.judge(hashContent(request));
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
      },
    });
  }

  /**
   * Records that the backend server of this host answered a request.
   *
   * @param request - the request
   */
  recordAnswered(request: ForwardedRequest): void {
    if (this.services.suspects.size > 0) {
      this.receive({ kind: SuspectReportKind.Answered, contentHash: hashContent(request) });
    }
  }

  /**
   * Takes a report of this or another node into account, and passes it on if it is new.
   *
   * @param report - the report
   */
  receive(report: SuspectReport): void {
    const isNew =
      report.kind === SuspectReportKind.Interrupted
        ? this.recordEnd(report.run)
        : this.services.suspects.recordAnswer(report.contentHash);
    if (isNew) {
      this.services.report(report);
    }
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
