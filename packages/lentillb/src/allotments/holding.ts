/** Counts what one host may hold of a customer's rate. Times are in milliseconds, rates per second. */

/** The two rates of a lease. */
export interface LeaseRates {
  /** The rate while the host reaches the allocator. */
  readonly rate: number;
  /** The rate while it doesn't; at least `rate`. */
  readonly reserve: number;
}

/** What a host reports of its lease. */
export interface HeldLease extends LeaseRates {
  /** Identifies the process that reported. */
  readonly processId: number;
  /** The sequence number of the last report whose reply was applied. */
  readonly applied: number;
}

const NO_LEASE: LeaseRates = { rate: 0, reserve: 0 };

/** The lease of one host. */
export class Holding {
  private wantedRate = 0;

  private silent = false;

  private held = NO_LEASE;

  /** The grants that the host has not acknowledged, by the sequence numbers of its reports. */
  private pending: (LeaseRates & { readonly sequence: number })[] = [];

  private latestAtMs = 0;

  /** @param processId - identifies the process that reported */
  constructor(private processId: number) {}

  /** The reserve that the host would be granted if all could be. */
  get wanted(): number {
    return this.wantedRate;
  }

  /** Whether the host has not reported lately, so that it may use its reserve. */
  get isSilent(): boolean {
    return this.silent;
  }

  /** The time of the last report. */
  get heardAtMs(): number {
    return this.latestAtMs;
  }

  /** The greatest rate that the host may use now. */
  get rate(): number {
    return this.silent ? this.reserve : Math.max(...this.leases.map(({ rate }) => rate));
  }

  /** The greatest rate that the host may use before its lease ends. */
  get reserve(): number {
    return Math.max(...this.leases.map(({ reserve }) => reserve));
  }

  /** The leases of which the host holds one: the reported one, and later grants. */
  get leases(): readonly LeaseRates[] {
    return [this.held, ...this.pending];
  }

  /**
   * Records a report. Another process of the host applies no replies to the one before.
   *
   * @param nowMs - the monotonic time
   * @param lease - what the host reports
   * @param wanted - the reserve that the host would be granted if all could be
   */
  report(nowMs: number, { applied, processId, rate, reserve }: HeldLease, wanted: number): void {
    this.pending =
      processId === this.processId ? this.pending.filter(({ sequence }) => sequence > applied) : [];
    this.processId = processId;
    this.held = { rate, reserve: Math.max(rate, reserve) };
    this.latestAtMs = nowMs;
    this.wantedRate = wanted;
    this.silent = false;
  }

  /**
   * Records a grant.
   *
   * @param sequence - the sequence number of the report that is replied to
   * @param rates - what is granted
   */
  grant(sequence: number, rates: LeaseRates): void {
    this.pending.push({ sequence, ...rates });
  }

  /** Records that the host has not reported lately. */
  markSilent(): void {
    this.silent = true;
    this.wantedRate = 0;
  }

  /** Records that the lease has expired. */
  expire(): void {
    this.held = NO_LEASE;
    this.pending = [];
  }
}
