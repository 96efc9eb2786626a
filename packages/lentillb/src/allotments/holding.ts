/** Counts what one host may hold of a customer's rate. Times are in milliseconds, rates per second. */

/** What a host reports of its lease. */
export interface HeldLease {
  /** Identifies the process that reported. */
  readonly processId: number;
  /** The sequence number of the last report whose reply was applied. */
  readonly applied: number;
  /** The rate that the host holds. */
  readonly held: number;
}

/** The lease of one host. */
export class Holding {
  private wantedRate = 0;

  private silent = false;

  private held = 0;

  /** The grants that the host has not acknowledged, by the sequence numbers of its reports. */
  private pending: { readonly sequence: number; readonly rate: number }[] = [];

  private latestAtMs = 0;

  /** @param processId - identifies the process that reported */
  constructor(private processId: number) {}

  /** The rate that the host would be granted if all could be. */
  get wanted(): number {
    return this.wantedRate;
  }

  /** Whether the host has not reported lately. */
  get isSilent(): boolean {
    return this.silent;
  }

  /** The time of the last report. */
  get heardAtMs(): number {
    return this.latestAtMs;
  }

  /** The rates of which the host holds one: the reported one, and later grants. */
  get rates(): readonly number[] {
    return [this.held, ...this.pending.map(({ rate }) => rate)];
  }

  /** The greatest rate that the host may hold. */
  get counted(): number {
    return Math.max(...this.rates);
  }

  /**
   * Records a report. Another process of the host applies no replies to the one before.
   *
   * @param nowMs - the monotonic time
   * @param lease - what the host reports
   * @param wanted - the rate that the host would be granted if all could be
   */
  report(nowMs: number, { applied, held, processId }: HeldLease, wanted: number): void {
    this.pending =
      processId === this.processId ? this.pending.filter(({ sequence }) => sequence > applied) : [];
    this.processId = processId;
    this.held = held;
    this.latestAtMs = nowMs;
    this.wantedRate = wanted;
    this.silent = false;
  }

  /**
   * Records a grant.
   *
   * @param sequence - the sequence number of the report that is replied to
   * @param rate - the rate
   */
  grant(sequence: number, rate: number): void {
    this.pending.push({ sequence, rate });
  }

  /** Records that the host has not reported lately. */
  markSilent(): void {
    this.silent = true;
    this.wantedRate = 0;
  }

  /** Records that the lease has expired. */
  expire(): void {
    this.held = 0;
    this.pending = [];
  }
}
