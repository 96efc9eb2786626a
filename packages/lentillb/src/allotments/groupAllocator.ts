/**
 * Grants leases of a group of customers while this host has the mandate for it. Times are monotonic
 * and in milliseconds.
 */
import type { Clock } from '../kernel/clock.js';
import type { GrantedCustomer, ReportMessage } from './allotmentMessage.js';
import { COUNTED_MS, CustomerTable } from './customerTable.js';
import type { Quota } from './quotaTerms.js';

/** The most hosts that are asked for their leases at a time, to bound the traffic of large fleets. */
const MAX_ASKED_HOSTS = 100;

/** The time after which leases are checked before a grant; a process may have been held up. */
const MAX_MAINTENANCE_AGE_MS = 500;

/** What an allocator depends on. */
export interface GroupAllocatorServices {
  readonly clock: Clock;
  /** Returns the limits of a customer; undefined if it has none. */
  readonly quotaOf: (customerHash: number) => Quota | undefined;
  /** Returns the hash of the hosts that this one knows. */
  readonly membersHash: () => number;
  /** Returns the hosts that may hold leases. */
  readonly hosts: () => readonly string[];
  /** Asks a host for its leases. */
  readonly query: (host: string) => void;
}

/** The tables of a group, and the recovery after the mandate has begun. */
export class GroupAllocator {
  private readonly tables = new Map<number, CustomerTable>();

  /** The newest report of each host, of which a datagram that arrives late must not be applied. */
  private readonly reports = new Map<string, Pick<ReportMessage, 'processId' | 'sequence'>>();

  private readonly answered = new Set<string>();

  private recoversUntilMs = -Infinity;

  private isFirst = false;

  private askedHosts = 0;

  private missingHosts = 0;

  private maintainedAtMs = -Infinity;

  /** @param services - what the allocator depends on */
  constructor(private readonly services: GroupAllocatorServices) {}

  /** Whether hosts may hold leases that this allocator doesn't know. */
  get isRecovering(): boolean {
    return this.services.clock.monotonicMs() < this.recoversUntilMs;
  }

  /**
   * Begins a mandate, with no knowledge of the leases that hosts hold.
   *
   * @param isFirst - whether no other host can have overcommitted rates lately
   */
  begin(isFirst: boolean): void {
    this.tables.clear();
    this.reports.clear();
    this.answered.clear();
    this.isFirst = isFirst;
    this.recoversUntilMs = this.services.clock.monotonicMs() + COUNTED_MS;
    this.recover();
  }

  /** Ends the recovery where it can end, asks the hosts that have not answered, and expires leases. */
  maintain(): void {
    const nowMs = this.services.clock.monotonicMs();
    this.maintainedAtMs = nowMs;
    this.tables.forEach((table, customerHash) => {
      table.sweep(nowMs);
      if (table.size === 0 && !this.isRecovering) {
        this.tables.delete(customerHash);
      }
    });
    this.recover();
  }

  /**
   * Handles a report.
   *
   * @param host - the host that sent it
   * @param message - the report
   * @returns what the host is granted; undefined if the report is older than another one
   */
  receive(host: string, message: ReportMessage): readonly GrantedCustomer[] | undefined {
    const { customers, membersHash, processId, sequence } = message;
    const latest = this.reports.get(host);
    if (latest?.processId === processId && latest.sequence >= sequence) {
      return undefined;
    }
    this.reports.set(host, { processId, sequence });
    const nowMs = this.services.clock.monotonicMs();
    const reporter = { ...message, host };
    if (nowMs - this.maintainedAtMs > MAX_MAINTENANCE_AGE_MS) {
      this.maintain();
    }
    if (membersHash !== 0) {
      customers.forEach((report) =>
        this.tableOf(report.customerHash)?.acknowledge(nowMs, reporter, report),
      );
      // A host that knows of others knows of leases that this one doesn't ask for; it is asked again.
      if (membersHash === this.services.membersHash()) {
        this.answered.add(host);
        this.recover();
      }
      return undefined;
    }
    return customers.flatMap(
      (report) => this.tableOf(report.customerHash)?.grant(nowMs, reporter, report) ?? [],
    );
  }

  private tableOf(customerHash: number): CustomerTable | undefined {
    const quota = this.services.quotaOf(customerHash);
    if (quota === undefined) {
      return undefined;
    }
    const known = this.tables.get(customerHash);
    if (known !== undefined) {
      known.update(quota);
      return known;
    }
    // The former allocator may have overcommitted, too.
    const overcommit = this.isFirst ? 0 : quota.overcommitPerSecond;
    const unknownRate = this.isRecovering ? quota.ratePerSecond + overcommit : 0;
    const table = new CustomerTable(quota, unknownRate, () => this.missingHosts);
    this.tables.set(customerHash, table);
    return table;
  }

  private recover(): void {
    if (this.recoversUntilMs === -Infinity) {
      return;
    }
    const missing = this.services.hosts().filter((host) => !this.answered.has(host));
    this.missingHosts = missing.length;
    if (!this.isRecovering || missing.length === 0) {
      this.recoversUntilMs = -Infinity;
      this.tables.forEach((table) => table.endRecovery());
    }
  }

  /** Asks hosts that have not answered for their leases, some at a time. */
  ask(): void {
    if (!this.isRecovering) {
      return;
    }
    const missing = this.services.hosts().filter((host) => !this.answered.has(host));
    const start = missing.length > MAX_ASKED_HOSTS ? this.askedHosts % missing.length : 0;
    const asked = [...missing.slice(start), ...missing.slice(0, start)].slice(0, MAX_ASKED_HOSTS);
    this.askedHosts += asked.length;
    asked.forEach((host) => this.services.query(host));
  }
}
