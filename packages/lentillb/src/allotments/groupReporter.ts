/**
 * Reports the demand and the leases of this host for a group of customers to their allocator, and
 * applies its replies. Times are monotonic and in milliseconds.
 */
import type { Clock } from '../kernel/clock.js';
import { hash32 } from '../utils/hash.js';
import type { AllotmentMessage, ReplyMessage, ReportMessage } from './allotmentMessage.js';
import { AllotmentMessageKind, MAX_CUSTOMERS_PER_MESSAGE } from './allotmentMessage.js';
import type { CustomerLease } from './customerLease.js';
import { LEASE_MS } from './customerTable.js';
import { deleteEarlier } from './sentTimes.js';

/** The shortest time between two reports for waiting requests. */
const MIN_REPORT_INTERVAL_MS = 20;
/** The time without a reply after which another host is asked. */
const NO_REPLY_MS = 600;

/**
 * The time after the last report from which an allocator, if it received the report, counts the reserve
 * of this host: 1,400 ms, the interval of its checks of 500 ms, and 300 ms for the delay of the report.
 */
const CUT_OFF_MS = 2_200;

/** What a reporter depends on. */
export interface GroupReporterServices {
  readonly clock: Clock;
  /** Identifies this process. */
  readonly processId: number;
  /** Sends a message to a host. */
  readonly send: (host: string, message: AllotmentMessage) => void;
  /** Returns the hosts that may be the allocator, in the order in which they are asked. */
  readonly voters: () => readonly string[];
}

/** The leases of this host for one group of customers. */
export class GroupReporter {
  /** The leases by the hash of the customer's name. */
  readonly leases = new Map<number, CustomerLease>();

  private target: string | undefined;

  private sequence = 0;

  private applied = 0;

  /** The first report to the present target; replies to earlier reports are ignored. */
  private firstSequence = 1;

  private readonly sentAtMs = new Map<number, number>();

  private lastSentMs = -Infinity;

  /** The time of the last report that stated less than the reserves as the rates in use. */
  private statedAtMs = -Infinity;

  private unansweredSinceMs: number | undefined;

  /** Whether another host had to be asked since the last reply. */
  private isUnansweredLong = false;

  private isScheduled = false;

  /**
   * @param services - what the reporter depends on
   * @param group - the number of the group
   */
  constructor(
    private readonly services: GroupReporterServices,
    private readonly group: number,
  ) {}

  /** Whether reports have gone unanswered for long. */
  get isUnanswered(): boolean {
    return this.isUnansweredLong;
  }

  /** Whether every allocator that may have received a report counts the reserves of this host. */
  get isCutOff(): boolean {
    return (
      this.isUnansweredLong && this.services.clock.monotonicMs() - this.statedAtMs > CUT_OFF_MS
    );
  }

  /** Reports as soon as the interval between reports allows it. */
  ask(): void {
    if (this.isScheduled) {
      return;
    }
    this.isScheduled = true;
    const { clock } = this.services;
    const dueAtMs = this.lastSentMs + MIN_REPORT_INTERVAL_MS;
    clock.after(Math.max(0, dueAtMs - clock.monotonicMs()), () => {
      this.isScheduled = false;
      this.report();
    });
  }

  /** Reports to the allocator if any customer of the group has demand or a lease. */
  report(): void {
    this.leases.forEach((lease, customerHash) => {
      if (!lease.isActive) {
        this.leases.delete(customerHash);
      }
    });
    const active = [...this.leases.values()];
    const target = this.chooseTarget();
    if (active.length === 0 || target === undefined) {
      this.unansweredSinceMs = undefined;
      return;
    }
    for (let start = 0; start < active.length; start += MAX_CUSTOMERS_PER_MESSAGE) {
      this.sendReport(target, active.slice(start, start + MAX_CUSTOMERS_PER_MESSAGE), 0);
    }
    this.unansweredSinceMs ??= this.lastSentMs;
  }

  /**
   * Answers the question of a new allocator for all leases of this host.
   *
   * @param host - the host that asks
   * @param membersHash - the hash of the hosts that this one knows
   */
  receiveQuery(host: string, membersHash: number): void {
    this.retarget(host);
    // Replies to earlier reports would grant more than the answer states.
    this.firstSequence = this.sequence + 1;
    const leases = [...this.leases.values()].filter(({ isActive }) => isActive);
    const isComplete = leases.length <= MAX_CUSTOMERS_PER_MESSAGE;
    this.sendReport(host, leases.slice(0, MAX_CUSTOMERS_PER_MESSAGE), isComplete ? membersHash : 0);
  }

  /**
   * Applies a reply.
   *
   * @param host - the host that sent it
   * @param message - the reply
   */
  receiveReply(host: string, { customers, processId, sequence }: ReplyMessage): void {
    const sentAtMs = this.sentAtMs.get(sequence);
    const isCurrent = sequence >= this.firstSequence && sequence > this.applied;
    if (
      host !== this.target ||
      processId !== this.services.processId ||
      !isCurrent ||
      sentAtMs === undefined
    ) {
      return;
    }
    this.applied = sequence;
    this.isUnansweredLong = false;
    this.unansweredSinceMs = undefined;
    customers.forEach((grant) =>
      this.leases.get(grant.customerHash)?.apply(grant, sentAtMs + LEASE_MS, sequence),
    );
  }

  /**
   * Handles the answer of a host that is not the allocator.
   *
   * @param host - the host
   * @param supportedHash - the hash of the host that may be the allocator; 0 if none is known
   */
  receiveRedirect(host: string, supportedHash: number): void {
    const supported = this.services.voters().find((voter) => hash32(voter) === supportedHash);
    if (host !== this.target || supported === undefined || supported === host) {
      return;
    }
    this.retarget(supported);
    this.ask();
  }

  private chooseTarget(): string | undefined {
    const { clock, voters } = this.services;
    const candidates = voters();
    const index = this.target === undefined ? -1 : candidates.indexOf(this.target);
    const isUnanswered =
      this.unansweredSinceMs !== undefined &&
      clock.monotonicMs() - this.unansweredSinceMs > NO_REPLY_MS;
    this.isUnansweredLong ||= isUnanswered;
    if (index < 0 || isUnanswered) {
      this.retarget(candidates[(index + 1) % Math.max(1, candidates.length)]);
    }
    return this.target;
  }

  private retarget(host: string | undefined): void {
    if (host !== this.target) {
      this.target = host;
      this.firstSequence = this.sequence + 1;
      this.unansweredSinceMs = undefined;
    }
  }

  private sendReport(target: string, leases: readonly CustomerLease[], membersHash: number): void {
    const nowMs = this.services.clock.monotonicMs();
    this.sequence += 1;
    this.lastSentMs = nowMs;
    if (!this.isUnansweredLong) {
      this.statedAtMs = nowMs;
    }
    this.sentAtMs.set(this.sequence, nowMs);
    deleteEarlier(this.sentAtMs, nowMs - LEASE_MS);
    const message: ReportMessage = {
      kind: AllotmentMessageKind.Report,
      group: this.group,
      processId: this.services.processId,
      sequence: this.sequence,
      applied: this.applied,
      membersHash,
      customers: leases.map(({ report }) => report),
    };
    leases.forEach((lease) => lease.markReported(this.sequence));
    this.services.send(target, message);
  }
}
