/** What is known of the link to one host. */

/** The link to one host; times are in milliseconds of the clock. */
export class MonitoredHost {
  /** Called where the host has gone silent, one for each request under way. */
  readonly silenceListeners = new Set<() => void>();

  silent = false;

  private pingedAtMs = -Infinity;

  private unansweredCount = 0;

  /**
   * @param peerAddress - where the node of the host answers others
   * @param heardAtMs - when it was last heard
   */
  constructor(
    readonly peerAddress: string,
    private heardAtMs: number,
  ) {}

  /** How many questions in a row were not answered. */
  get unansweredPings(): number {
    return this.unansweredCount;
  }

  /**
   * @param nowMs - the time
   * @returns how long it has not been heard, in milliseconds
   */
  sinceHeardMs(nowMs: number): number {
    return nowMs - this.heardAtMs;
  }

  /**
   * @param nowMs - the time
   * @returns how long ago it was asked, in milliseconds
   */
  sincePingMs(nowMs: number): number {
    return nowMs - this.pingedAtMs;
  }

  /** @param nowMs - the time at which the host was heard, or counts as heard */
  markHeard(nowMs: number): void {
    this.heardAtMs = Math.max(this.heardAtMs, nowMs);
    this.unansweredCount = 0;
  }

  /** @param nowMs - the time at which the host is asked */
  markPinged(nowMs: number): void {
    this.pingedAtMs = nowMs;
    this.unansweredCount += 1;
  }
}
